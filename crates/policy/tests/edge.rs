//! The retries of an edge stay within their share of its first tries.

use std::time::{Duration, Instant};

use policy::EdgeRetries;
use proptest::prelude::*;

proptest! {
    #[test]
    fn retries_stay_within_their_share(
        percent in 0_u16..100,
        steps in prop::collection::vec((any::<bool>(), any::<bool>(), 0_u64..15_000), 1..300),
    ) {
        let mut now = Instant::now();
        let mut edge = EdgeRetries::new(percent, now);
        let (mut first_tries, mut retries) = (0_u32, 0_u32);
        for (retry, shedding, pause_ms) in steps {
            now += Duration::from_millis(pause_ms / 100);
            if retry {
                let allowed = edge.try_spend(shedding, now);
                prop_assert!(!(allowed && shedding));
                retries += u32::from(allowed);
            } else {
                edge.record_first_try(now);
                first_tries += 1;
            }
            let bound = first_tries * u32::from(percent) / 100 + u32::from(percent > 0);
            prop_assert!(retries <= bound);
        }
    }
}

proptest! {
    /// The retries exceed their share by no more than the largest debt, and stay within it once
    /// first tries have repaid the debt.
    #[test]
    fn borrowed_retries_are_repaid(
        percent in 1_u16..100,
        steps in prop::collection::vec(0_u8..3, 1..300),
    ) {
        const MAX_DEBT: u32 = 10;
        let now = Instant::now();
        let mut edge = EdgeRetries::new(percent, now);
        let (mut first_tries, mut retries) = (0_u32, 0_u32);
        for step in steps {
            match step {
                0 => {
                    edge.record_first_try(now);
                    first_tries += 1;
                }
                1 => retries += u32::from(edge.spend_or_borrow(now)),
                _ => retries += u32::from(edge.try_spend(false, now)),
            }
            let share = first_tries * u32::from(percent) / 100 + 1;
            prop_assert!(retries <= share + MAX_DEBT);
        }
        for _ in 0..MAX_DEBT * 100 {
            edge.record_first_try(now);
            first_tries += 1;
        }
        let share = first_tries * u32::from(percent) / 100 + 1;
        prop_assert!(retries <= share);
    }
}

#[test]
fn old_tokens_are_not_spent_on_a_new_failure() {
    let now = Instant::now();
    let mut edge = EdgeRetries::new(50, now);
    for _ in 0..100 {
        edge.record_first_try(now);
    }
    let later = now + Duration::from_mins(1);
    let allowed = (0..20).filter(|_| edge.try_spend(false, later)).count();
    assert_eq!(allowed, 1);
}
