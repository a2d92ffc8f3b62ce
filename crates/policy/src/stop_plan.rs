//! Timetable of a daemon that stops: until when it takes work, and when it exits.

use std::time::{Duration, Instant};

/// Maximum time in which callers learn to use another daemon: long enough for two readiness checks,
/// one per second, and one more that is in progress.
const MAX_LEAVING_TIME: Duration = Duration::from_millis(2_500);
/// Maximum fraction of the grace period in which callers learn of the stop; the rest is for requests
/// in flight.
const LEAVING_FRACTION: f64 = 0.42;
/// Fraction of the grace period after which the daemon exits even with requests in flight, before
/// the process is killed.
const EXIT_FRACTION: f64 = 0.95;
/// Maximum time before the exit at which the requests that are left are answered.
const MAX_LAST_ANSWERS_TIME: Duration = Duration::from_millis(100);
/// Maximum fraction of the grace period for these answers.
const LAST_ANSWERS_FRACTION: f64 = 0.1;
/// Maximum fraction of the grace period that is kept free for a withdrawal.
const WITHDRAWAL_FRACTION: f64 = 0.05;
/// Time that a daemon needs to start again after its exit.
const RESTART_TIME: Duration = Duration::from_millis(500);

/// Timetable of one stop.
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use policy::StopPlan;
///
/// let now = Instant::now();
/// let plan = StopPlan::new(now, Duration::from_secs(6), Duration::from_millis(300));
/// let (seconds, millis) = (Duration::from_secs, Duration::from_millis);
/// assert_eq!(plan.latest_start(now + seconds(9), seconds(2)), Some(now + millis(3_300)));
/// // The caller doesn't wait until the exit.
/// assert_eq!(plan.latest_start(now + seconds(3), seconds(2)), None);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopPlan {
    requested: Instant,
    grace: Duration,
    withdrawal_time: Duration,
}

impl StopPlan {
    /// Creates the timetable of a stop that was requested at `requested`, for a process that is
    /// killed `grace` later.
    ///
    /// `withdrawal_time` is the longest time needed to withdraw a request from the queue of another
    /// daemon.
    #[must_use]
    pub fn new(requested: Instant, grace: Duration, withdrawal_time: Duration) -> Self {
        StopPlan {
            requested,
            grace,
            withdrawal_time: withdrawal_time.min(grace.mul_f64(WITHDRAWAL_FRACTION)),
        }
    }

    /// Returns when callers have learnt of the stop, and new requests are refused.
    #[must_use]
    pub fn leaving_end(&self) -> Instant {
        self.requested + MAX_LEAVING_TIME.min(self.grace.mul_f64(LEAVING_FRACTION))
    }

    /// Returns when the requests that are left are answered.
    #[must_use]
    pub fn last_answers(&self) -> Instant {
        let fraction = self.grace.mul_f64(LAST_ANSWERS_FRACTION);
        let until_exit = self.grace.mul_f64(EXIT_FRACTION);
        self.requested + until_exit.saturating_sub(MAX_LAST_ANSWERS_TIME.min(fraction))
    }

    /// Returns when the daemon exits, whatever is left.
    #[must_use]
    pub fn exit(&self) -> Instant {
        self.requested + self.grace.mul_f64(EXIT_FRACTION)
    }

    /// Returns until when a request may start to run so that it ends before the last answers, even if
    /// it starts while it is being withdrawn; `None` if it ends at its deadline before them anyway.
    #[must_use]
    pub fn latest_start(&self, deadline: Instant, run_time: Duration) -> Option<Instant> {
        let last_answers = self.last_answers();
        if deadline <= last_answers {
            return None;
        }
        // It may still start while it is being withdrawn.
        let needed = run_time.saturating_add(self.withdrawal_time);
        let latest = last_answers.checked_sub(needed);
        Some(latest.map_or(self.requested, |latest| latest.max(self.requested)))
    }

    /// Returns the retry delay for a request that this daemon can't answer before it exits: by then
    /// callers use other daemons, or it is about to have been restarted.
    #[must_use]
    pub fn retry_after(&self, now: Instant) -> Duration {
        self.leaving_end().saturating_duration_since(now) + RESTART_TIME
    }
}
