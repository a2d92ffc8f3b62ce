//! Share of the demand for a target that the origins may admit, computed beside the target.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use derive_more::{Display, From, Into};

/// A share of 1, in thousandths: all requests are admitted.
const ONE: u16 = 1_000;
/// Interval between two updates of the share.
const UPDATE_INTERVAL: Duration = Duration::from_millis(50);
/// Part of the concurrency limit that the admitted calls are to use; the rest absorbs the
/// fluctuation of arrivals and run times.
const TARGET_UTILIZATION: f64 = 0.92;
/// Time in which a queue is to drain.
const DRAIN_TIME: Duration = Duration::from_millis(300);
/// Largest part of the target utilization that is kept free to drain a queue.
const MAX_DRAIN_SHARE: f64 = 0.5;
/// Time from the admission of a root request at its origin to its calls to a deep target,
/// including that in which the origin learns a share.
const FEEDBACK_DELAY: Duration = Duration::from_millis(300);
/// Minimum time constant of the averages: as long as calls of one root request arrive.
const MIN_AVERAGING_TIME: Duration = Duration::from_millis(300);
/// Mean run times over which the load is averaged at least, so that a target with few slots and
/// long runs sees several arrivals.
const AVERAGING_RUNS: u32 = 2;
/// Smallest share. The requests that it admits show whether the target has recovered.
const MIN_SHARE: f64 = 0.02;

/// Share of the demand for a service that its targets can bear, in thousandths.
#[derive(Clone, Copy, Debug, Display, From, Into, PartialEq, Eq, PartialOrd, Ord)]
pub struct AdmissionShare(u16);

impl AdmissionShare {
    /// The share at which nothing is refused.
    pub const ALL: AdmissionShare = AdmissionShare(ONE);

    /// Returns the share as a ratio from 0 to 1.
    #[must_use]
    pub fn ratio(self) -> f64 {
        f64::from(self.0.min(ONE)) / f64::from(ONE)
    }
}

impl Default for AdmissionShare {
    fn default() -> Self {
        AdmissionShare::ALL
    }
}

/// Computes the admission share of one target.
///
/// The origins admit the published share of the root requests, so the load that arrives, divided
/// by the share at which it was admitted, is the demand. The share is the capacity divided by the
/// demand. In contrast to a controller that raises and lowers the share by steps, it neither
/// depends on the number of origins nor keeps cutting while the effect of a cut is under way.
#[derive(Debug)]
pub struct ShareController {
    arrivals: u32,
    updated: Instant,
    /// Average arriving work per slot; 1 if the arriving calls fill all slots.
    load: f64,
    /// Average share at which the calls of that load were admitted.
    admitted: f64,
    share: f64,
    /// Past shares in force at the origins and when they were recorded, the oldest first.
    history: VecDeque<(Instant, f64)>,
}

impl ShareController {
    /// Creates the controller of an idle target.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        ShareController {
            arrivals: 0,
            updated: now,
            load: 0.0,
            admitted: 1.0,
            share: 1.0,
            history: VecDeque::new(),
        }
    }

    /// Records a call that arrives, whether it runs, waits or is refused.
    pub fn record_arrival(&mut self) {
        self.arrivals = self.arrivals.saturating_add(1);
    }

    /// Records that a call was refused for lack of slots. It ends the run that made it, so that run's
    /// further calls never arrive; at least one is counted for them.
    pub fn record_refusal(&mut self) {
        self.record_arrival();
    }

    /// Records that the target itself refused a call, which therefore used no slot.
    pub fn record_target_refusal(&mut self) {
        self.arrivals = self.arrivals.saturating_sub(1);
    }

    /// Recomputes the share if an update is due.
    ///
    /// `capacity` is the number of calls that the target can run at the same time, and `in_force`
    /// the share of the whole service, which the origins apply; `None` if no other
    /// daemon has reported one recently.
    pub fn update(
        &mut self,
        capacity: f64,
        queue_delay: Duration,
        mean_run_time: Duration,
        in_force: Option<AdmissionShare>,
        now: Instant,
    ) {
        let interval = now.saturating_duration_since(self.updated);
        if interval < UPDATE_INTERVAL {
            return;
        }
        self.updated = now;
        let arrivals = f64::from(std::mem::take(&mut self.arrivals));
        let work = arrivals * mean_run_time.as_secs_f64();
        let sample = work / (capacity * interval.as_secs_f64());
        let averaging_time = MIN_AVERAGING_TIME.max(mean_run_time * AVERAGING_RUNS);
        let weight = interval.as_secs_f64() / (interval + averaging_time).as_secs_f64();
        self.load += (sample - self.load) * weight;
        let admitted = self.share_at(now.checked_sub(FEEDBACK_DELAY).unwrap_or(now));
        self.admitted += (admitted - self.admitted) * weight;

        let demand = self.load / self.admitted.max(MIN_SHARE);
        let queued = queue_delay.as_secs_f64() / DRAIN_TIME.as_secs_f64();
        let capacity = TARGET_UTILIZATION * (1.0 - queued.min(MAX_DRAIN_SHARE));
        self.share = if demand > capacity {
            (capacity / demand).max(MIN_SHARE)
        } else {
            1.0
        };
        let in_force = in_force.map_or(self.share, AdmissionShare::ratio);
        self.history.push_back((now, in_force));
    }

    /// Returns the current share.
    #[must_use]
    pub fn share(&self) -> AdmissionShare {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the value is clamped to the range of the type"
        )]
        AdmissionShare((self.share * f64::from(ONE)).clamp(0.0, f64::from(ONE)) as u16)
    }

    /// Returns the share that was in force at a time, and forgets older ones.
    fn share_at(&mut self, at: Instant) -> f64 {
        while self.history.get(1).is_some_and(|(since, _)| *since <= at) {
            self.history.pop_front();
        }
        match self.history.front() {
            Some((since, share)) if *since <= at => *share,
            _ => 1.0,
        }
    }
}
