//! A gate keeps to the rate that its target names, whatever arrives.

use std::time::{Duration, Instant};

use model::{Class, OperationKey, RefusalReason};
use policy::{Decision, Gate, GateConfig, Permit, QueueEvent, RunOutcome, Work};
use proptest::prelude::*;

const MS: Duration = Duration::from_millis(1);
const SLOTS: u32 = 50;
/// Window over which a rate binds, and the calls that are allowed in it: one and a half times the
/// rate and five more.
const WINDOW_MS: u64 = 4_000;

fn is_allowed(starts: usize, per_second: f64) -> bool {
    let starts = u32::try_from(starts).expect("a short simulation");
    f64::from(starts) <= 1.5 * per_second * 4.0 + 5.0
}

fn work(arrived: Instant, left: Duration) -> Work {
    Work {
        class: Class::Standard,
        worth: 1,
        shed_hash: 0,
        attempt: 0,
        arrived,
        deadline: arrived + left,
        operation: OperationKey(0),
    }
}

fn gate(now: Instant) -> Gate {
    let cfg = GateConfig::new(SLOTS)
        .with_queue(4 * SLOTS)
        .with_adaptive(false)
        .with_slow_start(false)
        .with_named_rate(true);
    Gate::new(cfg, now)
}

/// A gate before a target whose runs take a fixed time and whose answers name a rate.
struct Simulation {
    gate: Gate,
    start: Instant,
    ms: u64,
    run_ms: u64,
    running: Vec<(u64, Permit)>,
    /// When each call started, in milliseconds.
    starts: Vec<u64>,
    refused: u32,
    wakeups_in_the_past: u32,
}

impl Simulation {
    fn new(run_ms: u64) -> Self {
        let start = Instant::now();
        Simulation {
            gate: gate(start),
            start,
            ms: 0,
            run_ms,
            running: Vec::new(),
            starts: Vec::new(),
            refused: 0,
            wakeups_in_the_past: 0,
        }
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + MS * u32::try_from(ms).expect("a short simulation")
    }

    fn begin(&mut self, permit: Permit) {
        self.starts.push(self.ms);
        self.running.push((self.ms + self.run_ms, permit));
    }

    /// Simulates one millisecond in which `arrivals` calls arrive and answers name `per_second`.
    fn step(&mut self, arrivals: u32, per_second: Option<f64>) {
        let now = self.at(self.ms);
        let (ended, rest): (Vec<_>, Vec<_>) =
            self.running.drain(..).partition(|(end, _)| *end <= self.ms);
        self.running = rest;
        for (end, permit) in ended {
            self.gate
                .record_answer(per_second, self.at(end - self.run_ms), now);
            self.gate.finish(permit, RunOutcome::Answered, now);
        }
        let mut events = Vec::new();
        self.gate.poll(now, &mut events);
        for event in events {
            match event {
                QueueEvent::Start(_, permit) => self.begin(permit),
                QueueEvent::Refuse(..) => self.refused += 1,
            }
        }
        for _ in 0..arrivals {
            match self.gate.offer(work(now, Duration::from_secs(2)), now) {
                Decision::Run(permit) => self.begin(permit),
                Decision::Wait { .. } => {}
                Decision::Refuse(_) => self.refused += 1,
            }
        }
        if self.gate.next_wakeup(now).is_some_and(|at| at <= now) {
            self.wakeups_in_the_past += 1;
        }
        self.ms += 1;
    }

    /// Largest number of starts in any window that begins after `from_ms`.
    fn most_in_a_window(&self, from_ms: u64) -> usize {
        let counted = self.starts.iter().filter(|start| **start >= from_ms);
        let starts: Vec<u64> = counted.copied().collect();
        let in_window = |(index, start): (usize, &u64)| {
            let rest = starts[index..].iter();
            rest.take_while(|later| **later < start + WINDOW_MS).count()
        };
        starts.iter().enumerate().map(in_window).max().unwrap_or(0)
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// Guards against a target that gets more calls than it names, whatever the load and run time.
    #[test]
    fn starts_keep_to_the_named_rate(
        per_second in 0.0_f64..80.0,
        run_ms in 1_u64..400,
        arrivals in prop::collection::vec(0_u32..4, 40),
    ) {
        let mut simulation = Simulation::new(run_ms);
        for turn in 0..6_000_usize {
            simulation.step(arrivals[turn / 150], Some(per_second));
        }
        let most = simulation.most_in_a_window(run_ms + 1);
        prop_assert!(is_allowed(most, per_second), "{most}");
        prop_assert_eq!(simulation.wakeups_in_the_past, 0);
    }
}

#[test]
fn all_that_the_target_takes_is_used() {
    let mut simulation = Simulation::new(90);
    for _ in 0..8_000 {
        simulation.step(1, Some(40.0));
    }
    let used = simulation.starts.iter().filter(|start| **start >= 4_000);
    assert_eq!(used.count(), 160);
    let now = simulation.at(simulation.ms);
    let load = simulation.gate.load(now);
    // 40 calls a second of 90 ms are 3.6 at the same time.
    assert!((simulation.gate.capacity(now) - 3.6).abs() < 0.1);
    assert_eq!((load.limit, load.queued), (4, 16));
    // What can't start soon is refused at once: 40 a second start, 1000 arrive.
    assert!(simulation.refused > 7_600, "{}", simulation.refused);
    assert!(load.queue_delay <= Duration::from_millis(400));
}

/// Guards against a burst to a target whose limit a restarted daemon doesn't know yet.
#[test]
fn few_calls_run_before_the_target_has_answered() {
    let mut simulation = Simulation::new(500);
    for _ in 0..500 {
        simulation.step(1, Some(2.0));
    }
    // One more after a quarter of a second, as the first ones may wait for calls that they make.
    assert_eq!(simulation.starts, [0, 1, 2, 3, 250]);
    for _ in 0..8_000 {
        simulation.step(1, Some(2.0));
    }
    let most = simulation.most_in_a_window(0);
    assert!(is_allowed(most, 2.0), "{most}");
}

#[test]
fn a_target_without_a_limit_is_bound_by_its_slots() {
    let mut simulation = Simulation::new(100);
    for _ in 0..2_000 {
        simulation.step(1, None);
    }
    // Fifty slots for 100 ms each.
    assert!(simulation.starts.len() > 900, "{}", simulation.starts.len());
}

#[test]
fn an_answer_that_was_overtaken_does_not_end_the_limit() {
    let start = Instant::now();
    let mut gate = gate(start);
    assert!(gate.record_answer(Some(10.0), start, start + 100 * MS));
    assert!(!gate.record_answer(None, start + 50 * MS, start + 150 * MS));
    assert!(!gate.record_answer(Some(10.0), start, start + 160 * MS));
    assert!(gate.record_answer(None, start + 161 * MS, start + 200 * MS));
}

#[test]
fn a_call_that_the_rate_does_not_start_in_time_is_refused_at_once() {
    let start = Instant::now();
    let mut gate = gate(start);
    gate.record_answer(Some(1.0), start, start);
    let decision = gate.offer(work(start, 100 * MS), start);
    assert!(matches!(decision, Decision::Run(_)));
    let Decision::Refuse(refusal) = gate.offer(work(start, 100 * MS), start) else {
        panic!("the next call starts after a second");
    };
    assert_eq!(refusal.reason, RefusalReason::Deadline);
    assert!(refusal.retry_after > 400 * MS, "{:?}", refusal.retry_after);
    // Another target at the place of this one has named nothing.
    gate.record_restart();
    let decision = gate.offer(work(start, 100 * MS), start);
    assert!(matches!(decision, Decision::Run(_)));
}
