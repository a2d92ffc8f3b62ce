//! Simulates a service of four targets, one in each data centre, and the daemons that call it.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use model::Class;
use policy::{
    CallOutcome, Candidate, InstanceKey, InstanceStatus, Load, Pick, Router, RouterConfig,
    RoutingStrategy,
};

pub(crate) const TARGETS: usize = 4;
/// Requests that a target runs concurrently.
pub(crate) const SLOTS: usize = 20;
/// Run time in a healthy target.
pub(crate) const RUN_MS: u64 = 40;
/// Latency up to which an answer is in time: several run times.
pub(crate) const LATENCY_GOAL_MS: u64 = 200;
/// Time after which the caller cancels a call.
pub(crate) const DEADLINE_MS: u64 = 1_000;
/// Capacity of all healthy targets, in calls per millisecond: their slots divided by the run time.
const CAPACITY_PER_MS: f64 = 2.0;
/// Daemons that call the service.
const CALLERS: usize = 8;
/// Maximum number of targets tried for one call.
const MAX_ATTEMPTS: usize = 3;

/// What a target does with its calls at a given time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Behaviour {
    /// Runs each call for this many milliseconds.
    Runs(u64),
    /// Answers nothing; the calls that it holds continue afterwards.
    Unresponsive,
    /// Runs calls as usual, but its answers arrive this many milliseconds later.
    DelaysAnswers(u64),
    /// Refuses one in this many calls immediately and runs the others.
    RefusesOneIn(u64),
    /// Answers each call immediately that it failed.
    AnswersErrors,
}

/// Results of the calls that arrived in a period.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) arrived: u32,
    pub(crate) in_time: u32,
    /// First attempts, by target.
    pub(crate) sends: [u32; TARGETS],
    /// First attempts in the data centre of the caller.
    pub(crate) local_sends: u32,
}

impl Tally {
    pub(crate) fn share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.arrived.max(1))
    }
}

#[derive(Clone, Copy, Debug)]
struct Call {
    caller: usize,
    key: InstanceKey,
    arrived: u64,
    sent: u64,
    /// End of the run, once it has started.
    ends: Option<u64>,
}

struct Sim {
    start: Instant,
    routers: Vec<Router>,
    running: [Vec<Call>; TARGETS],
    queues: [VecDeque<Call>; TARGETS],
    /// Answers in transit, with their arrival times and the loads that they report.
    answers: [VecDeque<(u64, Call, Load)>; TARGETS],
    count: u64,
    tallies: Vec<Tally>,
}

/// Simulates `load`, relative to the capacity of four healthy targets; returns a tally for each
/// second. `behaviour` maps a target and a time in milliseconds to the target's behaviour.
pub(crate) fn simulate(
    load: f64,
    seconds: u64,
    behaviour: impl Fn(usize, u64) -> Behaviour,
) -> Vec<Tally> {
    let mut sim = Sim::new(seconds);
    let per_ms = CAPACITY_PER_MS * load;
    let mut due = 0.0;
    // The calls that arrive last get time to end.
    for now in 0..seconds * 1_000 + DEADLINE_MS {
        if now < seconds * 1_000 {
            due += per_ms;
        }
        while due >= 1.0 {
            due -= 1.0;
            sim.arrive(now, &behaviour);
        }
        for target in 0..TARGETS {
            sim.step(target, now, behaviour(target, now));
        }
    }
    sim.tallies
}

