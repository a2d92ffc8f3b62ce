//! A service of four targets, one in each data centre, and daemons that call it.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use model::Class;
use policy::{
    CallEnd, Candidate, InstanceKey, InstanceStatus, Load, Pick, Router, RouterConfig,
    RoutingStrategy,
};

pub(crate) const TARGETS: usize = 4;
/// Requests that a target runs at once.
pub(crate) const SLOTS: usize = 20;
/// Time of a run in a healthy target.
pub(crate) const RUN_MS: u64 = 40;
/// Time within which an answer is in time: several runs.
pub(crate) const AIM_MS: u64 = 200;
/// Time after which a call is given up.
pub(crate) const DEADLINE_MS: u64 = 1_000;
/// Runs of all healthy targets in a millisecond: their slots over the time of a run.
const CAPACITY_PER_MS: f64 = 2.0;
/// Daemons that call the service.
const ORIGINS: usize = 8;
/// Targets that are tried for one call.
const MAX_TRIES: usize = 3;

/// What a target does with calls at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Manner {
    /// Runs each for this many milliseconds.
    Runs(u64),
    /// Answers nothing; what it holds goes on when it runs again.
    Silent,
    /// Runs as usual; answers take so many milliseconds longer on their way.
    Delays(u64),
    /// Refuses every so many a call at once and runs the others.
    RefusesOneIn(u64),
}

/// What became of the calls of a span of time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) arrived: u32,
    pub(crate) in_time: u32,
    /// First sends, by target.
    pub(crate) sends: [u32; TARGETS],
}

impl Tally {
    pub(crate) fn share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.arrived.max(1))
    }
}

#[derive(Clone, Copy, Debug)]
struct Call {
    origin: usize,
    key: InstanceKey,
    arrived: u64,
    sent: u64,
    /// End of its run, once it runs.
    ends: Option<u64>,
}

struct Sim {
    start: Instant,
    routers: Vec<Router>,
    running: [Vec<Call>; TARGETS],
    queues: [VecDeque<Call>; TARGETS],
    /// Answers on their way, with the times of their arrival and the load that they report.
    answers: [VecDeque<(u64, Call, Load)>; TARGETS],
    count: u64,
    tallies: Vec<Tally>,
}

/// Plays a part of the capacity of four healthy targets; returns a tally for each second.
pub(crate) fn play(
    part_of_capacity: f64,
    seconds: u64,
    manner: impl Fn(usize, u64) -> Manner,
) -> Vec<Tally> {
    let mut sim = Sim::new(seconds);
    let per_ms = CAPACITY_PER_MS * part_of_capacity;
    let mut due = 0.0;
    // What arrives last is given time to end.
    for now in 0..seconds * 1_000 + DEADLINE_MS {
        if now < seconds * 1_000 {
            due += per_ms;
        }
        while due >= 1.0 {
            due -= 1.0;
            sim.arrive(now, &manner);
        }
        for target in 0..TARGETS {
            sim.work(target, now, manner(target, now));
        }
    }
    sim.tallies
}

impl Sim {
    fn new(seconds: u64) -> Self {
        let start = Instant::now();
        let routers = (0..ORIGINS).map(|n| router(n, start)).collect();
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

    fn arrive(&mut self, now: u64, manner: &impl Fn(usize, u64) -> Manner) {
        self.count += 1;
        self.tally(now).arrived += 1;
        let origin = usize::try_from(self.count).unwrap() % ORIGINS;
        let mut asked = Vec::new();
        while asked.len() < MAX_TRIES {
            let at = self.at(now);
            let Pick::Chosen(key) = self.routers[origin].pick(Class::Standard, &asked, at) else {
                return;
            };
            let target = target_of(&self.routers[origin], key);
            if asked.is_empty() {
                self.tally(now).sends[target] += 1;
            }
            asked.push(key);
            let refused = match manner(target, now) {
                Manner::RefusesOneIn(n) => self.count.is_multiple_of(n),
                _ => false,
            };
            if refused {
                let end = CallEnd::TargetRefused;
                self.routers[origin].finish(key, end, Duration::ZERO, None, at);
                continue;
            }
            self.queues[target].push_back(Call {
                origin,
                key,
                arrived: now,
                sent: now,
                ends: None,
            });
            return;
        }
    }

    fn work(&mut self, target: usize, now: u64, manner: Manner) {
        let given_up = |call: &Call| now >= call.arrived + DEADLINE_MS;
        let mut left: Vec<Call> = self.running[target]
            .extract_if(.., |c| given_up(c))
            .collect();
        let queue = std::mem::take(&mut self.queues[target]);
        let (ended, waiting) = queue.into_iter().partition(|call| given_up(call));
        self.queues[target] = waiting;
        left.extend::<VecDeque<Call>>(ended);
        for call in left {
            self.finish(&call, CallEnd::Cancelled, None, now);
        }
        let (run_ms, delay_ms) = match manner {
            Manner::Silent => return,
            Manner::Runs(ms) => (ms, 0),
            Manner::Delays(ms) => (RUN_MS, ms),
            Manner::RefusesOneIn(_) => (RUN_MS, 0),
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
            let router = &mut self.routers[call.origin];
            router.report_run_time(call.key, Duration::from_millis(run_ms));
            self.finish(&call, CallEnd::Answered, Some(load), now);
            if now - call.arrived <= AIM_MS {
                self.tally(call.arrived).in_time += 1;
            }
        }
    }

    fn finish(&mut self, call: &Call, end: CallEnd, load: Option<Load>, now: u64) {
        let latency = Duration::from_millis(now - call.sent);
        let at = self.at(now);
        self.routers[call.origin].finish(call.key, end, latency, load, at);
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

/// Sum of some seconds.
pub(crate) fn sum(tallies: &[Tally]) -> Tally {
    let mut sum = Tally::default();
    for second in tallies {
        sum.arrived += second.arrived;
        sum.in_time += second.in_time;
        for (sum, sends) in sum.sends.iter_mut().zip(second.sends) {
            *sum += sends;
        }
    }
    sum
}
