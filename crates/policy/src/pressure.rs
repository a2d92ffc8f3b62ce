//! Pressure of targets: running and waiting work relative to the concurrency limit.

use std::time::{Duration, Instant};

use derive_more::{Display, From, Into};

use crate::load::Load;

/// A pressure of 1, in thousandths: all slots are taken and nothing waits.
const ONE: u16 = 1_000;
/// Largest pressure, in thousandths; higher values are clamped to it.
const MAX_PRESSURE: f64 = 20_000.0;
/// Time constant of a target's averaged pressure: several runs of the fastest targets, but short
/// compared with the time that a request takes to reach its deepest call.
const AVERAGING_TIME: Duration = Duration::from_millis(80);

/// Number of running and waiting calls of a target divided by its concurrency limit, in
/// thousandths.
#[derive(Clone, Copy, Debug, Default, Display, From, Into, PartialEq, Eq, PartialOrd, Ord)]
pub struct Pressure(u16);

impl Pressure {
    /// Returns the pressure as a ratio; 1 means that all slots are taken and nothing waits.
    #[must_use]
    pub fn ratio(self) -> f64 {
        f64::from(self.0) / f64::from(ONE)
    }
}

/// Exponentially weighted moving average of the pressure of one target.
#[derive(Debug)]
pub struct PressureMeter {
    thousandths: f64,
    updated: Instant,
}

impl PressureMeter {
    /// Creates the meter of an idle target.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        PressureMeter {
            thousandths: 0.0,
            updated: now,
        }
    }

    /// Adds the current load to the average.
    pub fn observe(&mut self, load: &Load, now: Instant) {
        let interval = now.saturating_duration_since(self.updated).as_secs_f64();
        self.updated = now;
        let work = f64::from(load.in_flight.saturating_add(load.queued));
        let sample = work / f64::from(load.limit.max(1)) * f64::from(ONE);
        let weight = interval / (interval + AVERAGING_TIME.as_secs_f64());
        self.thousandths += (sample - self.thousandths) * weight;
    }

    /// Returns the average as of the last observation.
    #[must_use]
    pub fn pressure(&self) -> Pressure {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the value is clamped to the range of the type"
        )]
        Pressure(self.thousandths.clamp(0.0, MAX_PRESSURE) as u16)
    }
}