impl Sim {
    fn new(seconds: u64) -> Self {
        let start = Instant::now();
        let routers = (0..CALLERS).map(|n| router(n, start)).collect();
        Sim {
            start,
            routers,
            running: Default::default(),
            queues: Default::default(),
            answers: Default::default(),
            count: 0,
            tallies: vec![Tally::default(); usize::try_from(seconds).unwrap()],
        }
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    fn tally(&mut self, arrived: u64) -> &mut Tally {
        &mut self.tallies[usize::try_from(arrived / 1_000).unwrap()]
    }

    /// Routes a new call, which tries other targets if it is refused.
    fn arrive(&mut self, now: u64, behaviour: &impl Fn(usize, u64) -> Behaviour) {
        self.count += 1;
        self.tally(now).arrived += 1;
        let caller = usize::try_from(self.count).unwrap() % CALLERS;
        let mut tried = Vec::new();
        while tried.len() < MAX_ATTEMPTS {
            let at = self.at(now);
            let Pick::Chosen(key) = self.routers[caller].pick(Class::Standard, &tried, at) else {
                return;
            };
            let target = target_of(&self.routers[caller], key);
            if tried.is_empty() {
                self.tally(now).sends[target] += 1;
                self.tally(now).local_sends += u32::from(target == caller % TARGETS);
            }
            tried.push(key);
            let refused = match behaviour(target, now) {
                Behaviour::RefusesOneIn(n) => self.count.is_multiple_of(n),
                _ => false,
            };
            if refused {
                let outcome = CallOutcome::TargetRefused;
                self.routers[caller].finish(key, outcome, Duration::ZERO, None, at);
                continue;
            }
            if behaviour(target, now) == Behaviour::AnswersErrors {
                let router = &mut self.routers[caller];
                router.report_run_time(key, Duration::from_millis(1));
                let latency = Duration::from_millis(1);
                router.finish(key, CallOutcome::ServerError, latency, None, at);
                return;
            }
            self.queues[target].push_back(Call {
                caller,
                key,
                arrived: now,
                sent: now,
                ends: None,
            });
            return;
        }
    }

    /// Advances one target by a millisecond.
    fn step(&mut self, target: usize, now: u64, behaviour: Behaviour) {
        let is_expired = |call: &Call| now >= call.arrived + DEADLINE_MS;
        let mut cancelled: Vec<Call> = self.running[target]
            .extract_if(.., |c| is_expired(c))
            .collect();
        let queue = std::mem::take(&mut self.queues[target]);
        let (expired, waiting) = queue.into_iter().partition(|call| is_expired(call));
        self.queues[target] = waiting;
        cancelled.extend::<VecDeque<Call>>(expired);
        for call in cancelled {
            self.finish(&call, CallOutcome::Cancelled, None, now);
        }
        let (run_ms, delay_ms) = match behaviour {
            Behaviour::Unresponsive => return,
            Behaviour::Runs(ms) => (ms, 0),
            Behaviour::DelaysAnswers(ms) => (RUN_MS, ms),
            Behaviour::RefusesOneIn(_) | Behaviour::AnswersErrors => (RUN_MS, 0),
        };
        let is_done = |call: &mut Call| call.ends.is_some_and(|ends| ends <= now);
        let done: Vec<Call> = self.running[target].extract_if(.., is_done).collect();
        while self.running[target].len() < SLOTS
            && let Some(mut call) = self.queues[target].pop_front()
        {
            call.ends = Some(now + run_ms);
            self.running[target].push(call);
        }
        let load = Load {
            in_flight: u32::try_from(self.running[target].len()).unwrap(),
            limit: u32::try_from(SLOTS).unwrap(),
            queued: u32::try_from(self.queues[target].len()).unwrap(),
            queue_delay: Duration::ZERO,
            floor: Class::Bulk,
        };
        let sent = done.into_iter().map(|call| (now + delay_ms, call, load));
        self.answers[target].extend(sent);
        while let Some((_, call, load)) = self.answers[target].pop_front_if(|(at, ..)| *at <= now) {
            let router = &mut self.routers[call.caller];
            router.report_run_time(call.key, Duration::from_millis(run_ms));
            self.finish(&call, CallOutcome::Answered, Some(load), now);
            if now - call.arrived <= LATENCY_GOAL_MS {
                self.tally(call.arrived).in_time += 1;
            }
        }
    }

    fn finish(&mut self, call: &Call, outcome: CallOutcome, load: Option<Load>, now: u64) {
        let latency = Duration::from_millis(now - call.sent);
        let at = self.at(now);
        self.routers[call.caller].finish(call.key, outcome, latency, load, at);
    }
}

fn router(number: usize, now: Instant) -> Router {
    let data_centre = format!("norte-{}", number % TARGETS);
    let cfg = RouterConfig {
        strategy: RoutingStrategy::LeastCost,
        ..RouterConfig::new(format!("origin-{number}").into(), data_centre.into(), 16)
    };
    let mut router = Router::new(cfg, u64::try_from(number).unwrap(), now);
    let candidates: Vec<Candidate> = (0..TARGETS)
        .map(|n| Candidate {
            id: format!("caja-{n}").into(),
            data_centre: format!("norte-{n}").into(),
            status: InstanceStatus::Live,
        })
        .collect();
    router.update(&candidates, now);
    router
}

fn target_of(router: &Router, key: InstanceKey) -> usize {
    let id = router.instance(key).expect("just picked");
    let number = id.as_str().trim_start_matches("caja-");
    number.parse().expect("a number")
}

/// Sums the tallies of several seconds.
pub(crate) fn sum(tallies: &[Tally]) -> Tally {
    let mut sum = Tally::default();
    for second in tallies {
        sum.arrived += second.arrived;
        sum.in_time += second.in_time;
        sum.local_sends += second.local_sends;
        for (sum, sends) in sum.sends.iter_mut().zip(second.sends) {
            *sum += sends;
        }
    }
    sum
}
