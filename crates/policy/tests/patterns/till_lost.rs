//! The pattern: half of the targets of the deep service are lost for good.

use crate::deep_service::{CAPACITY_PER_SECOND, Day, Habit, SLOTS, served, sum};

#[test]
fn what_matters_and_most_of_what_still_fits_is_served() {
    let day = Day {
        demand: |_| 0.9,
        slots: |now| if now < 3_000 { SLOTS } else { SLOTS / 2 },
        seconds: 12,
        habit: Habit::ComeBack,
        restart_at: None,
        guarded: true,
    };
    let tallies = day.play();
    let critical = sum(&tallies[5..11], 0);
    assert!(critical.share() >= 0.95, "critical: {critical:?}");
    let served = served(&tallies[5..11]);
    let fits = CAPACITY_PER_SECOND / 2.0 * 6.0;
    assert!(served >= 0.8 * fits, "{served} of {fits} that fit");
}
