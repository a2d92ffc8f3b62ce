//! Pace of the calls to a target that names the rate that it takes.

use std::time::{Duration, Instant};

/// Time by which calls may start ahead of an even pace, so that a burst after a pause is not
/// delayed.
const BURST_TIME: Duration = Duration::from_millis(250);
/// Lowest pace, in calls per second. A target that takes nothing still gets a call now and then,
/// whose answer shows whether it takes more.
const MIN_RATE: f64 = 0.5;
/// Calls that may run in a target that has not answered yet.
const MAX_BEFORE_ANSWER: u32 = 4;
/// Interval at which that number grows. The first calls may wait for calls that they make, which in
/// turn need a slot here.
const GROWTH_INTERVAL: Duration = Duration::from_millis(250);

/// Spaces the calls to one target by the rate that it names with its answers.
///
/// This is the generic cell rate algorithm: each start moves the due time of the next one by the
/// interval of the rate, and a call may start up to [`BURST_TIME`] before it is due.
#[derive(Debug)]
pub(crate) struct Pacer {
    limit: Option<Limit>,
    has_answered: bool,
    /// When the first call started.
    first_start: Option<Instant>,
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
            first_start: None,
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

    /// Returns how many calls may run while the target has not answered, as it may have a limit
    /// that is not known yet; `None` once it has answered.
    pub(crate) fn max_before_answer(&self, now: Instant) -> Option<u32> {
        if self.has_answered {
            return None;
        }
        let elapsed = self
            .first_start
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let grown = elapsed.as_millis() / GROWTH_INTERVAL.as_millis();
        Some(MAX_BEFORE_ANSWER.saturating_add(u32::try_from(grown).unwrap_or(u32::MAX)))
    }

    /// Returns when [`max_before_answer`](Self::max_before_answer) grows next.
    pub(crate) fn next_growth(&self, now: Instant) -> Option<Instant> {
        let max = self.max_before_answer(now)?;
        let steps = max - MAX_BEFORE_ANSWER + 1;
        Some(self.first_start? + GROWTH_INTERVAL * steps)
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
        self.first_start.get_or_insert(now);
        if let Some(limit) = &mut self.limit {
            limit.due = limit.due.max(now) + limit.interval();
        }
    }
}
