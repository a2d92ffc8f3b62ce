//! Pace of the calls to a target that names the rate that it takes.

use std::time::{Duration, Instant};

/// Time by which calls may start ahead of an even pace, so that a burst after a pause is not
/// delayed.
const BURST_TIME: Duration = Duration::from_millis(250);
/// Lowest pace, in calls per second. A target that takes nothing still gets a call now and then,
/// whose answer shows whether it takes more.
const MIN_RATE: f64 = 0.5;

/// Spaces the calls to one target by the rate that it names with its answers.
///
/// This is the generic cell rate algorithm: each start moves the due time of the next one by the
/// interval of the rate, and a call may start up to [`BURST_TIME`] before it is due.
#[derive(Debug)]
pub(crate) struct Pacer {
    limit: Option<Limit>,
    has_answered: bool,
}

/// The rate that a target named last.
#[derive(Clone, Copy, Debug)]
struct Limit {
    per_second: f64,
    named_at: Instant,
    /// When the next call is due.
    due: Instant,
}

impl Limit {
    fn interval(&self) -> Duration {
        Duration::from_secs_f64(1.0 / self.per_second)
    }
}

impl Pacer {
    /// Creates the pacer of a target that has not answered yet.
    pub(crate) fn new() -> Self {
        Pacer {
            limit: None,
            has_answered: false,
        }
    }

    /// Records an answer that names a rate in calls per second, or none, to a call that was sent at
    /// `sent`. Returns `true` if the rate has changed.
    ///
    /// An answer without a rate ends the limit only if its call was sent after the last answer with
    /// one, as answers overtake each other.
    pub(crate) fn record_answer(
        &mut self,
        per_second: Option<f64>,
        sent: Instant,
        now: Instant,
    ) -> bool {
        self.has_answered = true;
        let Some(per_second) = per_second else {
            let ends = self.limit.is_some_and(|limit| limit.named_at < sent);
            if ends {
                self.limit = None;
            }
            return ends;
        };
        let mut limit = Limit {
            per_second: per_second.max(MIN_RATE),
            named_at: now,
            due: now + BURST_TIME,
        };
        let before = self.limit;
        if let Some(before) = before {
            limit.due = before.due.min(limit.due + limit.interval());
        }
        self.limit = Some(limit);
        before.map(|before| before.per_second) != Some(limit.per_second)
    }

    /// True if the target has answered, so that it would have named its limit.
    pub(crate) fn has_answered(&self) -> bool {
        self.has_answered
    }

    /// Rate that the target names, in calls per second.
    pub(crate) fn per_second(&self) -> Option<f64> {
        self.limit.map(|limit| limit.per_second)
    }

    /// Returns when the next call may start; `None` if any time is allowed.
    pub(crate) fn next_start(&self) -> Option<Instant> {
        self.limit?.due.checked_sub(BURST_TIME)
    }

    /// True if a call may start now.
    pub(crate) fn is_ready(&self, now: Instant) -> bool {
        self.next_start().is_none_or(|at| at <= now)
    }

    /// Records that a call starts.
    pub(crate) fn record_start(&mut self, now: Instant) {
        if let Some(limit) = &mut self.limit {
            limit.due = limit.due.max(now) + limit.interval();
        }
    }
}
