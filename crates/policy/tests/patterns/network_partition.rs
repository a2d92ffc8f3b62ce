//! A data centre is disconnected from the others for a few seconds.

use crate::fleet::{Behaviour, RUN_MS, simulate, sum};

/// Simulates the partition as seen from the three other data centres: calls within the disconnected
/// one aren't simulated.
#[test]
fn the_other_data_centres_continue_and_recovery_is_fast() {
    let tallies = simulate(0.45, 10, |target, now| match target {
        3 if (2_000..6_000).contains(&now) => Behaviour::Unresponsive,
        _ => Behaviour::Runs(RUN_MS),
    });
    let partition = sum(&tallies[3..6]);
    assert!(partition.share() >= 0.95, "{partition:?}");
    let after = sum(&tallies[7..8]);
    assert!(after.share() >= 0.95, "{after:?}");
}
