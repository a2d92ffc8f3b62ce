//! Time of one decision against the number of items that it is taken among.
//!
//! Prints a row per figure: name, items, value, bound, and whether it holds.

use std::hint::black_box;
use std::time::{Duration, Instant};

use model::{Class, OperationKey};
use policy::{
    CallOutcome, Candidate, Decision, EdgeRetries, Gate, GateConfig, InstanceStatus, Permit, Pick,
    QueueEvent, RetryBudget, Router, RouterConfig, RunOutcome, Work,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SEED: u64 = 4;
const SIZES: [u32; 4] = [100, 1_000, 10_000, 100_000];
const BOUND_NS: u128 = 1_000;
const BATCHES: usize = 301;
const BATCH: u32 = 1_000;
const SLOTS: u32 = 160;

fn main() {
    println!(
        "{:<24} {:>8} {:>10} {:>10}",
        "decision", "items", "ns", "bound ns"
    );
    for items in SIZES {
        row("admit: offer", items, admit_offer(items));
    }
    for items in SIZES {
        row("admit: finish and start", items, admit_turn(items));
    }
    for items in SIZES {
        row("pick: pick and finish", items, pick(items));
    }
    for items in SIZES {
        row("lend: lend and settle", items, lend(items));
    }
    for items in SIZES {
        row("lend: edge allow", items, allow(items));
    }
}

fn row(name: &str, items: u32, value: Duration) {
    let ns = value.as_nanos();
    let verdict = if ns < BOUND_NS { "ok" } else { "short" };
    println!("{name:<24} {items:>8} {ns:>10} {BOUND_NS:>10} {verdict}");
}

/// Median over batches of the average time of one step in a batch.
fn time(mut step: impl FnMut(usize)) -> Duration {
    let mut batches: Vec<Duration> = (0..BATCHES)
        .map(|_| {
            let start = Instant::now();
            for at in 0..BATCH {
                step(at as usize);
            }
            start.elapsed() / BATCH
        })
        .collect();
    batches.sort_unstable();
    batches[BATCHES / 2]
}

fn works(now: Instant) -> Vec<Work> {
    let mut rng = SmallRng::seed_from_u64(SEED);
    (0..BATCH)
        .map(|_| Work {
            class: Class::ALL[rng.random_range(0..4)],
            worth: rng.random_range(1..500),
            shed_hash: rng.random(),
            attempt: rng.random_range(0..2),
            arrived: now,
            deadline: now + Duration::from_millis(rng.random_range(3_600_000..3_700_000)),
            operation: OperationKey(rng.random_range(0..8)),
        })
        .collect()
}

/// A gate whose slots are taken and whose queue is full.
fn full_gate(items: u32, works: &[Work], now: Instant) -> (Gate, Vec<Permit>) {
    let cfg = GateConfig::new(SLOTS)
        .with_queue(items)
        .with_slow_start(false);
    let mut gate = Gate::new(cfg, now);
    let mut permits = Vec::new();
    let mut at = now;
    for work in works.iter().cycle() {
        at += Duration::from_micros(5);
        match gate.offer(*work, at) {
            Decision::Run(permit) => permits.push(permit),
            Decision::Wait { .. } | Decision::Refuse(_) => {}
        }
        if gate.load(at).queued == items && permits.len() > SLOTS as usize / 2 {
            break;
        }
    }
    (gate, permits)
}

fn admit_offer(items: u32) -> Duration {
    let now = Instant::now();
    let works = works(now);
    let (mut gate, _permits) = full_gate(items, &works, now);
    let mut at = now;
    time(|step| {
        at += Duration::from_micros(5);
        let _ = black_box(gate.offer(works[step], at));
    })
}

/// A run ends, a waiter takes its slot and a newcomer the place in the queue.
fn admit_turn(items: u32) -> Duration {
    let now = Instant::now();
    let works = works(now);
    let (mut gate, mut permits) = full_gate(items, &works, now);
    let mut events = Vec::new();
    let mut at = now;
    let turn = time(|step| {
        at += Duration::from_micros(5);
        if let Some(permit) = permits.pop() {
            gate.finish(permit, RunOutcome::Answered, at);
        }
        gate.poll(at, &mut events);
        permits.extend(events.drain(..).filter_map(|event| match event {
            QueueEvent::Start(_, permit) => Some(permit),
            QueueEvent::Refuse(..) => None,
        }));
        if let Decision::Run(permit) = gate.offer(works[step], at) {
            permits.push(permit);
        }
    });
    assert!(gate.load(at).queued + 1 >= items, "the queue stays full");
    turn
}

fn pick(items: u32) -> Duration {
    let now = Instant::now();
    let names = ["norte-a", "norte-b", "norte-c", "norte-d"];
    let candidates: Vec<Candidate> = (0..items)
        .map(|id| Candidate {
            id: format!("caja-{id}").into(),
            data_centre: names[id as usize % names.len()].into(),
            status: InstanceStatus::Live,
        })
        .collect();
    let cfg = RouterConfig::new("reservas-1".into(), "norte-a".into(), 16);
    let mut router = Router::new(cfg, SEED, now);
    router.update(&candidates, now);
    let latency = Duration::from_millis(5);
    let mut at = now;
    time(|_| {
        at += Duration::from_micros(5);
        if let Pick::Chosen(key) = black_box(router.pick(Class::Standard, &[], at)) {
            router.finish(key, CallOutcome::Answered, latency, None, at);
        }
    })
}

fn lend(items: u32) -> Duration {
    let mut budgets = vec![RetryBudget::new(3); items as usize];
    let mut rng = SmallRng::seed_from_u64(SEED);
    let order: Vec<usize> = (0..BATCH)
        .map(|_| rng.random_range(0..budgets.len()))
        .collect();
    time(|step| {
        let budget = &mut budgets[order[step]];
        let loan = black_box(budget.lend(2));
        let unspent = loan.amount;
        budget.settle(loan, unspent);
    })
}

fn allow(items: u32) -> Duration {
    let now = Instant::now();
    let mut edges = vec![EdgeRetries::new(10, now); items as usize];
    let mut rng = SmallRng::seed_from_u64(SEED);
    let order: Vec<usize> = (0..BATCH)
        .map(|_| rng.random_range(0..edges.len()))
        .collect();
    let mut at = now;
    time(|step| {
        at += Duration::from_micros(5);
        let edge = &mut edges[order[step]];
        edge.record_first_try(at);
        black_box(edge.try_spend(false, at));
    })
}
