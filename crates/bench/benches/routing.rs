//! Compares ways of routing on a virtual clock: two data centres of four
//! instances each, six callers in each, one operation.
//!
//! Prints a row per way; the design record takes its figures from here.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::{Duration, Instant};

use model::{Class, OperationKey, RefusalReason};
use policy::{
    CallOutcome, Candidate, Decision, Gate, GateConfig, InstanceKey, InstanceStatus, Permit, Pick,
    QueueEvent, Router, RouterConfig, RunOutcome, WaiterKey, Work,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SEED: u64 = 7;
const INSTANCES: usize = 8;
const CALLERS: usize = 12;
const SLOTS: u32 = 20;
const MEAN: Duration = Duration::from_millis(30);
const DEADLINE: Duration = Duration::from_millis(500);
const LENGTH: Duration = Duration::from_secs(20);
const WARM_UP: Duration = Duration::from_secs(5);
const FAIL_TIME: Duration = Duration::from_millis(1);
const NAMES: [&str; 2] = ["norte-a", "norte-b"];

/// How a caller chooses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// Any instance of the own data centre.
    Random,
    /// Any instance anywhere.
    RandomAnywhere,
    /// The router of this crate.
    Router,
}

#[derive(Clone, Copy, Debug)]
struct Scenario {
    name: &'static str,
    /// Demand in each data centre, as a share of its slots.
    loads: [f64; 2],
    /// Factor on the first instance's service times.
    slowness: f64,
    /// True if the first instance breaks off every call at once.
    failing: bool,
}

const SCENARIOS: [Scenario; 4] = [
    scenario("even", [0.8, 0.8], 1.0, false),
    scenario("one slow", [0.6, 0.6], 5.0, false),
    scenario("one failing", [0.6, 0.6], 1.0, true),
    scenario("one side full", [1.5, 0.3], 1.0, false),
];

