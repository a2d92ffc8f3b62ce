//! The daemon beside a target freezes for a few seconds: connections stay open, but nothing is
//! answered.

use crate::fleet::{Behaviour, RUN_MS, simulate, sum};

#[test]
fn only_calls_sent_before_the_freeze_is_detected_are_lost() {
    let tallies = simulate(0.5, 8, |target, now| match target {
        0 if (2_000..5_000).contains(&now) => Behaviour::Unresponsive,
        _ => Behaviour::Runs(RUN_MS),
    });
    let before = sum(&tallies[..2]);
    assert!(before.share() >= 0.99, "{before:?}");
    // It is detected after four run times without an answer. The daemons of its data centre then
    // call other instances, and each of them tries it again occasionally.
    let frozen = sum(&tallies[2..5]);
    assert!(frozen.share() >= 0.95, "{frozen:?}");
    let after = sum(&tallies[6..]);
    assert!(after.share() >= 0.99, "{after:?}");
    assert!(
        after.sends[0] * 8 >= after.arrived,
        "it has its share again: {after:?}"
    );
}

#[test]
fn daemons_with_few_calls_do_not_retry_it_immediately() {
    let tallies = simulate(0.025, 8, |target, now| match target {
        0 if (2_000..5_000).contains(&now) => Behaviour::Unresponsive,
        _ => Behaviour::Runs(RUN_MS),
    });
    // Two daemons are in its data centre. After its first cancelled call, each tries it less than
    // once in two seconds.
    let frozen = sum(&tallies[3..5]);
    assert!(frozen.sends[0] <= 2, "{frozen:?}");
}
