//! Pattern: a query of death, a request that crashes each target that runs it and comes again and
//! again, beside ordinary traffic; and ordinary crashes, which no request causes.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::{Duration, Instant};

use model::InstanceId;
use policy::{CrashNews, Crashes, EndKey, EndReport, Fingerprint, Treatment};
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use smol_str::{SmolStr, format_smolstr};

const STEP: Duration = Duration::from_millis(10);
/// Steps from a crash to the next start.
const DOWN_STEPS: usize = 150;
/// Steps that news take from one daemon to another.
const NEWS_STEPS: usize = 2;
/// Share of the news that is lost; daemons compare what they know every [`COMPARE_STEPS`].
const NEWS_LOSS: f64 = 0.2;
const COMPARE_STEPS: usize = 50;
/// Steps that a caller waits at most.
const PATIENCE_STEPS: usize = 150;
/// Time in which all daemons hear of something, in steps.
const CONTACT_STEPS: usize = 300;
/// Steps after which a caller whose request was lost sends it once more, if it may be repeated.
const RETURN_STEPS: usize = 20;
/// Requests below this fingerprint are sent by many callers.
const COMMON: u64 = 1_000;

#[derive(Clone, Copy)]
struct Request {
    fingerprint: Fingerprint,
    is_repeatable: bool,
    sends: u32,
    attempts: u32,
    give_up_at: usize,
}

struct Run {
    request: Request,
    ends_at: usize,
    is_alone: bool,
}

struct Target {
    up_at: usize,
    runs: Vec<Run>,
    /// Suspects that wait until the one that runs alone has ended.
    waiting: VecDeque<Request>,
    crashes: Crashes,
}

struct Simulation {
    rng: SmallRng,
    begin: Instant,
    step: usize,
    targets: Vec<Target>,
    guilty: BTreeSet<Fingerprint>,
    news: VecDeque<(usize, usize, CrashNews)>,
    next_id: u64,
    /// Steps at which a guilty request began to run.
    guilty_runs: HashMap<Fingerprint, Vec<usize>>,
    served: usize,
    innocent_held_back: usize,
    innocent_without_turn: usize,
    returning: VecDeque<(usize, Request)>,
}

impl Simulation {
    fn new(targets: usize, guilty: &[u64], seed: u64) -> Self {
        let target = || Target {
            up_at: 0,
            runs: Vec::new(),
            waiting: VecDeque::new(),
            crashes: Crashes::default(),
        };
        Simulation {
            rng: SmallRng::seed_from_u64(seed),
            begin: Instant::now(),
            step: 0,
            targets: std::iter::repeat_with(target).take(targets).collect(),
            guilty: guilty.iter().copied().map(Fingerprint).collect(),
            news: VecDeque::new(),
            next_id: COMMON,
            guilty_runs: HashMap::new(),
            served: 0,
            innocent_held_back: 0,
            innocent_without_turn: 0,
            returning: VecDeque::new(),
        }
    }

    fn now(&self) -> Instant {
        self.begin + STEP * u32::try_from(self.step).expect("a short simulation")
    }

    /// Sends a request to a random target that runs.
    fn send(&mut self, request: Request) {
        let step = self.step;
        let up = (0..self.targets.len()).filter(|i| self.targets[*i].up_at <= step);
        let Some(target) = up.choose(&mut self.rng) else {
            self.lose(request);
            return;
        };
        self.offer(target, request);
    }

    /// Runs a request in a target, or lets it wait there, as its daemon decides.
    fn offer(&mut self, target: usize, mut request: Request) {
        let treatment = self.targets[target]
            .crashes
            .treatment(request.fingerprint, self.now());
        let is_guilty = self.guilty.contains(&request.fingerprint);
        let is_alone = treatment != Treatment::Normal;
        if matches!(treatment, Treatment::HeldBack { .. }) {
            self.innocent_held_back += usize::from(!is_guilty);
            return;
        }
        if is_alone && self.targets[target].runs.iter().any(|run| run.is_alone) {
            self.targets[target].waiting.push_back(request);
            return;
        }
        request.sends += 1;
        let steps = if is_guilty {
            3
        } else {
            self.rng.random_range(3..15)
        };
        if is_guilty {
            let runs = self.guilty_runs.entry(request.fingerprint).or_default();
            runs.push(self.step);
        }
        self.targets[target].runs.push(Run {
            request,
            ends_at: self.step + steps,
            is_alone,
        });
    }