const fn scenario(name: &'static str, loads: [f64; 2], slowness: f64, failing: bool) -> Scenario {
    Scenario {
        name,
        loads,
        slowness,
        failing,
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrive(usize),
    End(usize),
}

struct Call {
    caller: usize,
    instance: usize,
    key: Option<InstanceKey>,
    arrived: Instant,
    permit: Option<Permit>,
    fails: bool,
}

struct Run {
    scenario: Scenario,
    way: Way,
    rng: SmallRng,
    begin: Instant,
    routers: Vec<Router>,
    gates: Vec<Gate>,
    waiting: Vec<BTreeMap<WaiterKey, usize>>,
    calls: Vec<Call>,
    steps: BinaryHeap<Reverse<(Instant, Step)>>,
    made: u32,
    answered: u32,
    crossed: u32,
    latencies: Vec<Duration>,
}

fn main() {
    println!(
        "{:<14} {:<16} {:>10} {:>10} {:>8} {:>8}",
        "scenario", "way", "answered%", "crossed%", "p50 ms", "p99 ms"
    );
    for scenario in SCENARIOS {
        for (name, way) in [
            ("random, own", Way::Random),
            ("random, any", Way::RandomAnywhere),
            ("berylhead", Way::Router),
        ] {
            let mut run = Run::new(scenario, way);
            run.run();
            run.print(name);
        }
    }
}

impl Run {
    fn new(scenario: Scenario, way: Way) -> Self {
        let begin = Instant::now();
        let candidates: Vec<Candidate> = (0..INSTANCES)
            .map(|at| Candidate {
                id: format!("{at}").into(),
                data_centre: NAMES[at % 2].into(),
                status: InstanceStatus::Live,
            })
            .collect();
        let routers = (0..CALLERS)
            .zip(100..)
            .map(|(caller, seed)| {
                let cfg = RouterConfig::new(
                    format!("caller-{caller}").into(),
                    NAMES[caller % 2].into(),
                    INSTANCES,
                );
                let mut router = Router::new(cfg, seed, begin);
                router.update(&candidates, begin);
                router
            })
            .collect();
        let cfg = GateConfig::new(SLOTS).with_slow_start(false);
        let mut run = Run {
            scenario,
            way,
            rng: SmallRng::seed_from_u64(SEED),
            begin,
            routers,
            gates: (0..INSTANCES).map(|_| Gate::new(cfg, begin)).collect(),
            waiting: vec![BTreeMap::new(); INSTANCES],
            calls: Vec::new(),
            steps: BinaryHeap::new(),
            made: 0,
            answered: 0,
            crossed: 0,
            latencies: Vec::new(),
        };
        for caller in 0..CALLERS {
            let first = begin + run.gap(caller);
            run.steps.push(Reverse((first, Step::Arrive(caller))));
        }
        run
    }

    fn run(&mut self) {
        while let Some(Reverse((now, step))) = self.steps.pop() {
            if now >= self.begin + LENGTH {
                return;
            }
            match step {
                Step::Arrive(caller) => {
                    let next = now + self.gap(caller);
                    self.steps.push(Reverse((next, Step::Arrive(caller))));
                    self.arrive(caller, now);
                }
                Step::End(call) => self.end(call, now),
            }
        }
    }

    /// Time to a caller's next call.
    fn gap(&mut self, caller: usize) -> Duration {
        let instances_a_side = 4.0;
        let callers_a_side = 6.0;
        let capacity = f64::from(SLOTS) * instances_a_side / MEAN.as_secs_f64();
        let rate = capacity * self.scenario.loads[caller % 2] / callers_a_side;
        let part: f64 = self.rng.random_range(1e-9..1.0);
        Duration::from_secs_f64(-part.ln() / rate)
    }

    fn measured(&self, at: Instant) -> bool {
        at >= self.begin + WARM_UP && at + DEADLINE < self.begin + LENGTH
    }

    fn arrive(&mut self, caller: usize, now: Instant) {
        if self.measured(now) {
            self.made += 1;
        }
        let Some((instance, key)) = self.choose(caller, now) else {
            return;
        };
        if self.measured(now) {
            self.crossed += u32::from(instance % 2 != caller % 2);
        }
        let call = self.calls.len();
        self.calls.push(Call {
            caller,
            instance,
            key,
            arrived: now,
            permit: None,
            fails: self.scenario.failing && instance == 0,
        });
        if self.calls[call].fails {
            self.steps.push(Reverse((now + FAIL_TIME, Step::End(call))));
            return;
        }
        let work = Work {
            class: Class::Standard,
            worth: 1,
            shed_hash: self.rng.random(),
            attempt: 0,
            arrived: now,
            deadline: now + DEADLINE,
            operation: OperationKey(0),
        };
        match self.gates[instance].offer(work, now) {
            Decision::Run(permit) => self.start(call, permit, now),
            Decision::Wait { key, evicted } => {
                self.waiting[instance].insert(key, call);
                if let Some((lost, refusal)) = evicted {
                    self.refuse(instance, lost, refusal.reason, now);
                }
            }
            Decision::Refuse(refusal) => self.tell(call, CallOutcome::NotRun(refusal.reason), now),
        }
    }

    fn choose(&mut self, caller: usize, now: Instant) -> Option<(usize, Option<InstanceKey>)> {
        match self.way {
            Way::Random => Some((
                2 * self.rng.random_range(0..INSTANCES / 2) + caller % 2,
                None,
            )),
            Way::RandomAnywhere => Some((self.rng.random_range(0..INSTANCES), None)),
            Way::Router => {
                let router = &mut self.routers[caller];
                let Pick::Chosen(key) = router.pick(Class::Standard, &[], now) else {
                    return None;
                };
                let id = router.instance(key)?.as_str().parse().ok()?;
                Some((id, Some(key)))
            }
        }
    }

    fn start(&mut self, call: usize, permit: Permit, now: Instant) {
        let parts: f64 =
            self.rng.random_range(1e-9..1.0_f64) * self.rng.random_range(1e-9..1.0_f64);
        let slow = self.calls[call].instance == 0;
        let factor = if slow { self.scenario.slowness } else { 1.0 };
        let time = MEAN.mul_f64(factor * -parts.ln() / 2.0);
        self.calls[call].permit = Some(permit);
        let cut = self.calls[call].arrived + DEADLINE;
        self.steps
            .push(Reverse(((now + time).min(cut), Step::End(call))));
    }

    fn end(&mut self, call: usize, now: Instant) {
        let Call {
            instance,
            permit,
            fails,
            arrived,
            ..
        } = self.calls[call];
        let whole = !fails && now < arrived + DEADLINE;
        if let Some(permit) = permit {
            let end = if whole {
                RunOutcome::Answered
            } else {
                RunOutcome::Cancelled
            };
            self.gates[instance].finish(permit, end, now);
        }
        if whole && self.measured(arrived) {
            self.answered += 1;
            self.latencies.push(now - arrived);
        }
        let end = if whole {
            CallOutcome::Answered
        } else {
            CallOutcome::Unknown
        };
        self.tell(call, end, now);
        let mut events = Vec::new();
        self.gates[instance].poll(now, &mut events);
        for event in events {
            match event {
                QueueEvent::Start(key, permit) => {
                    if let Some(call) = self.waiting[instance].remove(&key) {
                        self.start(call, permit, now);
                    }
                }
                QueueEvent::Refuse(key, refusal) => self.refuse(instance, key, refusal.reason, now),
            }
        }
    }

    fn refuse(&mut self, instance: usize, key: WaiterKey, reason: RefusalReason, now: Instant) {
        if let Some(call) = self.waiting[instance].remove(&key) {
            self.tell(call, CallOutcome::NotRun(reason), now);
        }
    }

    /// Tells the caller's router how a call ended, with the instance's load.
    fn tell(&mut self, call: usize, end: CallOutcome, now: Instant) {
        let call = &self.calls[call];
        if let Some(key) = call.key {
            let load = (end != CallOutcome::Unknown).then(|| self.gates[call.instance].load(now));
            let latency = now - call.arrived;
            self.routers[call.caller].finish(key, end, latency, load, now);
        }
    }

    fn print(&mut self, way: &str) {
        self.latencies.sort_unstable();
        let at = |rank: usize| {
            let latency = self.latencies.get(rank).copied().unwrap_or_default();
            latency.as_secs_f64() * 1_000.0
        };
        let made = f64::from(self.made.max(1));
        println!(
            "{:<14} {way:<16} {:>10.2} {:>10.2} {:>8.1} {:>8.1}",
            self.scenario.name,
            100.0 * f64::from(self.answered) / made,
            100.0 * f64::from(self.crossed) / made,
            at(self.latencies.len() / 2),
            at(self.latencies.len() * 99 / 100),
        );
    }
}
