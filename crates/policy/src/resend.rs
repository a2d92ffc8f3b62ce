//! Further sends that one daemon may add, out of a budget that all daemons share.

use std::time::{Duration, Instant};

use model::Class;

/// Parts into which the window is divided.
const BUCKETS: u32 = 20;
/// Parts of the fleet's budget that requests of each class may use, the least important class
/// first. The rest is left for calls made by repeated runs and for views that differ.
const USED_PARTS: [f64; Class::ALL.len()] = [0.2, 0.3, 0.55, 0.7];

/// What was sent in one part of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    first: u32,
    further: u32,
}

/// Limits the further sends of one daemon for one service.
///
/// The fleet may add `ratio` further sends per request and `slack` besides, in each window.
/// A daemon that stays below `ratio` times its own first sends, plus its part of the slack,
/// needs no word of the others.
#[derive(Debug)]
pub struct ResendBudget {
    ratio: f64,
    bucket_length: Duration,
    buckets: [Bucket; BUCKETS as usize],
    present: usize,
    present_began: Instant,
}

impl ResendBudget {
    /// Creates the budget for windows of a length.
    #[must_use]
    pub fn new(ratio: f64, window: Duration, now: Instant) -> Self {
        ResendBudget {
            ratio,
            bucket_length: (window / BUCKETS).max(Duration::from_millis(1)),
            buckets: [Bucket::default(); BUCKETS as usize],
            present: 0,
            present_began: now,
        }
    }

    /// Takes note of the first send of a request.
    pub fn sent_first(&mut self, now: Instant) {
        self.turn(now);
        self.buckets[self.present].first += 1;
    }

    /// Takes note of a send that counts as a further one and can't be withheld.
    pub fn sent_further(&mut self, now: Instant) {
        self.turn(now);
        self.buckets[self.present].further += 1;
    }

    /// Takes one further send out of the budget, unless what the class may use of it is spent;
    /// `slack` is this daemon's part of what the fleet may add besides.
    pub fn try_spend(&mut self, class: Class, slack: f64, now: Instant) -> bool {
        self.turn(now);
        let (mut first, mut further) = (0, 0);
        for bucket in &self.buckets {
            first += bucket.first;
            further += bucket.further;
        }
        let allowed = USED_PARTS[class.index()] * (self.ratio * f64::from(first) + slack);
        if f64::from(further + 1) > allowed {
            return false;
        }
        self.buckets[self.present].further += 1;
        true
    }

    /// Empties the parts of the window that lie behind.
    fn turn(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.present_began);
        if passed < self.bucket_length {
            return;
        }
        let steps = passed.as_micros() / self.bucket_length.as_micros().max(1);
        let steps = u32::try_from(steps).unwrap_or(u32::MAX);
        for _ in 0..steps.min(BUCKETS) {
            self.present = (self.present + 1) % self.buckets.len();
            self.buckets[self.present] = Bucket::default();
        }
        self.present_began += self.bucket_length * steps;
    }
}
