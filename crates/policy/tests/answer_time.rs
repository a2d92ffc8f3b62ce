//! Overdue calls are judged by the average answer time of their operation.

use std::time::Duration;

use policy::AnswerTime;

const LATENCY: Duration = Duration::from_millis(10);

#[test]
fn calls_are_overdue_only_after_several_average_answer_times() {
    let mut time = AnswerTime::default();
    let mut overdue = vec![time.is_overdue(100 * LATENCY)];
    time.record(LATENCY);
    overdue.extend([1, 3, 4, 100].map(|times| time.is_overdue(times * LATENCY)));
    insta::assert_snapshot!(format!("{overdue:?}"), @"[false, false, false, true, true]");
}
