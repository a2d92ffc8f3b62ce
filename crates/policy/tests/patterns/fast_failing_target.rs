//! A target refuses its calls immediately, or answers that it failed, so that it looks idle and would
//! attract more of them.

use crate::fleet::{Behaviour, RUN_MS, Tally, simulate, sum};

#[test]
fn it_attracts_no_extra_calls_and_is_tried_again() {
    let tallies = simulate(0.6, 8, |target, now| match target {
        2 if (2_000..5_000).contains(&now) => Behaviour::RefusesOneIn(1),
        _ => Behaviour::Runs(RUN_MS),
    });
    let failing = sum(&tallies[2..5]);
    assert!(failing.share() >= 0.99, "{failing:?}");
    assert!(
        failing.sends[2] * 8 <= failing.arrived,
        "it attracts calls: {failing:?}"
    );
    let after = sum(&tallies[7..]);
    assert!(after.sends[2] * 8 >= after.arrived, "{after:?}");
}

/// Pattern: grey target. Its health check is good, and each call that it gets is lost, as an error is
/// an answer.
#[test]
fn a_target_that_answers_errors_gets_few_calls_and_is_tried_again() {
    let tallies = simulate(0.6, 9, |target, now| match target {
        2 if (2_000..5_000).contains(&now) => Behaviour::AnswersErrors,
        _ => Behaviour::Runs(RUN_MS),
    });
    let failing = sum(&tallies[3..5]);
    assert!(failing.share() >= 0.95, "{failing:?}");
    let after = sum(&tallies[8..]);
    assert!(after.sends[2] * 8 >= after.arrived, "{after:?}");
}

/// Pattern: small deep dependency. All targets answer errors as the service that they call fails.
#[test]
fn errors_of_all_targets_do_not_send_calls_to_other_data_centres() {
    let tallies = simulate(0.6, 5, |_, now| match now {
        1_000..4_000 => Behaviour::AnswersErrors,
        _ => Behaviour::Runs(RUN_MS),
    });
    let failing = sum(&tallies[2..4]);
    let before = sum(&tallies[..1]);
    let local_share = |tally: &Tally| f64::from(tally.local_sends) / f64::from(tally.arrived);
    assert!(
        local_share(&failing) >= local_share(&before) - 0.05,
        "{before:?}, {failing:?}"
    );
}
