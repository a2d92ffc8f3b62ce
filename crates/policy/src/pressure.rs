//! Pressure of targets and services: running and waiting work relative to the concurrency limit.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use derive_more::{Display, From, Into};
use model::ServiceName;

use crate::load::Load;

/// A pressure of 1, in thousandths: all slots are taken and nothing waits.
const ONE: u16 = 1_000;
/// Largest pressure, in thousandths; higher values are clamped to it.
const MAX_PRESSURE: f64 = 20_000.0;
/// Time constant of a target's averaged pressure: several runs of the fastest targets, but short
/// compared with the time that a request takes to reach its deepest call.
const AVERAGING_TIME: Duration = Duration::from_millis(80);
/// Age at which a pressure is stale and no longer used.
const MAX_AGE: Duration = Duration::from_secs(2);
/// Smoothing of reports: a known pressure moves by this fraction of the difference, as a divisor.
const REPORT_DIVISOR: i32 = 8;
/// A pressure from another daemon replaces the local one if it is newer by at least this much.
const MIN_AGE_DIFFERENCE: Duration = Duration::from_millis(100);

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

/// Last known pressures of services, from reports of their targets and from other daemons.
#[derive(Debug, Default)]
pub struct Pressures {
    observations: HashMap<ServiceName, Observation>,
}

/// The pressure of a service and when it was observed.
#[derive(Clone, Copy, Debug)]
struct Observation {
    pressure: Pressure,
    observed: Instant,
}

impl Pressures {
    /// Records the pressure that a target of the service reports about itself.
    pub fn record_report(&mut self, service: &ServiceName, pressure: Pressure, now: Instant) {
        let Some(observation) = self.observations.get_mut(service) else {
            let observation = Observation {
                pressure,
                observed: now,
            };
            self.observations.insert(service.clone(), observation);
            return;
        };
        let from = i32::from(observation.pressure.0);
        let to = from + (i32::from(pressure.0) - from) / REPORT_DIVISOR;
        observation.pressure = Pressure(u16::try_from(to).unwrap_or(0));
        observation.observed = now;
    }

    /// Takes over a pressure that another daemon observed `age` ago, if it is newer than the local
    /// one.
    pub fn merge(
        &mut self,
        service: &ServiceName,
        pressure: Pressure,
        age: Duration,
        now: Instant,
    ) {
        let Some(observed) = now.checked_sub(age) else {
            return;
        };
        let known = self.observations.get(service);
        if known.is_none_or(|known| known.observed + MIN_AGE_DIFFERENCE <= observed) {
            self.observations
                .insert(service.clone(), Observation { pressure, observed });
        }
    }

    /// Returns the pressure of a service and its age; `None` if it is unknown or stale.
    #[must_use]
    pub fn get(&self, service: &ServiceName, now: Instant) -> Option<(Pressure, Duration)> {
        let observation = self.observations.get(service)?;
        let age = now.saturating_duration_since(observation.observed);
        (age < MAX_AGE).then_some((observation.pressure, age))
    }

    /// Iterates over all pressures that are not stale, with their ages.
    pub fn iter(&self, now: Instant) -> impl Iterator<Item = (&ServiceName, Pressure, Duration)> {
        self.observations
            .iter()
            .filter_map(move |(service, observation)| {
                let age = now.saturating_duration_since(observation.observed);
                (age < MAX_AGE).then_some((service, observation.pressure, age))
            })
    }
}
