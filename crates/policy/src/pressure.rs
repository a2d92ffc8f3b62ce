//! How much work targets have, over what they can run at once.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use derive_more::{Display, From, Into};
use model::ServiceName;

use crate::load::Load;

/// Pressure of a target that runs as much as it can and lets nothing wait.
const FULL: u16 = 1_000;
/// Greatest pressure that is told apart.
const MAX_PRESSURE: f64 = 20_000.0;
/// Time over which a target's pressure is averaged: several runs of the quickest targets, and
/// short against the time that a request takes to its deepest call.
const AVERAGED_OVER: Duration = Duration::from_millis(80);
/// Age after which a pressure is no longer believed.
const LIFE: Duration = Duration::from_secs(2);
/// Part of the way that a heard pressure moves to one report, as a divisor.
const REPORT_DIVISOR: i32 = 8;
/// Age difference from which another daemon's view replaces the own one.
const FRESHER_BY: Duration = Duration::from_millis(100);

/// Work that runs and waits in a target over what it can run at once, in thousandths.
#[derive(Clone, Copy, Debug, Default, Display, From, Into, PartialEq, Eq, PartialOrd, Ord)]
pub struct Pressure(u16);

impl Pressure {
    /// The ratio; 1 for a target that runs as much as it can.
    #[must_use]
    pub fn ratio(self) -> f64 {
        f64::from(self.0) / f64::from(FULL)
    }
}

/// Averages the pressure of one target.
#[derive(Debug)]
pub struct PressureMeter {
    thousandths: f64,
    at: Instant,
}

impl PressureMeter {
    /// Creates the meter of a target without work.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        PressureMeter {
            thousandths: 0.0,
            at: now,
        }
    }

    /// Takes a look at the load.
    pub fn observe(&mut self, load: &Load, now: Instant) {
        let interval = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = now;
        let work = f64::from(load.in_flight.saturating_add(load.queued));
        let seen = work / f64::from(load.limit.max(1)) * f64::from(FULL);
        let part = interval / (interval + AVERAGED_OVER.as_secs_f64());
        self.thousandths += (seen - self.thousandths) * part;
    }

    /// The average now.
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

/// The pressures of services, as heard from others.
#[derive(Debug, Default)]
pub struct Pressures {
    heard: HashMap<ServiceName, Heard>,
}

/// The pressure of a service at one moment.
#[derive(Clone, Copy, Debug)]
struct Heard {
    pressure: Pressure,
    at: Instant,
}

impl Pressures {
    /// Takes note of what a target of the service reports itself.
    pub fn report(&mut self, service: &ServiceName, pressure: Pressure, now: Instant) {
        let Some(heard) = self.heard.get_mut(service) else {
            let heard = Heard { pressure, at: now };
            self.heard.insert(service.clone(), heard);
            return;
        };
        let from = i32::from(heard.pressure.0);
        let to = from + (i32::from(pressure.0) - from) / REPORT_DIVISOR;
        heard.pressure = Pressure(u16::try_from(to).unwrap_or(0));
        heard.at = now;
    }

    /// Takes over what another daemon had heard some time ago, if that is fresher.
    pub fn hear(&mut self, service: &ServiceName, pressure: Pressure, age: Duration, now: Instant) {
        let Some(at) = now.checked_sub(age) else {
            return;
        };
        let known = self.heard.get(service);
        if known.is_none_or(|known| known.at + FRESHER_BY <= at) {
            self.heard.insert(service.clone(), Heard { pressure, at });
        }
    }

    /// The pressure of a service and how old it is; `None` if nothing is believed.
    #[must_use]
    pub fn of(&self, service: &ServiceName, now: Instant) -> Option<(Pressure, Duration)> {
        let heard = self.heard.get(service)?;
        let age = now.saturating_duration_since(heard.at);
        (age < LIFE).then_some((heard.pressure, age))
    }

    /// All pressures that are believed, with their age.
    pub fn iter(&self, now: Instant) -> impl Iterator<Item = (&ServiceName, Pressure, Duration)> {
        self.heard.iter().filter_map(move |(service, heard)| {
            let age = now.saturating_duration_since(heard.at);
            (age < LIFE).then_some((service, heard.pressure, age))
        })
    }
}
