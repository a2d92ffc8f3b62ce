//! A service with few slots deep behind the callers: each request works for a while elsewhere
//! and then calls it five times in a row. One origin, whose windows guard it.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use model::{Class, ServiceName};
use policy::{CongestionWindows, Load, PressureMeter, Pressures};

/// Slots of the deep service.
pub(crate) const SLOTS: u32 = 40;
/// Time that one of its calls takes.
const CALL_MS: u64 = 40;
/// Calls of one request.
const CALLS: u32 = 5;
/// Time that a request takes before its calls.
const BEFORE_MS: u64 = 160;
/// Time after which an answer is worth nothing.
const TIMEOUT_MS: u64 = 1_000;
/// Time until a daemon hears of the pressure.
const NEWS_MS: u64 = 60;
/// Requests that the deep service can bear in a second: its slots over the time of five calls.
pub(crate) const CAPACITY_PER_SECOND: f64 = 200.0;

/// What callers do when they are refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Habit {
    /// They leave.
    Leave,
    /// They come back once, after the time that they are told.
    ComeBack,
    /// They come back so often, each time at once.
    Repeat(u32),
}

/// Time after which those who come back as they are told do.
const COME_BACK_MS: u64 = 300;
/// Time after which the others do.
const REPEAT_MS: u64 = 20;

/// One load; demand and slots are functions of the millisecond.
pub(crate) struct Day<D, S> {
    /// Demand over the capacity. Three of ten requests are critical.
    pub(crate) demand: D,
    pub(crate) slots: S,
    pub(crate) seconds: u64,
    pub(crate) habit: Habit,
    /// When all daemons and targets start anew and forget everything.
    pub(crate) restart_at: Option<u64>,
    /// False to let every request begin.
    pub(crate) guarded: bool,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    class: Class,
    arrived: u64,
    /// Times that it may still come back.
    returns: u32,
    came_back: bool,
    /// When its present step ends.
    step_ends: u64,
    calls_left: u32,
}

/// What became of the requests of one class that arrived in a second.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) arrived: u32,
    pub(crate) in_time: u32,
}

impl Tally {
    pub(crate) fn share(self) -> f64 {
        f64::from(self.in_time) / f64::from(self.arrived.max(1))
    }
}

/// Tallies of critical and browsing requests, by the second of their arrival.
pub(crate) type Tallies = Vec<[Tally; 2]>;

struct Sim {
    start: Instant,
    service: ServiceName,
    windows: CongestionWindows,
    pressures: Pressures,
    meter: PressureMeter,
    news: VecDeque<(u64, policy::Pressure)>,
    returning: VecDeque<(u64, Request)>,
    working: Vec<Request>,
    running: Vec<Request>,
    queue: VecDeque<Request>,
    tallies: Tallies,
}

impl<D: Fn(u64) -> f64, S: Fn(u64) -> u32> Day<D, S> {
    pub(crate) fn play(&self) -> Tallies {
        let mut sim = Sim::new(usize::try_from(self.seconds).unwrap());
        let (mut due, mut count) = (0.0, 0_u64);
        for now in 0..self.seconds * 1_000 {
            if self.restart_at == Some(now) {
                sim = Sim {
                    tallies: std::mem::take(&mut sim.tallies),
                    returning: std::mem::take(&mut sim.returning),
                    ..Sim::new(0)
                };
            }
            due += CAPACITY_PER_SECOND * (self.demand)(now) / 1_000.0;
            while due >= 1.0 {
                due -= 1.0;
                count += 1;
                let class = if count % 10 < 3 {
                    Class::Critical
                } else {
                    Class::Browse
                };
                tally(&mut sim.tallies, class, now).arrived += 1;
                let returns = match self.habit {
                    Habit::Leave => 0,
                    Habit::ComeBack => 1,
                    Habit::Repeat(times) => times,
                };
                let request = Request {
                    class,
                    arrived: now,
                    returns,
                    came_back: false,
                    step_ends: 0,
                    calls_left: CALLS,
                };
                self.ask(&mut sim, request, now);
            }
            let is_due = |(at, _): &mut (u64, Request)| *at <= now;
            while let Some((_, request)) = sim.returning.pop_front_if(is_due) {
                self.ask(&mut sim, request, now);
            }
            sim.work(now, (self.slots)(now));
        }
        sim.tallies
    }

