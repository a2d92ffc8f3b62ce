//! Early refusal of work whose downstream call the callee would probably refuse.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use model::{Class, OperationKey, Refusal, RefusalReason};

use crate::scale::{ewma, jitter, micros};

/// Length of the window over which results are counted before a share is adjusted.
const WINDOW: Duration = Duration::from_millis(50);
/// The share that admits all calls.
const FULL_SHARE: u32 = 1 << 16;
/// Smallest share; the few calls that it admits keep probing the callee.
const MIN_SHARE: u32 = FULL_SHARE >> 8;
/// Added to the number of results when a refusal rate is computed, so that a single refusal in
/// a window with few results shrinks the share only a little.
const RESULT_SMOOTHING: u64 = 8;
/// Growth of a share per window while the callee has limited spare capacity: the share shifted
/// right by this many bits.
const GROWTH_SHIFT: u32 = 3;
/// Growth of a share per window while the callee's spare capacity is unknown, as a right shift.
const PROBE_SHIFT: u32 = 3;

/// Spare capacity of a callee, summed over the load reports of its instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpareCapacity {
    /// A good part of the slots is free.
    Ample,
    /// Few slots are free, and the queues are short.
    Limited,
    /// The slots are taken, and the queues are long.
    None,
    /// No instance reported its load recently.
    Unknown,
}

/// A downstream call to be made on behalf of a root request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EdgeCall {
    /// The operation to be called.
    pub operation: OperationKey,
    /// Priority class of the root request.
    pub class: Class,
    /// Worth of the complete answer to the root request.
    pub worth: u32,
    /// Number of earlier sends of the root request; 0 for a first try.
    pub attempt: u16,
    /// Hash of the root request, so that all hops shed the same requests.
    pub shed_hash: u64,
}

/// Calls with the same chance of being accepted by the callee share one `Kind`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Kind {
    operation: OperationKey,
    class: Class,
    first_try: bool,
    worth_log2: u32,
}

impl EdgeCall {
    fn kind(&self) -> Kind {
        Kind {
            operation: self.operation,
            class: self.class,
            first_try: self.attempt == 0,
            worth_log2: self.worth.max(1).ilog2(),
        }
    }
}

/// Share of the calls of one kind that is admitted, and the counts of the current window.
#[derive(Clone, Copy, Debug)]
struct Share {
    /// Share of the calls that is admitted, out of [`FULL_SHARE`].
    admitted: u32,
    window_start: Instant,
    offered: u32,
    /// Average number of calls offered per window, in fixed point; 0 until known.
    demand: u64,
    results: u32,
    refused: u32,
}

impl Share {
    fn new(now: Instant) -> Self {
        Share {
            admitted: FULL_SHARE,
            window_start: now,
            offered: 0,
            demand: 0,
            results: 0,
            refused: 0,
        }
    }

    fn close_window(&mut self, class: Class, spare_capacity: SpareCapacity, now: Instant) {
        let age = now.saturating_duration_since(self.window_start);
        self.scale_to_demand(age);
        match spare_capacity {
            SpareCapacity::Ample if class > Class::Browse => self.grow(0),
            SpareCapacity::Ample if self.refused == 0 => self.grow(1),
            _ if self.refused > 0 => self.shrink(),
            SpareCapacity::Unknown => self.grow(PROBE_SHIFT),
            SpareCapacity::Limited if class > Class::Browse => self.grow(GROWTH_SHIFT),
            SpareCapacity::None if class <= Class::Browse => self.halve(),
            SpareCapacity::None | SpareCapacity::Limited | SpareCapacity::Ample => {}
        }
        self.window_start = now;
        self.offered = 0;
        self.results = 0;
        self.refused = 0;
    }

    /// Scales the share inversely to the demand: the callee's capacity does not grow with the
    /// number of calls offered, so a higher demand needs a smaller share.
    fn scale_to_demand(&mut self, age: Duration) {
        /// Fixed-point scale of the number of calls offered in one window.
        const SCALE: u64 = 1_024;
        /// Largest factor by which the demand may change the share in one window.
        const MAX_FACTOR: u64 = 4;

        let windows_milli = micros(age) / (micros(WINDOW) / 1_000);
        let offered = u64::from(self.offered) * SCALE * 1_000 / windows_milli.max(1);
        let before = self.demand;
        self.demand = match before {
            0 => offered,
            before => ewma::<1>(before, offered),
        };
        if self.admitted < FULL_SHARE && before > 0 {
            let after = self
                .demand
                .clamp(before / MAX_FACTOR, before * MAX_FACTOR)
                .max(1);
            let share = u64::from(self.admitted) * before / after;
            self.admitted = u32::try_from(share)
                .unwrap_or(FULL_SHARE)
                .clamp(MIN_SHARE, FULL_SHARE);
        }
    }

    fn grow(&mut self, shift: u32) {
        self.admitted = (self.admitted + (self.admitted >> shift)).min(FULL_SHARE);
    }

    /// Halves the share while the callee's queues are long: other daemons may be holding back
    /// more important work for the same callee.
    fn halve(&mut self) {
        self.admitted = (self.admitted / 2).max(MIN_SHARE);
    }

    fn shrink(&mut self) {
        let refused = u64::from(self.admitted) * u64::from(self.refused);
        let cut = refused / (u64::from(self.results) + RESULT_SMOOTHING);
        let share = u64::from(self.admitted).saturating_sub(cut);
        self.admitted = u32::try_from(share).unwrap_or(FULL_SHARE).max(MIN_SHARE);
    }
}

/// Predicts, for each kind of call, whether the callee would refuse it, so that work is refused
/// before it starts rather than after most of it has run, at its deepest call.
///
/// The admitted share of a kind follows the fraction of calls that the callee accepted. Which
/// requests are refused depends on the hash of their root request, as in the callee's own
/// queue. Critical work is never refused on a prediction.
#[derive(Debug, Default)]
pub struct RefusalPredictor {
    shares: HashMap<Kind, Share>,
}

impl RefusalPredictor {
    /// Discards all shares; required when the keys of the operations change.
    pub fn clear(&mut self) {
        self.shares.clear();
    }

    /// Returns a refusal if the callee would probably refuse the call.
    ///
    /// `spare_capacity` is evaluated only when a window closes, at most once in 50 ms per kind.
    #[must_use]
    pub fn predict_refusal(
        &mut self,
        call: &EdgeCall,
        spare_capacity: impl FnOnce() -> SpareCapacity,
        now: Instant,
    ) -> Option<Refusal> {
        if call.class == Class::Critical {
            return None;
        }
        let share = self.shares.get_mut(&call.kind())?;
        if now.saturating_duration_since(share.window_start) >= WINDOW {
            share.close_window(call.class, spare_capacity(), now);
        }
        share.offered += 1;
        let position =
            u32::try_from(call.shed_hash >> (u64::BITS - FULL_SHARE.ilog2())).unwrap_or(0);
        let is_refused = position < FULL_SHARE - share.admitted;
        is_refused.then(|| Refusal {
            reason: RefusalReason::Overloaded,
            retry_after: jitter(WINDOW, call.shed_hash ^ u64::from(call.attempt)),
        })
    }

    /// Records whether the callee accepted a call that was sent to it.
    pub fn record_result(&mut self, call: &EdgeCall, accepted: bool, now: Instant) {
        if call.class == Class::Critical {
            return;
        }
        let share = self.shares.entry(call.kind()).or_insert(Share::new(now));
        share.results += 1;
        share.refused += u32::from(!accepted);
    }
}
