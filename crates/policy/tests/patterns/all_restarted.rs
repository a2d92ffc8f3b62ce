//! The pattern: all daemons and targets start anew under full load and have learned nothing.

use crate::deep_service::{Day, Habit, SLOTS, Tallies, sum};

/// Plays a part of the capacity, with a restart of all in the fifth second.
fn play(demand: f64) -> Tallies {
    let day = Day {
        demand: move |_| demand,
        slots: |_| SLOTS,
        seconds: 10,
        habit: Habit::ComeBack,
        restart_at: Some(4_000),
        guarded: true,
    };
    day.play()
}

#[test]
fn the_load_that_fits_is_served_again_within_two_seconds() {
    let tallies = play(0.9);
    for class in 0..2 {
        let before = sum(&tallies[1..3], class);
        let after = sum(&tallies[6..9], class);
        assert!(
            after.share() >= 0.95 * before.share(),
            "{before:?}, {after:?}"
        );
    }
}

#[test]
fn an_overload_that_goes_on_is_under_control_within_two_seconds() {
    let tallies = play(2.0);
    let critical = sum(&tallies[6..9], 0);
    assert!(critical.share() >= 0.95, "critical: {critical:?}");
}