    fn ask(&self, sim: &mut Sim, mut request: Request, now: u64) {
        let at = sim.at(now);
        let services = std::iter::once(&sim.service);
        let admitted = sim.windows.admit(
            request.class,
            request.came_back,
            services,
            &sim.pressures,
            at,
        );
        if self.guarded && admitted.is_err() {
            if request.returns > 0 {
                request.returns -= 1;
                request.came_back = true;
                let after = match self.habit {
                    Habit::Repeat(_) => REPEAT_MS,
                    _ => COME_BACK_MS,
                };
                sim.returning.push_back((now + after, request));
            }
            return;
        }
        sim.windows.begin(request.class, &sim.service, at);
        request.step_ends = now + BEFORE_MS;
        sim.working.push(request);
    }
}

impl Sim {
    fn new(seconds: usize) -> Self {
        let start = Instant::now();
        Sim {
            start,
            service: ServiceName::from("deep"),
            windows: CongestionWindows::default(),
            pressures: Pressures::default(),
            meter: PressureMeter::new(start),
            news: VecDeque::new(),
            returning: VecDeque::new(),
            working: Vec::new(),
            running: Vec::new(),
            queue: VecDeque::new(),
            tallies: vec![[Tally::default(); 2]; seconds],
        }
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    /// Moves what is under way on by a millisecond.
    fn work(&mut self, now: u64, slots: u32) {
        let queue = &mut self.queue;
        self.working.retain(|request| {
            let waits = request.step_ends <= now;
            if waits {
                queue.push_back(*request);
            }
            !waits
        });
        self.running.retain_mut(|request| {
            if request.step_ends > now {
                return true;
            }
            request.calls_left -= 1;
            if request.calls_left > 0 {
                queue.push_back(*request);
            } else {
                self.windows.end(request.class, &self.service);
                let in_time = now - request.arrived <= TIMEOUT_MS;
                tally(&mut self.tallies, request.class, request.arrived).in_time +=
                    u32::from(in_time);
            }
            false
        });
        queue.retain(|request| {
            let given_up = now - request.arrived > TIMEOUT_MS;
            if given_up {
                self.windows.end(request.class, &self.service);
            }
            !given_up
        });
        while self.running.len() < slots as usize
            && let Some(mut request) = next(&mut self.queue)
        {
            request.step_ends = now + CALL_MS;
            self.running.push(request);
        }
        let load = Load {
            in_flight: u32::try_from(self.running.len()).unwrap(),
            limit: slots,
            queued: u32::try_from(self.queue.len()).unwrap(),
            queue_delay: Duration::ZERO,
            floor: Class::Bulk,
        };
        let at = self.at(now);
        self.meter.observe(&load, at);
        self.news.push_back((now + NEWS_MS, self.meter.pressure()));
        while let Some((_, pressure)) = self.news.pop_front_if(|(due, _)| *due <= now) {
            self.pressures.record_report(&self.service, pressure, at);
        }
    }
}

/// The most important that waits, the oldest of them first.
fn next(queue: &mut VecDeque<Request>) -> Option<Request> {
    let best = (0..queue.len()).max_by_key(|&n| (queue[n].class, std::cmp::Reverse(n)))?;
    queue.remove(best)
}

fn tally(tallies: &mut [[Tally; 2]], class: Class, arrived: u64) -> &mut Tally {
    let second = usize::try_from(arrived / 1_000).unwrap();
    &mut tallies[second][usize::from(class == Class::Browse)]
}

pub(crate) fn sum(tallies: &[[Tally; 2]], class: usize) -> Tally {
    tallies.iter().fold(Tally::default(), |sum, second| Tally {
        arrived: sum.arrived + second[class].arrived,
        in_time: sum.in_time + second[class].in_time,
    })
}

/// Requests of both classes that were answered in time.
pub(crate) fn served(tallies: &[[Tally; 2]]) -> f64 {
    f64::from(sum(tallies, 0).in_time + sum(tallies, 1).in_time)
}
