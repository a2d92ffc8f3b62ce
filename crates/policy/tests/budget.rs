//! The retries of a whole call tree stay within the budget of its root, whichever answers are
//! lost.

use policy::{ChildRetries, Loan, RetryBudget};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const MAX_DEPTH: u32 = 23;

/// Probabilities, in percent, that a call fails and that its answer is lost.
#[derive(Clone, Copy, Debug)]
struct Faults {
    failed: u32,
    lost: u32,
}

/// Simulates the execution of a call tree and returns the unspent retries that its answer
/// reports. Retries made anywhere in the tree are added to `retries`.
fn execute(
    rng: &mut SmallRng,
    faults: Faults,
    depth: u32,
    granted: u16,
    retries: &mut u32,
) -> Result<u16, u16> {
    let max_calls = match depth {
        0 => 0,
        1..=6 => 3,
        _ => 1,
    };
    let calls = rng.random_range(0..=max_calls);
    let declared = rng.random_range(0..=max_calls);
    let mut children = ChildRetries::new(RetryBudget::new(granted), declared);
    // All loans are open at once, as with parallel calls.
    let loans: Vec<Loan> = (0..calls).map(|_| children.lend()).collect();
    // The answer head, which reports the unspent retries, may be sent before the calls end.
    let head_first = rng.random();
    let early = if head_first {
        Some(children.take_remaining())
    } else {
        None
    };
    for loan in loans {
        let unspent = call(rng, faults, depth - 1, loan.amount, retries);
        children.settle(loan, unspent);
    }
    let left = early.unwrap_or_else(|| children.take_remaining());
    let late = children.lend();
    if head_first && calls < max_calls {
        call(rng, faults, depth - 1, late.amount, retries);
    }
    let failed = rng.random_range(0..100) < faults.failed;
    if failed { Err(left) } else { Ok(left) }
}

/// Makes one call with all its tries and returns the unspent retries.
fn call(rng: &mut SmallRng, faults: Faults, depth: u32, granted: u16, retries: &mut u32) -> u16 {
    let mut budget = RetryBudget::new(granted);
    loop {
        let loan = budget.lend(1);
        let answer = execute(rng, faults, depth, loan.amount, retries);
        // The loan of a lost answer counts as spent.
        if rng.random_range(0..100) >= faults.lost {
            let (Ok(unspent) | Err(unspent)) = answer;
            budget.settle(loan, unspent);
            if answer.is_ok() {
                return budget.left();
            }
        }
        if !budget.spend() {
            return budget.left();
        }
        *retries += 1;
    }
}

proptest! {
    #[test]
    fn retries_of_a_tree_stay_within_the_budget(
        seed in any::<u64>(),
        budget in 0_u16..40,
        failed in 0_u32..100,
        lost in 0_u32..100,
        depth in 0..=MAX_DEPTH,
    ) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut retries = 0;
        let faults = Faults { failed, lost };
        let answer = execute(&mut rng, faults, depth, budget, &mut retries);
        let (Ok(left) | Err(left)) = answer;
        prop_assert!(retries + u32::from(left) <= u32::from(budget));
    }

    #[test]
    fn an_excessive_unspent_count_returns_at_most_the_loan(total in 0_u16..100, unspent in any::<u16>()) {
        let mut budget = RetryBudget::new(total);
        let loan = budget.lend(2);
        budget.settle(loan, unspent);
        prop_assert!(budget.left() <= total);
    }
}
