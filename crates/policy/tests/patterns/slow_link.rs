//! The answers of a target arrive late, because of a link with little bandwidth or a slow daemon,
//! while the target's own run time doesn't change.

use crate::fleet::{Behaviour, LATENCY_GOAL_MS, RUN_MS, simulate, sum};

#[test]
fn its_calls_move_elsewhere_and_return() {
    let tallies = simulate(0.5, 10, |target, now| match target {
        1 if (2_000..6_000).contains(&now) => Behaviour::DelaysAnswers(LATENCY_GOAL_MS),
        _ => Behaviour::Runs(RUN_MS),
    });
    let slow = sum(&tallies[3..6]);
    assert!(slow.share() >= 0.95, "{slow:?}");
    let after = sum(&tallies[8..]);
    assert!(after.share() >= 0.99, "{after:?}");
    assert!(
        after.sends[1] * 8 >= after.arrived,
        "it has its share again: {after:?}"
    );
}
