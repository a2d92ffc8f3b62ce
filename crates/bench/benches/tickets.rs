//! Time and memory of the record of at most once against what it remembers.
//!
//! Prints a row per figure: name, items, value, bound, and whether it holds.

use std::fs;
use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use model::{Incarnation, InstanceId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use ticket::{
    Answer, BeginDecision, CachedAnswer, CallLedger, CallNumber, KeyHash, LedgerConfig,
    OperationHash, RedeemDecision, Secret, SendResult, SourceConfig, SourceWindow, Ticket,
    TicketWindow, WindowConfig,
};

const SEED: u64 = 4;
const SIZES: [usize; 4] = [100, 1_000, 10_000, 100_000];
const BOUND_NS: u128 = 1_000;
const BATCHES: usize = 301;
const BATCH: usize = 1_000;
/// Items over which the resident memory is shared out, since it counts pages.
const MEMORY_ITEMS: usize = 100_000;
const MEMORY_SIZES: [usize; 2] = [1_000, 100_000];
const PAGE_BYTES: usize = 4_096;
const BODY_BYTES: usize = 256;

fn main() {
    memories();
    println!(
        "\n{:<28} {:>8} {:>10} {:>10}",
        "ticket", "items", "ns", "bound ns"
    );
    for items in SIZES {
        lifecycle(items);
    }
    for items in SIZES {
        row("recall: used key", items, recall(items));
    }
    for items in SIZES {
        row("admit: numbered call", items, admit(items));
    }
    for items in SIZES {
        row("ledger: begin and finish", items, ledger(items));
    }
}

/// Runs before anything else, so that no freed memory hides the growth.
fn memories() {
    println!("{:<28} {:>8} {:>10}", "memory", "items", "bytes each");
    for items in MEMORY_SIZES {
        memory("used, answer gone", items, &|| window(items, &Answer::Gone));
        memory("used, 256 byte answer", items, &|| kept_window(items));
        memory("open", items, &|| open_window(items));
        memory("source, folded", items, &|| sources(items, 1));
        memory("source, 4096 numbers", items, &|| sources(items, items));
    }
}

fn row(name: &str, items: usize, value: Duration) {
    let ns = value.as_nanos();
    let verdict = if ns < BOUND_NS { "ok" } else { "short" };
    println!("{name:<28} {items:>8} {ns:>10} {BOUND_NS:>10} {verdict}");
}

/// Median over batches of the average time of one step in a batch.
fn median(mut batches: Vec<Duration>) -> Duration {
    batches.sort_unstable();
    batches[batches.len() / 2]
}

fn time(mut step: impl FnMut(usize)) -> Duration {
    let batch = || {
        let start = Instant::now();
        (0..BATCH).for_each(&mut step);
        start.elapsed() / u32::try_from(BATCH).unwrap_or(1)
    };
    median(std::iter::repeat_with(batch).take(BATCHES).collect())
}

fn operation() -> OperationHash {
    OperationHash::of("caja", "charge")
}

fn key(rng: &mut SmallRng) -> KeyHash {
    KeyHash::from(rng.random::<u128>())
}

fn kept() -> Answer {
    Answer::Cached(Arc::new(CachedAnswer {
        body: vec![7; BODY_BYTES].into(),
        ..CachedAnswer::default()
    }))
}

fn empty_window(items: usize) -> TicketWindow {
    let cfg = WindowConfig {
        max_open: items.max(BATCH),
        max_finished: items,
        max_cached_bytes: usize::MAX,
        max_sequences: items.max(BATCH),
        ..WindowConfig::default()
    };
    let id = InstanceId::from("caja-a1");
    TicketWindow::new(id, Incarnation::from(1), Secret::new([5; 16]), cfg)
}

/// A window that remembers as many used calls as it may.
fn window(items: usize, answer: &Answer) -> TicketWindow {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let now = Instant::now();
    let mut window = empty_window(items);
    for _ in 0..items {
        let ticket = window.issue(operation(), key(&mut rng), now);
        if let RedeemDecision::Run(slot) = window.redeem(&ticket, operation(), ticket.key(), now) {
            window.finish(slot, answer.clone(), now);
        }
    }
    window
}

fn kept_window(items: usize) -> TicketWindow {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let now = Instant::now();
    let mut window = empty_window(items);
    for _ in 0..items {
        let ticket = window.issue(operation(), key(&mut rng), now);
        if let RedeemDecision::Run(slot) = window.redeem(&ticket, operation(), ticket.key(), now) {
            window.finish(slot, kept(), now);
        }
    }
    window
}

fn open_window(items: usize) -> TicketWindow {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut window = empty_window(items);
    for _ in 0..items {
        let _ = window.issue(operation(), key(&mut rng), Instant::now());
    }
    window
}

/// Times the steps of one call on a window that forgets one for each new one.
fn lifecycle(items: usize) {
    let mut rng = SmallRng::seed_from_u64(SEED + 1);
    let now = Instant::now();
    let mut window = window(items, &kept());
    let (mut issue, mut redeem, mut finish, mut text) = (vec![], vec![], vec![], vec![]);
    for _ in 0..BATCHES {
        let keys: Vec<KeyHash> = (0..BATCH).map(|_| key(&mut rng)).collect();
        let answers: Vec<Answer> = (0..BATCH).map(|_| kept()).collect();

        let start = Instant::now();
        let tickets: Vec<Ticket> = keys
            .iter()
            .map(|key| window.issue(operation(), *key, now))
            .collect();
        issue.push(start.elapsed() / 1_000);

        let texts: Vec<String> = tickets.iter().map(Ticket::to_string).collect();
        let start = Instant::now();
        for text in &texts {
            let _ = black_box(text.parse::<Ticket>());
        }
        text.push(start.elapsed() / 1_000);

        let start = Instant::now();
        let redeemed: Vec<RedeemDecision> = tickets
            .iter()
            .map(|ticket| window.redeem(ticket, operation(), ticket.key(), now))
            .collect();
        redeem.push(start.elapsed() / 1_000);

        let start = Instant::now();
        for (redeemed, answer) in redeemed.into_iter().zip(answers) {
            if let RedeemDecision::Run(slot) = redeemed {
                window.start(&slot);
                window.finish(slot, answer, now);
            }
        }
        finish.push(start.elapsed() / 1_000);
    }
    row("issue: new key", items, median(issue));
    row("parse: ticket text", items, median(text));
    row("redeem: run", items, median(redeem));
    row("finish: keep and forget", items, median(finish));
}

fn recall(items: usize) -> Duration {
    let window = window(items, &kept());
    let mut rng = SmallRng::seed_from_u64(SEED);
    let keys: Vec<KeyHash> = (0..items).map(|_| key(&mut rng)).collect();
    time(|_| {
        let key = keys[rng.random_range(0..items)];
        let _ = black_box(window.lookup(operation(), key));
    })
}

fn call(source: usize, sequence: usize) -> Option<CallNumber> {
    let text = format!("c1.{source:016x}.{sequence:016x}.reservas-a1");
    text.parse().ok()
}

fn sources(items: usize, active: usize) -> SourceWindow {
    let cfg = SourceConfig {
        max_active: active,
        max_sources: items,
        ..SourceConfig::default()
    };
    let mut window = SourceWindow::new(cfg);
    for call in (0..items).filter_map(|source| call(source, 0)) {
        let _ = window.admit(&call);
    }
    window
}

/// Calls in order from one of the daemons that are remembered.
fn admit(items: usize) -> Duration {
    let mut window = sources(items, 4_096);
    let heard = items.min(4_096);
    let calls: Vec<CallNumber> = (1..=BATCHES * BATCH)
        .filter_map(|sequence| call(sequence % heard, sequence))
        .collect();
    let mut calls = calls.iter();
    time(|_| {
        if let Some(call) = calls.next() {
            black_box(window.admit(call));
        }
    })
}

fn ledger(items: usize) -> Duration {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let cfg = LedgerConfig {
        max_calls: usize::MAX,
        max_cached_bytes: usize::MAX,
    };
    let mut ledger = CallLedger::new(cfg);
    for _ in 0..items {
        if let BeginDecision::Send(slot) = ledger.begin(operation(), key(&mut rng)) {
            ledger.finish(slot, SendResult::Unknown);
        }
    }
    let keys: Vec<KeyHash> = (0..BATCH).map(|_| key(&mut rng)).collect();
    time(|step| {
        if let BeginDecision::Send(slot) = ledger.begin(operation(), keys[step]) {
            ledger.not_run(slot);
        }
    })
}

/// Shares the growth of resident memory out among the items of many records.
///
/// The records are leaked so that the next figure does not reuse their memory.
fn memory<T>(name: &str, items: usize, build: &dyn Fn() -> T) {
    let records = MEMORY_ITEMS / items;
    let before = resident_bytes();
    let held: Vec<T> = (0..records).map(|_| build()).collect();
    let grown = resident_bytes().saturating_sub(before);
    println!("{name:<28} {items:>8} {:>10}", grown / (records * items));
    std::mem::forget(held);
}

fn resident_bytes() -> usize {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages.and_then(|p| p.parse().ok()).unwrap_or(0) * PAGE_BYTES
}
