//! Requests of which a run came back whole lately.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use crate::fingerprint::Fingerprint;

/// Number of requests in one generation.
const GENERATION_SIZE: usize = 2_048;
/// Time that one generation covers.
const GENERATION_TIME: Duration = Duration::from_secs(5);

/// The requests of the last two generations. A flood of different requests pushes out only those
/// that are not sent all the time.
#[derive(Debug, Default)]
pub(crate) struct RecentRuns {
    current: HashSet<Fingerprint>,
    previous: HashSet<Fingerprint>,
    began: Option<Instant>,
}

impl RecentRuns {
    pub(crate) fn record(&mut self, fingerprint: Fingerprint, now: Instant) {
        self.rotate(now);
        if self.current.len() >= GENERATION_SIZE {
            self.next_generation(now);
        }
        self.current.insert(fingerprint);
    }

    pub(crate) fn contains(&mut self, fingerprint: Fingerprint, now: Instant) -> bool {
        self.rotate(now);
        self.current.contains(&fingerprint) || self.previous.contains(&fingerprint)
    }

    fn rotate(&mut self, now: Instant) {
        let age = now.saturating_duration_since(*self.began.get_or_insert(now));
        if age >= GENERATION_TIME {
            self.next_generation(now);
        }
        if age >= 2 * GENERATION_TIME {
            self.previous.clear();
        }
    }

    fn next_generation(&mut self, now: Instant) {
        self.previous = std::mem::take(&mut self.current);
        self.began = Some(now);
    }
}
