//! The pattern: targets are replaced one after the other, and each new one is slow at first.

use crate::fleet::{Manner, RUN_MS, play, sum};

/// Time for which a new target is slow.
const COLD_MS: u64 = 1_500;

#[test]
fn cold_targets_get_what_they_can_bear() {
    let tallies = play(0.6, 12, |target, now| {
        let replaced = 2_000 + 2_000 * target as u64;
        if (replaced..replaced + COLD_MS).contains(&now) {
            Manner::Runs(3 * RUN_MS)
        } else {
            Manner::Runs(RUN_MS)
        }
    });
    let release = sum(&tallies[2..10]);
    assert!(release.share() >= 0.95, "{release:?}");
    let after = sum(&tallies[11..]);
    assert!(after.share() >= 0.99, "{after:?}");
}
