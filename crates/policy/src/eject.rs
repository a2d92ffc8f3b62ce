//! Temporary ejection of instances that fail repeatedly, and their ramp-up afterwards.

use std::time::{Duration, Instant};

/// Consecutive failures after which an instance is ejected.
const CONSECUTIVE_FAILURES: u32 = 5;
/// Length of the first ejection.
const FIRST_EJECTION: Duration = Duration::from_secs(1);
/// Maximum length of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(30);
/// Maximum number of doublings of the first ejection's length.
const MAX_DOUBLINGS: u32 = 5;
/// Time in which a new or returning instance reaches its full share.
const RAMP: Duration = Duration::from_secs(5);
/// Share at the start of the ramp, in hundredths.
const MIN_SHARE: u32 = 10;
/// Full share, in hundredths.
pub(crate) const FULL_SHARE: u32 = 100;

/// Failures and ejections of an instance, as seen by one daemon.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Health {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    ramp_from: Option<Instant>,
}

impl Health {
    /// Creates the state of an instance that gets its full share from the start.
    pub(crate) fn healthy() -> Self {
        Health {
            failures: 0,
            ejections: 0,
            ejected_until: None,
            ramp_from: None,
        }
    }

    /// Creates the state of an instance that appears while others are already in use; its share
    /// grows gradually.
    pub(crate) fn ramping(now: Instant) -> Self {
        Health {
            ramp_from: Some(now),
            ..Self::healthy()
        }
    }

    pub(crate) fn record_success(&mut self, now: Instant) {
        self.failures = 0;
        let ramped = self.ramp_from.is_some_and(|from| now >= from + RAMP);
        if ramped {
            self.ejections = 0;
            self.ramp_from = None;
        }
    }

    /// Counts a failure; true if the instance should be ejected.
    pub(crate) fn record_failure(&mut self) -> bool {
        self.failures += 1;
        self.failures >= CONSECUTIVE_FAILURES
    }

    /// Ejects the instance for a time that doubles with each ejection.
    pub(crate) fn eject(&mut self, now: Instant) {
        let doublings = self.ejections.min(MAX_DOUBLINGS);
        let length = (FIRST_EJECTION * (1 << doublings)).min(MAX_EJECTION);
        let until = now + length;
        self.ejections += 1;
        self.failures = 0;
        self.ejected_until = Some(until);
        self.ramp_from = Some(until);
    }

    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Share of its calls that the instance may get, in hundredths.
    pub(crate) fn share(&self, now: Instant) -> u32 {
        let Some(from) = self.ramp_from else {
            return FULL_SHARE;
        };
        let ramped_ms = now.saturating_duration_since(from).as_millis();
        let share = ramped_ms * u128::from(FULL_SHARE) / RAMP.as_millis();
        u32::try_from(share)
            .unwrap_or(FULL_SHARE)
            .clamp(MIN_SHARE, FULL_SHARE)
    }
}

/// True if another of `total` instances may be ejected while `ejected` others are.
///
/// At most half of them may be, so that instances remain to be called even if all seem to fail.
pub(crate) fn may_eject(ejected: usize, total: usize) -> bool {
    ejected < total / 2
}
