//! The pattern: answers of a target take long on their way, over a narrow link or through a slow
//! daemon, while the target itself is as fast as ever.

use crate::fleet::{AIM_MS, Manner, RUN_MS, play, sum};

#[test]
fn it_loses_most_of_its_calls_and_gets_them_back() {
    let tallies = play(0.5, 10, |target, now| match target {
        1 if (2_000..6_000).contains(&now) => Manner::Delays(AIM_MS),
        _ => Manner::Runs(RUN_MS),
    });
    let narrow = sum(&tallies[3..6]);
    assert!(narrow.share() >= 0.95, "{narrow:?}");
    let after = sum(&tallies[8..]);
    assert!(after.share() >= 0.99, "{after:?}");
    assert!(
        after.sends[1] * 8 >= after.arrived,
        "its share is back: {after:?}"
    );
}
