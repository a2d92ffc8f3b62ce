//! The pattern: callers come in a burst, and what runs out first lies deep behind them.
//! Refusing its calls would waste the request, so the windows keep requests from beginning.

use crate::deep_service::{CAPACITY_PER_SECOND, Day, Habit, SLOTS, Tallies, served, sum};

/// Load over the capacity by `factor` until `burst_ends`, and half of the capacity after it.
fn play(factor: f64, burst_ends: u64, seconds: u64, guarded: bool) -> Tallies {
    let day = Day {
        demand: move |now| if now < burst_ends { factor } else { 0.5 },
        slots: |_| SLOTS,
        seconds,
        habit: Habit::Leave,
        restart_at: None,
        guarded,
    };
    day.play()
}

#[test]
fn twice_the_capacity_serves_what_matters_and_most_of_what_fits() {
    let tallies = play(2.0, 10_000, 10, true);
    let critical = sum(&tallies[1..9], 0);
    let browsing = sum(&tallies[1..9], 1);
    assert!(critical.share() >= 0.95, "critical: {critical:?}");
    let served = served(&tallies[1..9]);
    let fits = CAPACITY_PER_SECOND * 8.0;
    assert!(served >= 0.8 * fits, "{served} of {fits} that fit");
    assert!(browsing.share() >= 0.2, "browsing: {browsing:?}");
}

#[test]
fn without_windows_the_depth_works_for_requests_that_come_late() {
    let tallies = play(2.0, 10_000, 10, false);
    let browsing = sum(&tallies[2..9], 1);
    assert!(browsing.share() < 0.2, "browsing: {browsing:?}");
}

#[test]
fn service_is_back_two_seconds_after_the_burst() {
    let tallies = play(3.0, 5_000, 9, true);
    for class in 0..2 {
        let after = sum(&tallies[7..8], class);
        assert!(after.share() >= 0.95, "class {class}: {after:?}");
    }
}
