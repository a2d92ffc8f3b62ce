//! The pattern: the daemon beside a target stands still for some seconds. Connections stay
//! open, nothing is answered.

use crate::fleet::{Manner, RUN_MS, play, sum};

#[test]
fn what_is_lost_is_what_was_sent_before_the_silence_showed() {
    let tallies = play(0.5, 8, |target, now| match target {
        0 if (2_000..5_000).contains(&now) => Manner::Silent,
        _ => Manner::Runs(RUN_MS),
    });
    let before = sum(&tallies[..2]);
    assert!(before.share() >= 0.99, "{before:?}");
    // A silence of four runs shows it; its data centre's daemons then go elsewhere, and each
    // tries it again now and then.
    let frozen = sum(&tallies[2..5]);
    assert!(frozen.share() >= 0.95, "{frozen:?}");
    let after = sum(&tallies[6..]);
    assert!(after.share() >= 0.99, "{after:?}");
    assert!(
        after.sends[0] * 8 >= after.arrived,
        "its share is back: {after:?}"
    );
}

#[test]
fn callers_with_few_calls_do_not_try_it_again_at_once() {
    let tallies = play(0.025, 8, |target, now| match target {
        0 if (2_000..5_000).contains(&now) => Manner::Silent,
        _ => Manner::Runs(RUN_MS),
    });
    // Two daemons are in its data centre. After the first call that was given up, each tries it
    // less than once in two seconds.
    let frozen = sum(&tallies[3..5]);
    assert!(frozen.sends[0] <= 2, "{frozen:?}");
}
