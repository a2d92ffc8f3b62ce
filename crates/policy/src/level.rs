//! Which root requests the scarcest service on their way can bear.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use derive_more::{Display, From, Into};
use model::{Class, ServiceName};

use crate::load::Load;

/// Steps of one class.
const STEPS: u16 = 256;
/// Highest level: even of the most important class a few are let through, to see whether the
/// service can take more.
const MAX_LEVEL: f64 = 4.0 * 256.0 - 16.0;
/// Steps by which a level rises in a second while a target has twice the work that it can run
/// at once: slower than the time that a request takes to its deepest call, or it swings.
const STEPS_PER_SECOND: f64 = 320.0;
/// Work in a target, over what it can run at once, at which the level stays as it is.
const AIM: f64 = 1.0;
/// Least and greatest distance from the aim that counts.
const LEAST_DISTANCE: f64 = -0.4;
const GREATEST_DISTANCE: f64 = 1.0;
/// Longest time between two looks that counts, so that a pause is no evidence.
const MAX_INTERVAL: Duration = Duration::from_millis(100);
/// Age after which a level is no longer believed.
const LEVEL_LIFE: Duration = Duration::from_secs(2);
/// Part of the way that a heard level moves to one report, as a divisor.
const REPORT_DIVISOR: i32 = 8;
/// Age difference from which another daemon's view replaces the own one.
const FRESHER_BY: Duration = Duration::from_millis(200);

/// Rank of a root request; a greater one is refused later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank(u16);

impl Rank {
    /// Rank by class, and within it by the root's hash; one that came back after a refusal
    /// goes before most that come for the first time.
    #[must_use]
    pub fn new(class: Class, shed_hash: u64, came_back: bool) -> Self {
        let step = u16::try_from(shed_hash >> (u64::BITS - 8)).unwrap_or(0);
        let step = if came_back {
            STEPS * 3 / 4 + step / 4
        } else {
            step
        };
        Rank(u16::from(class as u8) * STEPS + step)
    }
}

/// The least rank that a service can bear just now.
#[derive(Clone, Copy, Debug, Default, Display, From, Into, PartialEq, Eq, PartialOrd, Ord)]
pub struct Level(u16);

impl Level {
    /// True if requests of this rank are admitted.
    #[must_use]
    pub fn admits(self, rank: Rank) -> bool {
        rank.0 >= self.0
    }

    /// True if every request is admitted.
    #[must_use]
    pub fn is_open(self) -> bool {
        self.0 == 0
    }
}

/// Finds the level of one target from the work in it.
///
/// Work that has begun elsewhere is not turned away, so the level only acts on requests that
/// have not begun; it follows what runs and waits, over what can run at once.
#[derive(Debug)]
pub struct LevelControl {
    level: f64,
    at: Instant,
}

impl LevelControl {
    /// Creates the control of a target without work.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        LevelControl {
            level: 0.0,
            at: now,
        }
    }

    /// Takes a look at the load.
    pub fn observe(&mut self, load: &Load, now: Instant) {
        let interval = now.saturating_duration_since(self.at).min(MAX_INTERVAL);
        self.at = now;
        let work = f64::from(load.in_flight.saturating_add(load.queued));
        let distance = work / f64::from(load.limit.max(1)) - AIM;
        let step = distance.clamp(LEAST_DISTANCE, GREATEST_DISTANCE)
            * STEPS_PER_SECOND
            * interval.as_secs_f64();
        self.level = (self.level + step).clamp(0.0, MAX_LEVEL);
    }

    /// The level now.
    #[must_use]
    pub fn level(&self) -> Level {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the level lies between 0 and MAX_LEVEL"
        )]
        Level(self.level as u16)
    }
}

/// The levels of services, as heard from others.
#[derive(Debug, Default)]
pub struct Levels {
    heard: HashMap<ServiceName, Heard>,
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    level: Level,
    at: Instant,
}

impl Levels {
    /// Takes note of what a target of the service reports itself.
    pub fn report(&mut self, service: &ServiceName, level: Level, now: Instant) {
        let Some(heard) = self.heard.get_mut(service) else {
            self.heard
                .insert(service.clone(), Heard { level, at: now });
            return;
        };
        let from = i32::from(heard.level.0);
        let distance = i32::from(level.0) - from;
        let mut step = distance / REPORT_DIVISOR;
        if step == 0 {
            step = distance.signum();
        }
        heard.level = Level(u16::try_from(from + step).unwrap_or(0));
        heard.at = now;
    }

    /// Takes over what another daemon had heard, at a time before now, if that is fresher.
    pub fn hear(&mut self, service: &ServiceName, level: Level, age: Duration, now: Instant) {
        let Some(at) = now.checked_sub(age) else {
            return;
        };
        let known = self.heard.get(service);
        if known.is_none_or(|known| known.at + FRESHER_BY <= at) {
            self.heard.insert(service.clone(), Heard { level, at });
        }
    }

    /// The level of a service, and how old the word of it is; open if nothing is believed.
    #[must_use]
    pub fn of(&self, service: &ServiceName, now: Instant) -> (Level, Duration) {
        match self.heard.get(service) {
            Some(heard) => {
                let age = now.saturating_duration_since(heard.at);
                if age < LEVEL_LIFE {
                    (heard.level, age)
                } else {
                    (Level::default(), age)
                }
            }
            None => (Level::default(), Duration::ZERO),
        }
    }

    /// All levels that are still believed, with their age.
    pub fn iter(&self, now: Instant) -> impl Iterator<Item = (&ServiceName, Level, Duration)> {
        self.heard.iter().filter_map(move |(service, heard)| {
            let age = now.saturating_duration_since(heard.at);
            (age < LEVEL_LIFE).then_some((service, heard.level, age))
        })
    }
}
