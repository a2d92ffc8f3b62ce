//! Targets are replaced one after the other, and each new one is slow at first.

use crate::fleet::{Behaviour, RUN_MS, simulate, sum};

/// Time for which a new target is slow after its start.
const COLD_MS: u64 = 1_500;

#[test]
fn cold_targets_get_no_more_than_they_can_handle() {
    let tallies = simulate(0.6, 12, |target, now| {
        let replaced = 2_000 + 2_000 * target as u64;
        if (replaced..replaced + COLD_MS).contains(&now) {
            Behaviour::Runs(3 * RUN_MS)
        } else {
            Behaviour::Runs(RUN_MS)
        }
    });
    let replacement = sum(&tallies[2..10]);
    assert!(replacement.share() >= 0.95, "{replacement:?}");
    let after = sum(&tallies[11..]);
    assert!(after.share() >= 0.99, "{after:?}");
}
