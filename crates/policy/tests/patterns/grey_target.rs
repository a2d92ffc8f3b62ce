//! The pattern: a target refuses most of its calls at once, so that it looks idle.

use crate::fleet::{Manner, RUN_MS, play, sum};

#[test]
fn it_draws_no_herd_and_is_tried_again() {
    let tallies = play(0.6, 8, |target, now| match target {
        2 if (2_000..5_000).contains(&now) => Manner::RefusesOneIn(1),
        _ => Manner::Runs(RUN_MS),
    });
    let grey = sum(&tallies[2..5]);
    assert!(grey.share() >= 0.99, "{grey:?}");
    assert!(grey.sends[2] * 8 <= grey.arrived, "no herd: {grey:?}");
    let after = sum(&tallies[7..]);
    assert!(after.sends[2] * 8 >= after.arrived, "{after:?}");
}
