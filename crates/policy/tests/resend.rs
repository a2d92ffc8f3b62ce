//! The budget of resends holds in every window.

use std::time::{Duration, Instant};

use model::Class;
use policy::ResendBudget;
use proptest::prelude::*;

const WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.2;

#[test]
fn nothing_is_spent_without_first_sends_or_slack() {
    let now = Instant::now();
    let mut budget = ResendBudget::new(RATIO, WINDOW, now);
    assert!(!budget.try_spend(Class::Critical, 0.0, now));
    assert!(budget.try_spend(Class::Critical, 3.0, now));
}

#[test]
fn spent_resends_are_available_again_after_a_window() {
    let start = Instant::now();
    let mut budget = ResendBudget::new(RATIO, WINDOW, start);
    assert!(budget.try_spend(Class::Critical, 2.0, start));
    assert!(!budget.try_spend(Class::Critical, 2.0, start + WINDOW / 2));
    assert!(budget.try_spend(Class::Critical, 2.0, start + WINDOW + WINDOW / 10));
}

#[test]
fn less_important_requests_leave_part_of_the_budget() {
    let now = Instant::now();
    let mut budget = ResendBudget::new(RATIO, WINDOW, now);
    for _ in 0..100 {
        budget.record_first_send(now);
    }
    let mut spent = |class| {
        (0..100)
            .filter(|_| budget.try_spend(class, 0.0, now))
            .count()
    };
    let counts = [Class::Bulk, Class::Browse, Class::Standard, Class::Critical].map(&mut spent);
    assert_eq!(
        counts,
        [4, 2, 5, 3],
        "each class up to its fraction, less what less important classes spent"
    );
}

proptest! {
    /// In each sliding window, the resends are at most the slack plus the ratio of the first sends
    /// of that window and the one before it.
    #[test]
    fn no_window_exceeds_the_ratio(
        steps in prop::collection::vec((0_u64..400, any::<bool>()), 1..400),
        slack in 0_u32..5,
    ) {
        let start = Instant::now();
        let mut budget = ResendBudget::new(RATIO, WINDOW, start);
        let mut now = start;
        let (mut first_sends, mut resends) = (Vec::new(), Vec::new());
        for (pause_ms, is_first) in steps {
            now += Duration::from_millis(pause_ms);
            if is_first {
                budget.record_first_send(now);
                first_sends.push(now);
            } else if budget.try_spend(Class::Critical, f64::from(slack), now) {
                resends.push(now);
            }
        }
        for end in &resends {
            let within = |length: Duration, at: &&Instant| **at <= *end && **at + length > *end;
            let spent = resends.iter().filter(|at| within(WINDOW, at)).count();
            let sent = first_sends.iter().filter(|at| within(2 * WINDOW, at)).count();
            let allowed = RATIO * f64::from(u32::try_from(sent).unwrap()) + f64::from(slack);
            prop_assert!(f64::from(u32::try_from(spent).unwrap()) <= allowed);
        }
    }
}
