//! Decides whether a call without an answer counts as a failure of the instance.

use std::time::Duration;

use crate::scale::{ewma, micros};

/// Multiple of the average answer time from which a call without an answer is overdue.
const OVERDUE_FACTOR: u64 = 4;

/// Average time until one called operation answers.
///
/// ```
/// use std::time::Duration;
///
/// use policy::AnswerTime;
///
/// let mut time = AnswerTime::default();
/// time.record(Duration::from_millis(10));
/// assert!(!time.is_overdue(Duration::from_millis(20)));
/// assert!(time.is_overdue(Duration::from_millis(40)));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerTime {
    average_us: u64,
}

impl AnswerTime {
    /// Records the latency of an answered call.
    pub fn record(&mut self, latency: Duration) {
        let sample = micros(latency).max(1);
        self.average_us = match self.average_us {
            0 => sample,
            average => ewma::<3>(average, sample),
        };
    }

    /// True if the wait is several times the average answer time.
    ///
    /// A call that ended earlier, because its deadline was too short, isn't a failure of
    /// the instance. Before the first answer no call is overdue.
    #[must_use]
    pub fn is_overdue(&self, waited: Duration) -> bool {
        self.average_us > 0 && micros(waited) >= OVERDUE_FACTOR * self.average_us
    }
}
