//! The pattern: callers who are refused come back at once, again and again.

use crate::deep_service::{CAPACITY_PER_SECOND, Day, Habit, SLOTS, Tallies, served, sum};

fn play(habit: Habit) -> Tallies {
    let day = Day {
        demand: |now| if now < 8_000 { 2.0 } else { 0.5 },
        slots: |_| SLOTS,
        seconds: 12,
        habit,
        restart_at: None,
        guarded: true,
    };
    day.play()
}

#[test]
fn repeats_take_nothing_from_what_fits_and_end_with_the_burst() {
    let tallies = play(Habit::Repeat(10));
    let critical = sum(&tallies[1..8], 0);
    assert!(critical.share() >= 0.95, "critical: {critical:?}");
    let served = served(&tallies[1..8]);
    let fits = CAPACITY_PER_SECOND * 7.0;
    assert!(served >= 0.8 * fits, "{served} of {fits} that fit");
    for class in 0..2 {
        let after = sum(&tallies[10..11], class);
        assert!(after.share() >= 0.95, "class {class}: {after:?}");
    }
}

#[test]
fn callers_that_come_back_as_told_fare_no_worse() {
    let served = [Habit::ComeBack, Habit::Leave].map(|habit| served(&play(habit)[1..8]));
    assert!(served[0] >= 0.95 * served[1], "{served:?}");
}
