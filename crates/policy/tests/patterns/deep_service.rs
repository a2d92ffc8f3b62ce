//! Simulates a service with few slots at the end of a call chain: each request first runs elsewhere
//! for a while and then calls the service five times in sequence. Requests enter at many origins,
//! each of which admits them by the shares that it has learned from its own answers, and once a
//! second from another daemon.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use model::{Class, ServiceName};
use policy::{AdmissionShares, Load, RootAdmission, RootRequest, ShareController};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Slots of the deep service, all targets together.
pub(crate) const SLOTS: u32 = 40;
/// Targets of the deep service.
const TARGETS: u32 = 4;
/// Origins of a scenario that does not vary their number.
pub(crate) const ORIGINS: usize = 16;
/// Run time of one call to the deep service.
const CALL_MS: u64 = 40;
/// Calls that one request makes, one after the other.
const CALLS_PER_REQUEST: u32 = 5;
/// Time that a request runs elsewhere before its calls.
const PREPARATION_MS: u64 = 160;
/// Time after which an answer is too late.
const TIMEOUT_MS: u64 = 1_000;
/// Time until the share of the deep service reaches the daemon that answers an origin.
const REPORT_DELAY_MS: u64 = 60;
/// Interval at which an origin without answers learns the shares that another daemon knows.
const EXCHANGE_INTERVAL_MS: u64 = 1_000;
/// Calls that may wait at a target, per slot.
const MAX_QUEUED_PER_SLOT: usize = 4;
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
    /// Daemons at which requests enter.
    pub(crate) origins: usize,
    /// False to admit every request.
    pub(crate) shares_enabled: bool,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    class: Class,
    origin: usize,
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

/// Daemon at which requests enter.
#[derive(Default)]
struct Origin {
    admission: RootAdmission,
    shares: AdmissionShares,
}

/// Target of the deep service, with the controller of its daemon.
struct Target {
    controller: ShareController,
    running: Vec<Request>,
    queue: VecDeque<Request>,
}

struct Sim {
    start: Instant,
    service: ServiceName,
    rng: SmallRng,
    origins: Vec<Origin>,
    targets: Vec<Target>,
    /// What the daemons that call the deep service know.
    callers: AdmissionShares,
    reports: VecDeque<(u64, policy::AdmissionShare)>,
    waiting_retries: VecDeque<(u64, Request)>,
    preparing: Vec<Request>,
    tallies: Tallies,
}