    /// Loses a request. Its caller comes back with it once.
    fn lose(&mut self, request: Request) {
        if request.is_repeatable && request.attempts == 1 {
            let again = Request {
                sends: 0,
                attempts: 2,
                give_up_at: self.step + RETURN_STEPS + PATIENCE_STEPS,
                ..request
            };
            self.returning.push_back((self.step + RETURN_STEPS, again));
        }
    }

    fn arrive(&mut self, fingerprint: Fingerprint, is_repeatable: bool) {
        let give_up_at = self.step + PATIENCE_STEPS;
        self.send(Request {
            fingerprint,
            is_repeatable,
            sends: 0,
            attempts: 1,
            give_up_at,
        });
    }

    /// Lets the callers of lost requests come back.
    fn return_lost(&mut self) {
        while self
            .returning
            .front()
            .is_some_and(|(at, _)| *at <= self.step)
        {
            if let Some((_, request)) = self.returning.pop_front() {
                self.send(request);
            }
        }
    }

    /// Lets ordinary requests arrive: half of them the same ones again and again.
    fn arrive_ordinary(&mut self, count: usize) {
        for _ in 0..count {
            let fingerprint = if self.rng.random_bool(0.5) {
                Fingerprint(self.rng.random_range(100..105))
            } else {
                self.next_id += 1;
                Fingerprint(self.next_id)
            };
            let is_repeatable = self.rng.random_bool(0.7);
            self.arrive(fingerprint, is_repeatable);
        }
    }

    fn crash(&mut self, target: usize) {
        let now = self.now();
        let key = EndKey(self.rng.random());
        let id: InstanceId = format!("i-{target}-{}", self.step).into();
        let daemon: SmolStr = format_smolstr!("machine-{target}");
        let down = &mut self.targets[target];
        down.up_at = self.step + DOWN_STEPS;
        let runs = std::mem::take(&mut down.runs);
        let waiting = std::mem::take(&mut down.waiting);
        let end = EndReport {
            key,
            target: id,
            daemon,
            age: Duration::ZERO,
            suspects: runs.iter().map(|run| run.request.fingerprint).collect(),
        };
        down.crashes.record_end(end, now);
        for run in runs {
            let request = run.request;
            let crashes = &self.targets[target].crashes;
            let is_held = matches!(
                crashes.treatment(request.fingerprint, now),
                Treatment::HeldBack { .. }
            );
            if request.is_repeatable && request.sends < 2 && !is_held {
                self.send(request);
            } else {
                self.lose(request);
            }
        }
        for request in waiting {
            self.send(request);
        }
    }

    fn advance(&mut self) {
        self.step += 1;
        self.return_lost();
        let now = self.now();
        for target in 0..self.targets.len() {
            self.end_runs(target, now);
            let news = self.targets[target].crashes.take_unsent(now);
            if !news.is_empty() {
                for other in (0..self.targets.len()).filter(|other| *other != target) {
                    if !self.rng.random_bool(NEWS_LOSS) {
                        let at = self.step + NEWS_STEPS;
                        self.news.push_back((at, other, news.clone()));
                    }
                }
            }
        }
        while self.news.front().is_some_and(|(at, ..)| *at <= self.step) {
            if let Some((_, to, news)) = self.news.pop_front() {
                self.targets[to].crashes.merge(&news, now);
            }
        }
        if self.step.is_multiple_of(COMPARE_STEPS) {
            for target in 0..self.targets.len() {
                let other = self.rng.random_range(0..self.targets.len());
                let news = self.targets[other].crashes.all(now);
                self.targets[target].crashes.merge(&news, now);
            }
        }
    }

    fn end_runs(&mut self, target: usize, now: Instant) {
        let step = self.step;
        let ended: Vec<Run> = self.targets[target]
            .runs
            .extract_if(.., |run| run.ends_at <= step)
            .collect();
        let is_guilty = |run: &Run| self.guilty.contains(&run.request.fingerprint);
        let crashes = ended.iter().any(is_guilty);
        for run in ended {
            if crashes {
                self.targets[target].runs.push(run);
                continue;
            }
            let fingerprint = run.request.fingerprint;
            let daemon = &mut self.targets[target].crashes;
            daemon.record_whole_run(fingerprint, now);
            self.served += 1;
        }
        if crashes {
            self.crash(target);
        }
        let waiting = std::mem::take(&mut self.targets[target].waiting);
        for request in waiting {
            if request.give_up_at > self.step {
                self.offer(target, request);
            } else {
                self.innocent_without_turn +=
                    usize::from(!self.guilty.contains(&request.fingerprint));
            }
        }
    }

