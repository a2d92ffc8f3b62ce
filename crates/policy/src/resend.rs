//! Limit on the resends of one daemon, out of a budget shared by all daemons.

use std::time::{Duration, Instant};

use model::Class;

/// Buckets into which the sliding window is divided.
const BUCKETS: u32 = 20;
/// Fraction of the fleet's budget that requests of each class may use, the least important class
/// first. The rest is left for calls made by repeated runs and for daemons whose views of the
/// fleet differ.
const CLASS_FRACTIONS: [f64; Class::ALL.len()] = [0.2, 0.3, 0.55, 0.7];

/// Counts of sends in one bucket of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    first_sends: u32,
    resends: u32,
}

/// Limits the resends of one daemon for one service.
///
/// In each window, the fleet may make `ratio` resends per request and `slack` more. If each
/// daemon stays below `ratio` times its own first sends plus its part of the slack, the fleet
/// keeps to the budget without any communication between daemons.
#[derive(Debug)]
pub struct ResendBudget {
    ratio: f64,
    bucket_length: Duration,
    buckets: [Bucket; BUCKETS as usize],
    current: usize,
    current_start: Instant,
}

impl ResendBudget {
    /// Creates a budget of `ratio` resends per first send over a sliding window.
    #[must_use]
    pub fn new(ratio: f64, window: Duration, now: Instant) -> Self {
        ResendBudget {
            ratio,
            bucket_length: (window / BUCKETS).max(Duration::from_millis(1)),
            buckets: [Bucket::default(); BUCKETS as usize],
            current: 0,
            current_start: now,
        }
    }

    /// Counts the first send of a request.
    pub fn record_first_send(&mut self, now: Instant) {
        self.advance(now);
        self.buckets[self.current].first_sends += 1;
    }

    /// Counts a resend that is made regardless of the budget.
    pub fn record_resend(&mut self, now: Instant) {
        self.advance(now);
        self.buckets[self.current].resends += 1;
    }

    /// Spends one resend; false if the fraction of the budget open to `class` is used up.
    ///
    /// `slack` is this daemon's part of the fleet's slack, in resends per window.
    pub fn try_spend(&mut self, class: Class, slack: f64, now: Instant) -> bool {
        self.advance(now);
        let (mut first_sends, mut resends) = (0, 0);
        for bucket in &self.buckets {
            first_sends += bucket.first_sends;
            resends += bucket.resends;
        }
        let allowed =
            CLASS_FRACTIONS[class.index()] * (self.ratio * f64::from(first_sends) + slack);
        if f64::from(resends + 1) > allowed {
            return false;
        }
        self.buckets[self.current].resends += 1;
        true
    }

    /// Advances the window to `now` and clears the buckets that have left it.
    fn advance(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.current_start);
        if elapsed < self.bucket_length {
            return;
        }
        let steps = elapsed.as_micros() / self.bucket_length.as_micros().max(1);
        let steps = u32::try_from(steps).unwrap_or(u32::MAX);
        for _ in 0..steps.min(BUCKETS) {
            self.current = (self.current + 1) % self.buckets.len();
            self.buckets[self.current] = Bucket::default();
        }
        self.current_start += self.bucket_length * steps;
    }
}
