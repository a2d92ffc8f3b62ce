//! Simulates a service with few slots at the end of a call chain: each request first runs elsewhere
//! for a while and then calls the service five times in sequence. All requests enter at one daemon,
//! which limits those in flight by its windows.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use model::{Class, ServiceName};
use policy::{CongestionWindows, Load, PressureMeter, Pressures};

/// Slots of the deep service.
pub(crate) const SLOTS: u32 = 40;
/// Run time of one call to the deep service.
const CALL_MS: u64 = 40;
/// Calls that one request makes, one after the other.
const CALLS_PER_REQUEST: u32 = 5;
/// Time that a request runs elsewhere before its calls.
const PREPARATION_MS: u64 = 160;
/// Time after which an answer is too late.
const TIMEOUT_MS: u64 = 1_000;
/// Time until the pressure of the deep service reaches the daemon.
const REPORT_DELAY_MS: u64 = 60;
/// Requests per second that the deep service can handle: its slots divided by the time of five
/// calls.
pub(crate) const CAPACITY_PER_SECOND: f64 = 200.0;

/// What callers do when their request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryBehaviour {
    /// They don't retry.
    GiveUp,
    /// They retry once, after the delay of the refusal.
    RetryOnce,
    /// They retry up to this many times, each time almost immediately.
    RetryAtOnce(u32),
}

/// Delay of a retry that obeys the refusal.
const RETRY_DELAY_MS: u64 = 300;
/// Delay of an immediate retry.
const RETRY_AT_ONCE_DELAY_MS: u64 = 20;

/// Settings of a simulation; demand and slots are functions of the time in milliseconds.
pub(crate) struct Scenario<D, S> {
    /// Demand relative to the capacity. Three of ten requests are critical, the others browse.
    pub(crate) demand: D,
    pub(crate) slots: S,
    pub(crate) seconds: u64,
    pub(crate) retry_behaviour: RetryBehaviour,
    /// When all daemons and targets restart and lose their state.
    pub(crate) restart_at: Option<u64>,
    /// False to admit every request.
    pub(crate) windows_enabled: bool,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    class: Class,
    arrived: u64,
    /// Number of retries that the caller may still make.
    retries_left: u32,
    is_retry: bool,
    /// End of the current step.
    step_ends: u64,
    calls_left: u32,
}

/// Results of the requests of one class that arrived in one second.
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

/// Tallies of critical (index 0) and browse (index 1) requests, by the second of their arrival.
pub(crate) type Tallies = Vec<[Tally; 2]>;

struct Sim {
    start: Instant,
    service: ServiceName,
    windows: CongestionWindows,
    pressures: Pressures,
    meter: PressureMeter,
    reports: VecDeque<(u64, policy::Pressure)>,
    waiting_retries: VecDeque<(u64, Request)>,
    preparing: Vec<Request>,
    running: Vec<Request>,
    queue: VecDeque<Request>,
    tallies: Tallies,
}

impl<D: Fn(u64) -> f64, S: Fn(u64) -> u32> Scenario<D, S> {
    pub(crate) fn simulate(&self) -> Tallies {
        let mut sim = Sim::new(usize::try_from(self.seconds).unwrap());
        let (mut due, mut count) = (0.0, 0_u64);
        for now in 0..self.seconds * 1_000 {
            if self.restart_at == Some(now) {
                sim = Sim {
                    tallies: std::mem::take(&mut sim.tallies),
                    waiting_retries: std::mem::take(&mut sim.waiting_retries),
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
                let retries_left = match self.retry_behaviour {
                    RetryBehaviour::GiveUp => 0,
                    RetryBehaviour::RetryOnce => 1,
                    RetryBehaviour::RetryAtOnce(times) => times,
                };
                let request = Request {
                    class,
                    arrived: now,
                    retries_left,
                    is_retry: false,
                    step_ends: 0,
                    calls_left: CALLS_PER_REQUEST,
                };
                self.send(&mut sim, request, now);
            }
            let is_due = |(at, _): &mut (u64, Request)| *at <= now;
            while let Some((_, request)) = sim.waiting_retries.pop_front_if(is_due) {
                self.send(&mut sim, request, now);
            }
            sim.step(now, (self.slots)(now));
        }
        sim.tallies
    }

    /// Sends a request, which is admitted, scheduled for a retry, or dropped.
    fn send(&self, sim: &mut Sim, mut request: Request, now: u64) {
        let at = sim.at(now);
        let services = std::iter::once(&sim.service);
        let admitted = sim.windows.admit(
            request.class,
            request.is_retry,
            services,
            &sim.pressures,
            at,
        );
        if self.windows_enabled && admitted.is_err() {
            if request.retries_left > 0 {
                request.retries_left -= 1;
                request.is_retry = true;
                let after = match self.retry_behaviour {
                    RetryBehaviour::RetryAtOnce(_) => RETRY_AT_ONCE_DELAY_MS,
                    _ => RETRY_DELAY_MS,
                };
                sim.waiting_retries.push_back((now + after, request));
            }
            return;
        }
        sim.windows.begin(request.class, &sim.service, at);
        request.step_ends = now + PREPARATION_MS;
        sim.preparing.push(request);
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
            reports: VecDeque::new(),
            waiting_retries: VecDeque::new(),
            preparing: Vec::new(),
            running: Vec::new(),
            queue: VecDeque::new(),
            tallies: vec![[Tally::default(); 2]; seconds],
        }
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    /// Advances the simulation by a millisecond.
    fn step(&mut self, now: u64, slots: u32) {
        let queue = &mut self.queue;
        self.preparing.retain(|request| {
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
            let is_expired = now - request.arrived > TIMEOUT_MS;
            if is_expired {
                self.windows.end(request.class, &self.service);
            }
            !is_expired
        });
        while self.running.len() < slots as usize
            && let Some(mut request) = pop_most_important(&mut self.queue)
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
        self.reports
            .push_back((now + REPORT_DELAY_MS, self.meter.pressure()));
        while let Some((_, pressure)) = self.reports.pop_front_if(|(due, _)| *due <= now) {
            self.pressures.record_report(&self.service, pressure, at);
        }
    }
}

/// Removes the oldest of the most important queued requests.
fn pop_most_important(queue: &mut VecDeque<Request>) -> Option<Request> {
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

/// Number of requests of both classes that were answered in time.
pub(crate) fn served(tallies: &[[Tally; 2]]) -> f64 {
    f64::from(sum(tallies, 0).in_time + sum(tallies, 1).in_time)
}
