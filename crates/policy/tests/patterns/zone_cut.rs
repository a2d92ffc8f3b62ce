//! The pattern: a data centre is cut off from the others and comes back.

use crate::fleet::{Manner, RUN_MS, play, sum};

/// The cut as the three others see it; the calls of its own daemons are not played.
#[test]
fn the_others_go_on_and_the_way_back_is_short() {
    let tallies = play(0.45, 10, |target, now| match target {
        3 if (2_000..6_000).contains(&now) => Manner::Silent,
        _ => Manner::Runs(RUN_MS),
    });
    let cut = sum(&tallies[3..6]);
    assert!(cut.share() >= 0.95, "{cut:?}");
    let after = sum(&tallies[7..8]);
    assert!(after.share() >= 0.95, "{after:?}");
}
