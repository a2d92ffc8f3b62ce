//! Until when a daemon that stops starts requests, and how long their runs are expected to take.

use std::fmt::Write;
use std::time::{Duration, Instant};

use policy::{RouteRunTimes, StopPlan};
use proptest::prelude::{prop_assert, proptest};

const WITHDRAWAL_TIME: Duration = Duration::from_millis(300);

fn millis(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn plan(grace_ms: u64, now: Instant) -> StopPlan {
    StopPlan::new(now, millis(grace_ms), WITHDRAWAL_TIME)
}

/// Guards against stages of a stop that leave no time for each other in short grace periods.
#[test]
fn the_timetable_fits_short_and_long_grace_periods() {
    let now = Instant::now();
    let mut text = String::new();
    for grace_ms in [0, 100, 1_000, 6_000, 30_000] {
        let plan = plan(grace_ms, now);
        let after = |at: Instant| at.duration_since(now).as_millis();
        let far = now + Duration::from_mins(1);
        let latest = |run_ms| plan.latest_start(far, millis(run_ms)).map(after);
        writeln!(
            text,
            "grace {grace_ms}: leaving until {}, start runs of 10 ms until {:?}, of 2 s until {:?}, \
             last answers {}, exit {}",
            after(plan.leaving_end()),
            latest(10),
            latest(2_000),
            after(plan.last_answers()),
            after(plan.exit()),
        )
        .expect("a string takes any text");
    }
    insta::assert_snapshot!(text, @r"
    grace 0: leaving until 0, start runs of 10 ms until Some(0), of 2 s until Some(0), last answers 0, exit 0
    grace 100: leaving until 42, start runs of 10 ms until Some(70), of 2 s until Some(0), last answers 85, exit 95
    grace 1000: leaving until 420, start runs of 10 ms until Some(790), of 2 s until Some(0), last answers 850, exit 950
    grace 6000: leaving until 2500, start runs of 10 ms until Some(5290), of 2 s until Some(3300), last answers 5600, exit 5700
    grace 30000: leaving until 2500, start runs of 10 ms until Some(28090), of 2 s until Some(26100), last answers 28400, exit 28500
    ");
}

#[test]
fn a_request_that_ends_at_its_deadline_before_the_exit_may_start_at_any_time() {
    let now = Instant::now();
    let plan = plan(6_000, now);
    assert_eq!(plan.latest_start(now + millis(5_600), millis(9_000)), None);
    let later = plan.latest_start(now + millis(5_601), millis(9_000));
    assert_eq!(later, Some(now));
}

#[test]
fn callers_come_back_once_the_daemon_may_have_been_restarted() {
    let now = Instant::now();
    let plan = plan(6_000, now);
    let delays = [0, 1_000, 2_500, 5_000].map(|after| plan.retry_after(now + millis(after)));
    insta::assert_debug_snapshot!(delays, @r"
    [
        3s,
        2s,
        500ms,
        500ms,
    ]
    ");
}

#[test]
fn the_upper_bound_of_a_route_comes_down_to_its_longest_run() {
    let now = Instant::now();
    let mut times = RouteRunTimes::default();
    let route = "book".into();
    assert_eq!(
        (times.mean(&route), times.upper_bound(&route)),
        (None, None)
    );
    let mut bounds = Vec::new();
    for run_ms in [100, 300, 200, 200, 200, 200, 200, 200] {
        times.record(&route, millis(run_ms), now);
        bounds.push((times.mean(&route), times.upper_bound(&route)));
    }
    insta::assert_debug_snapshot!((bounds[0], bounds[1], bounds[7]), @r"
    (
        (
            Some(
                100ms,
            ),
            Some(
                200ms,
            ),
        ),
        (
            Some(
                200ms,
            ),
            Some(
                450ms,
            ),
        ),
        (
            Some(
                200ms,
            ),
            Some(
                337.5ms,
            ),
        ),
    )
    ");
}

#[test]
fn a_long_run_is_forgotten_after_two_generations() {
    let now = Instant::now();
    let mut times = RouteRunTimes::default();
    let route = "book".into();
    let at = |seconds: u64| now + Duration::from_secs(seconds);
    times.record(&route, millis(9_000), at(0));
    times.record(&route, millis(100), at(16));
    assert!(times.upper_bound(&route) > Some(millis(9_000)));
    times.record(&route, millis(100), at(32));
    assert!(times.upper_bound(&route) < Some(millis(300)));
}

proptest! {
    /// A run that takes no longer than expected ends before the last answers, also if it started while
    /// it was being withdrawn.
    #[test]
    fn what_starts_in_time_ends_in_time(grace_ms in 0_u64..60_000, run_ms in 0_u64..60_000) {
        let now = Instant::now();
        let plan = plan(grace_ms, now);
        let far = now + Duration::from_mins(10);
        let latest = plan.latest_start(far, millis(run_ms)).expect("a limit");
        prop_assert!(plan.leaving_end() <= plan.exit() && plan.last_answers() <= plan.exit());
        if latest > now {
            prop_assert!(latest + WITHDRAWAL_TIME.min(millis(grace_ms) / 20) + millis(run_ms) <= plan.last_answers());
        }
    }
}
