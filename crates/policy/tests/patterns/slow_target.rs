//! One of four targets becomes several times slower for a while and recovers.

use crate::fleet::{Behaviour, RUN_MS, simulate, sum};

#[test]
fn the_others_take_its_calls_until_it_recovers() {
    let tallies = simulate(0.6, 10, |target, now| match target {
        1 if (2_000..6_000).contains(&now) => Behaviour::Runs(6 * RUN_MS),
        _ => Behaviour::Runs(RUN_MS),
    });
    let slow = sum(&tallies[3..6]);
    assert!(slow.share() >= 0.95, "{slow:?}");
    let after = sum(&tallies[8..]);
    assert!(after.share() >= 0.99, "{after:?}");
    assert!(after.sends[1] * 8 >= after.arrived, "{after:?}");
}
