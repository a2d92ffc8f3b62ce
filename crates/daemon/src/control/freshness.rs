//! Staleness check of the view, which the data path makes before each decision.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Instant;

use fleet::pause::PAUSE_LIMIT;

/// Shared between the control plane and the data path: whether the process was paused and its
/// view has not been confirmed since.
#[derive(Clone, Debug)]
pub(crate) struct Freshness {
    origin: Instant,
    shared: Arc<SharedState>,
}

#[derive(Debug)]
struct SharedState {
    last_tick_ms: AtomicU64,
    confirmed: AtomicBool,
}

impl Freshness {
    pub(crate) fn new(now: Instant) -> Self {
        Freshness {
            origin: now,
            shared: Arc::new(SharedState {
                last_tick_ms: AtomicU64::new(0),
                confirmed: AtomicBool::new(true),
            }),
        }
    }

    /// True if the view must be confirmed before any decision is based on it.
    ///
    /// After a pause of the process, a thread of the data path may run before the control
    /// plane does; it detects the pause by the age of the last tick.
    pub(crate) fn is_stale(&self, now: Instant) -> bool {
        let last_ms = self.shared.last_tick_ms.load(Ordering::Acquire);
        let age_ms = self.elapsed_ms(now).saturating_sub(last_ms);
        u128::from(age_ms) > PAUSE_LIMIT.as_millis()
            || !self.shared.confirmed.load(Ordering::Acquire)
    }

    /// Records whether the view is confirmed. Must precede [`Freshness::record_tick`].
    pub(super) fn set_confirmed(&self, confirmed: bool) {
        self.shared.confirmed.store(confirmed, Ordering::Release);
    }

    /// Records a tick of the control plane.
    pub(super) fn record_tick(&self, now: Instant) {
        let now_ms = self.elapsed_ms(now);
        self.shared.last_tick_ms.store(now_ms, Ordering::Release);
    }

    fn elapsed_ms(&self, now: Instant) -> u64 {
        let elapsed = now.saturating_duration_since(self.origin);
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    }
}
