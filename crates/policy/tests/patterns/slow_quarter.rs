//! The pattern: a quarter of a service becomes several times slower in mid-day, and recovers.

use crate::fleet::{Manner, RUN_MS, play, sum};

#[test]
fn the_others_take_over_and_it_gets_its_share_back() {
    let tallies = play(0.6, 10, |target, now| match target {
        1 if (2_000..6_000).contains(&now) => Manner::Runs(6 * RUN_MS),
        _ => Manner::Runs(RUN_MS),
    });
    let slow = sum(&tallies[3..6]);
    assert!(slow.share() >= 0.95, "{slow:?}");
    let after = sum(&tallies[8..]);
    assert!(after.share() >= 0.99, "{after:?}");
    assert!(after.sends[1] * 8 >= after.arrived, "{after:?}");
}
