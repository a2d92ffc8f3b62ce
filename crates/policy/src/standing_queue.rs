//! Detection of standing queues, which do not drain between bursts.

use std::time::{Duration, Instant};

use model::Class;

/// Time without a short wait after which a queue counts as standing.
const INTERVAL: Duration = Duration::from_millis(100);
/// Age up to which a start or a refusal counts as recent.
const RECENT: Duration = Duration::from_millis(100);

#[derive(Clone, Copy, Debug, Default)]
struct ClassState {
    /// Start of the current series of starts that waited too long.
    slow_since: Option<Instant>,
    is_standing: bool,
    last_start: Option<Instant>,
}

/// Detects, per class, a standing queue from the waiting times of the calls that start.
///
/// A burst alone makes some calls wait. A queue is standing only if every call that started
/// during a whole interval had waited longer than the target delay, or if a call waited at
/// least as long as the target delay and the interval together.
#[derive(Debug)]
pub(crate) struct StandingQueueDetector {
    target_delay: Duration,
    classes: [ClassState; Class::ALL.len()],
    last_refusal: Option<Instant>,
}

impl StandingQueueDetector {
    pub(crate) fn new(target_delay: Duration) -> Self {
        StandingQueueDetector {
            target_delay,
            classes: Default::default(),
            last_refusal: None,
        }
    }

    pub(crate) fn reconfigure(&mut self, target_delay: Duration) {
        self.target_delay = target_delay;
    }

    /// Records a start after a wait.
    pub(crate) fn record_start(&mut self, class: Class, waited: Duration, now: Instant) {
        let state = &mut self.classes[class.index()];
        state.last_start = Some(now);
        if waited <= self.target_delay {
            state.slow_since = None;
            state.is_standing = false;
            return;
        }
        let since = *state.slow_since.get_or_insert(now);
        let slow_for = now.saturating_duration_since(since);
        state.is_standing = slow_for >= INTERVAL || waited >= self.target_delay + INTERVAL;
    }

    /// Records that a call was refused because all slots were taken.
    pub(crate) fn record_refusal(&mut self, now: Instant) {
        self.last_refusal = Some(now);
    }

    /// True if the queue of a class is standing.
    pub(crate) fn is_standing(&self, class: Class) -> bool {
        self.classes[class.index()].is_standing
    }

    /// Returns the least important class with a recent start if there was a recent refusal, and
    /// [`Class::Bulk`] otherwise.
    pub(crate) fn admitted_floor(&self, now: Instant) -> Class {
        let recent =
            |at: Option<Instant>| at.is_some_and(|at| now.saturating_duration_since(at) < RECENT);
        if !recent(self.last_refusal) {
            return Class::Bulk;
        }
        Class::ALL
            .into_iter()
            .find(|class| recent(self.classes[class.index()].last_start))
            .unwrap_or(Class::Bulk)
    }
}