impl<D: Fn(u64) -> f64, S: Fn(u64) -> u32> Scenario<D, S> {
    pub(crate) fn simulate(&self) -> Tallies {
        let mut sim = Sim::new(usize::try_from(self.seconds).unwrap(), self.origins);
        let mut due = 0.0;
        for now in 0..self.seconds * 1_000 {
            if self.restart_at == Some(now) {
                sim = Sim {
                    tallies: std::mem::take(&mut sim.tallies),
                    waiting_retries: std::mem::take(&mut sim.waiting_retries),
                    ..Sim::new(0, self.origins)
                };
            }
            due += CAPACITY_PER_SECOND * (self.demand)(now) / 1_000.0;
            while due >= 1.0 {
                due -= 1.0;
                let request = self.new_request(&mut sim, now);
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

    fn new_request(&self, sim: &mut Sim, now: u64) -> Request {
        let class = if sim.rng.random_ratio(3, 10) {
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
        Request {
            class,
            origin: sim.rng.random_range(0..self.origins),
            arrived: now,
            retries_left,
            is_retry: false,
            step_ends: 0,
            calls_left: CALLS_PER_REQUEST,
        }
    }

    /// Sends a request, which is admitted, scheduled for a retry, or dropped.
    fn send(&self, sim: &mut Sim, mut request: Request, now: u64) {
        let at = sim.at(now);
        let root = RootRequest {
            class: request.class,
            shed_hash: sim.rng.random(),
            is_retry: request.is_retry,
        };
        let origin = &mut sim.origins[request.origin];
        let services = std::iter::once(&sim.service);
        let admitted = origin.admission.admit(&root, services, &origin.shares, at);
        if self.shares_enabled && admitted.is_err() {
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
        request.step_ends = now + PREPARATION_MS;
        sim.preparing.push(request);
    }
}

impl Sim {
    fn new(seconds: usize, origins: usize) -> Self {
        let start = Instant::now();
        Sim {
            start,
            service: ServiceName::from("deep"),
            rng: SmallRng::seed_from_u64(7),
            origins: (0..origins).map(|_| Origin::default()).collect(),
            targets: (0..TARGETS)
                .map(|_| Target {
                    controller: ShareController::new(start),
                    running: Vec::new(),
                    queue: VecDeque::new(),
                })
                .collect(),
            callers: AdmissionShares::default(),
            reports: VecDeque::new(),
            waiting_retries: VecDeque::new(),
            preparing: Vec::new(),
            tallies: vec![[Tally::default(); 2]; seconds],
        }
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    /// Advances the simulation by a millisecond.
    fn step(&mut self, now: u64, slots: u32) {
        let (ready, preparing) = std::mem::take(&mut self.preparing)
            .into_iter()
            .partition::<Vec<_>, _>(|request| request.step_ends <= now);
        self.preparing = preparing;
        for request in ready {
            self.call(request, slots);
        }
        self.finish_calls(now, slots);
        self.start_calls(now, slots / TARGETS);
        self.report(now, slots / TARGETS);
        self.exchange(now);
    }

    /// Sends a call to the target with the fewest calls.
    fn call(&mut self, request: Request, slots: u32) {
        let target = self
            .targets
            .iter_mut()
            .min_by_key(|target| target.running.len() + target.queue.len())
            .expect("there are targets");
        target.controller.record_arrival();
        target.queue.push_back(request);
        // A call that is evicted from a full queue fails, and with it the request.
        if target.queue.len() > MAX_QUEUED_PER_SLOT * (slots / TARGETS) as usize {
            let newest_first = (0..target.queue.len()).rev();
            let least = newest_first.min_by_key(|&n| target.queue[n].class);
            target.queue.remove(least.expect("the queue is not empty"));
            target.controller.record_refusal();
        }
    }

    fn finish_calls(&mut self, now: u64, slots: u32) {
        let mut finished = Vec::new();
        for target in &mut self.targets {
            finished.extend(target.running.extract_if(.., |call| call.step_ends <= now));
            target.queue.retain(|call| now - call.arrived <= TIMEOUT_MS);
        }
        for mut request in finished {
            request.calls_left -= 1;
            if request.calls_left > 0 {
                self.call(request, slots);
                continue;
            }
            let in_time = now - request.arrived <= TIMEOUT_MS;
            tally(&mut self.tallies, request.class, request.arrived).in_time += u32::from(in_time);
            self.learn(request.origin, now);
        }
    }

    fn start_calls(&mut self, now: u64, slots: u32) {
        for target in &mut self.targets {
            while target.running.len() < slots as usize
                && let Some(mut request) = pop_most_important(&mut target.queue)
            {
                request.step_ends = now + CALL_MS;
                target.running.push(request);
            }
        }
    }

    /// Updates the shares of the targets, which reach the calling daemons after a while.
    fn report(&mut self, now: u64, slots: u32) {
        let at = self.at(now);
        let run_time = Duration::from_millis(CALL_MS);
        let in_force = self.callers.get(&self.service, at).map(|(share, _)| share);
        for target in &mut self.targets {
            let queued = u32::try_from(target.queue.len()).unwrap();
            let load = Load {
                in_flight: u32::try_from(target.running.len()).unwrap(),
                limit: slots,
                queued,
                queue_delay: run_time * queued / slots,
                floor: Class::Bulk,
            };
            target
                .controller
                .update(f64::from(slots), load.queue_delay, run_time, in_force, at);
            // Each of them answers a call every few milliseconds.
            if now.is_multiple_of(4) {
                let share = target.controller.share();
                self.reports.push_back((now + REPORT_DELAY_MS, share));
            }
        }
        while let Some((_, share)) = self.reports.pop_front_if(|(due, _)| *due <= now) {
            self.callers.record_report(&self.service, share, at);
        }
    }

    /// Lets the origins without answers learn what another daemon knows, one after the other.
    fn exchange(&mut self, now: u64) {
        let count = u64::try_from(self.origins.len()).unwrap();
        let turn = now % EXCHANGE_INTERVAL_MS;
        let first = count * turn / EXCHANGE_INTERVAL_MS;
        let end = count * (turn + 1) / EXCHANGE_INTERVAL_MS;
        for origin in first..end {
            self.learn(usize::try_from(origin).unwrap(), now);
        }
    }

    fn learn(&mut self, origin: usize, now: u64) {
        let at = self.at(now);
        if let Some((share, age)) = self.callers.get(&self.service, at) {
            let shares = &mut self.origins[origin].shares;
            shares.merge(&self.service, share, age, at);
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
