//! Compares ways of bounding retries on trees of calls: how many tries a request
//! costs and how many requests are answered, when the deepest service fails.
//!
//! Prints a row per way.

use std::time::{Duration, Instant};

use policy::{EdgeRetries, RetryBudget};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SEED: u64 = 11;
const REQUESTS: u32 = 20_000;
const REQUEST_INTERVAL: Duration = Duration::from_millis(1);
const TRIES_PER_HOP: u32 = 3;
const BUDGET: u16 = 3;
const EDGE_PERCENT: u16 = 10;

/// How retries are bounded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// Each hop tries three times, whatever failed below it.
    PerHop,
    /// Each edge keeps its retries to a share of its first tries.
    Ratio,
    /// The request's tree has a budget, of which a child gets all.
    BudgetAll,
    /// As before, but each hop keeps half for itself.
    BudgetHalf,
    /// Lend all, and the share of first tries.
    Both,
}

const WAYS: [(&str, Way); 5] = [
    ("three tries a hop", Way::PerHop),
    ("share of first tries", Way::Ratio),
    ("budget, lend all", Way::BudgetAll),
    ("budget, lend half", Way::BudgetHalf),
    ("budget and share", Way::Both),
];

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    Good,
    /// Refused by the hop that was called: nothing ran there.
    Refused,
    /// Something failed further down; the hop next to it has done what it could.
    FailedBelow,
    /// The answer never came.
    Lost,
}

/// Chance that a call fails, in thousandths.
#[derive(Clone, Copy, Debug)]
struct Faults {
    /// The deepest service refuses.
    refused: u32,
    /// An answer is lost, at any hop.
    lost: u32,
}

struct Chain {
    rng: SmallRng,
    way: Way,
    faults: Faults,
    edges: Vec<EdgeRetries>,
    tries: u32,
    deepest: u32,
}

fn main() {
    println!(
        "{:<7} {:<14} {:<22} {:>10} {:>10} {:>10} {:>10}",
        "depth", "faults", "way", "answered%", "tries/req", "most", "deepest"
    );
    for depth in [4, 23] {
        for (name, refused, lost) in [
            ("1% refused", 10, 0),
            ("30% refused", 300, 0),
            ("all refused", 1_000, 0),
            ("1% lost", 0, 10),
        ] {
            for (way_name, way) in WAYS {
                row(depth, name, way_name, way, Faults { refused, lost });
            }
        }
    }
}

fn row(depth: usize, fault_name: &str, way_name: &str, way: Way, faults: Faults) {
    // Three tries a hop on the deep chain would cost 3^23 tries when all fail.
    if way == Way::PerHop && depth > 4 && faults.refused == 1_000 {
        println!(
            "{depth:<7} {fault_name:<14} {way_name:<22} {:>10}",
            "not run"
        );
        return;
    }
    let start = Instant::now();
    let mut chain = Chain {
        rng: SmallRng::seed_from_u64(SEED),
        way,
        faults,
        edges: vec![EdgeRetries::new(EDGE_PERCENT, start); depth],
        tries: 0,
        deepest: 0,
    };
    let (mut answered, mut all, mut most, mut deepest) = (0, 0, 0, 0);
    for request in 0..REQUESTS {
        let now = start + REQUEST_INTERVAL * request;
        chain.tries = 0;
        chain.deepest = 0;
        let (answer, _) = chain.run(depth, BUDGET, now);
        answered += u32::from(answer == Answer::Good);
        all += chain.tries;
        most = most.max(chain.tries);
        deepest = deepest.max(chain.deepest);
    }
    println!(
        "{depth:<7} {fault_name:<14} {way_name:<22} {:>10.2} {:>10.2} {most:>10} {deepest:>10}",
        100.0 * f64::from(answered) / f64::from(REQUESTS),
        f64::from(all) / f64::from(REQUESTS),
    );
}

impl Chain {
    /// Runs one hop with `left` more below it; returns its answer and what is unspent.
    fn run(&mut self, left: usize, granted: u16, now: Instant) -> (Answer, u16) {
        let mut budget = RetryBudget::new(granted);
        if left == 0 {
            self.deepest += 1;
            let refused = self.rng.random_range(0..1_000) < self.faults.refused;
            let answer = if refused {
                Answer::Refused
            } else {
                Answer::Good
            };
            return (answer, budget.left());
        }
        self.edges[left - 1].record_first_try(now);
        for attempt in 1.. {
            self.tries += 1;
            let loan = budget.lend(if self.way == Way::BudgetHalf { 2 } else { 1 });
            let (answer, unspent) = self.run(left - 1, loan.amount, now);
            let lost = self.rng.random_range(0..1_000) < self.faults.lost;
            let answer = if lost {
                Answer::Lost
            } else {
                budget.settle(loan, unspent);
                answer
            };
            if answer == Answer::Good {
                return (Answer::Good, budget.left());
            }
            if !self.may_retry(&mut budget, answer, attempt, left - 1, now) {
                return (Answer::FailedBelow, budget.left());
            }
        }
        unreachable!("the loop ends by returning")
    }

    fn may_retry(
        &mut self,
        budget: &mut RetryBudget,
        answer: Answer,
        attempt: u32,
        edge: usize,
        now: Instant,
    ) -> bool {
        let next_to_failure = answer != Answer::FailedBelow;
        match self.way {
            Way::PerHop => attempt < TRIES_PER_HOP,
            Way::Ratio => next_to_failure && self.edges[edge].try_spend(false, now),
            Way::BudgetAll | Way::BudgetHalf => next_to_failure && budget.spend(),
            Way::Both => {
                next_to_failure
                    && budget.left() > 0
                    && self.edges[edge].try_spend(false, now)
                    && budget.spend()
            }
        }
    }
}