    /// Runs of a guilty request later than the contact time after the third.
    fn late_runs(&self, guilty: u64) -> usize {
        let runs = &self.guilty_runs[&Fingerprint(guilty)];
        let Some(third) = runs.get(2) else {
            return 0;
        };
        let late = runs.iter().filter(|run| **run > third + CONTACT_STEPS);
        late.count()
    }
}

const GUILTY: [u64; 2] = [1, 2];

/// Steps between two arrivals of a guilty request, of which the first has then ended its target.
const CALM_INTERVAL: usize = 20;

/// Plays a day on which guilty requests arrive every `interval` steps.
fn play(targets: usize, guilty: &[u64], interval: usize, per_step: usize, seed: u64) -> Simulation {
    let mut simulation = Simulation::new(targets, guilty, seed);
    for step in 0..3_000 {
        simulation.arrive_ordinary(per_step);
        if step > 300 && step % interval == 0 {
            for fingerprint in guilty {
                simulation.arrive(Fingerprint(*fingerprint), true);
            }
        }
        simulation.advance();
    }
    simulation
}

/// Guards against sends of a guilty request without end, and against refusing others for being in
/// flight with it.
#[test]
fn a_query_of_death_ends_few_targets_and_no_other_request_is_held_back() {
    for (targets, interval, per_step) in
        [(4, 20, 2), (4, 2, 8), (4, 1, 20), (12, 4, 8), (60, 20, 40)]
    {
        for seed in 0..5 {
            let simulation = play(targets, &GUILTY[..1], interval, per_step, seed);
            let runs = simulation.guilty_runs[&Fingerprint(GUILTY[0])].len();
            let case = format!(
                "{targets} targets, every {interval}, {per_step} per step, seed {seed}: {runs} runs"
            );
            // In a storm, many runs begin before the first end is known.
            if interval >= CALM_INTERVAL {
                assert!(runs <= 6, "{case}");
            }
            assert_eq!(simulation.late_runs(GUILTY[0]), 0, "{case}");
            assert_eq!(simulation.innocent_held_back, 0, "{case}");
            assert_eq!(simulation.innocent_without_turn, 0, "{case}");
        }
    }
}

/// Guards against two guilty requests that hide behind each other.
#[test]
fn two_queries_of_death_at_once_are_both_stopped() {
    for (targets, interval, per_step) in
        [(4, 20, 2), (4, 2, 8), (4, 1, 20), (12, 4, 8), (60, 20, 40)]
    {
        for seed in 0..5 {
            let simulation = play(targets, &GUILTY, interval, per_step, seed);
            let case = format!("{targets} targets, {per_step} per step, seed {seed}");
            for guilty in GUILTY {
                assert!(simulation.late_runs(guilty) <= 3, "{case}");
            }
            assert_eq!(simulation.innocent_held_back, 0, "{case}");
        }
    }
}

/// Guards against a verdict where no request is guilty: a third of the targets crash at once, three
/// times.
#[test]
fn ordinary_crashes_hold_nothing_back() {
    for (targets, per_step) in [(4, 2), (12, 8), (60, 40)] {
        for seed in 0..5 {
            let mut simulation = Simulation::new(targets, &[], seed);
            for step in 0..2_000 {
                simulation.arrive_ordinary(per_step);
                if [400, 800, 1_200].contains(&step) {
                    for target in 0..targets.div_ceil(3) {
                        simulation.crash(target);
                    }
                }
                simulation.advance();
            }
            let case = format!("{targets} targets, {per_step} per step, seed {seed}");
            assert_eq!(simulation.innocent_held_back, 0, "{case}");
            assert_eq!(simulation.innocent_without_turn, 0, "{case}");
            let sent = 2_000 * per_step;
            assert!(simulation.served * 100 >= sent * 95, "{case}");
        }
    }
}
