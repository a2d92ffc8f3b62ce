//! A target refuses its calls immediately, so that it looks idle and would attract more of them.

use crate::fleet::{Behaviour, RUN_MS, simulate, sum};

#[test]
fn it_attracts_no_extra_calls_and_is_tried_again() {
    let tallies = simulate(0.6, 8, |target, now| match target {
        2 if (2_000..5_000).contains(&now) => Behaviour::RefusesOneIn(1),
        _ => Behaviour::Runs(RUN_MS),
    });
    let failing = sum(&tallies[2..5]);
    assert!(failing.share() >= 0.99, "{failing:?}");
    assert!(
        failing.sends[2] * 8 <= failing.arrived,
        "it attracts calls: {failing:?}"
    );
    let after = sum(&tallies[7..]);
    assert!(after.sends[2] * 8 >= after.arrived, "{after:?}");
}
