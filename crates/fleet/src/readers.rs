//! Which daemons read the platform, and at what intervals.
//!
//! The platform counts every call, so only a few daemons read it and the others receive
//! new states from their peers. Each daemon decides on its own: if it ranks among the first
//! [`READERS`] of its data centre it keeps one long-polling watch open; if it is isolated
//! from all peers it polls, at an interval that grows with the size of the fleet.

use std::time::{Duration, Instant};

use model::{DataCentre, InstanceId};
use rand::Rng;
use rand::rngs::SmallRng;
use wire::control::Kind;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::instances::{Instance, InstanceList};
use crate::outbox::Read;

/// Number of readers per kind of state and data centre.
pub const READERS: usize = 3;

/// Time for which the platform may hold a watch open.
pub const WATCH_WAIT: Duration = Duration::from_secs(25);

/// Target rate of the whole fleet's reads when all daemons start together, per second.
const STARTUP_READS_PER_SECOND: u32 = 500;

/// Target rate of the whole fleet's reads when all daemons are isolated, per second.
const ISOLATED_READS_PER_SECOND: u32 = 200;

/// Minimum interval between two reads of an isolated daemon.
const MIN_ISOLATED_INTERVAL: Duration = Duration::from_secs(2);

/// Base of the exponential backoff after failed reads.
const MIN_BACKOFF: Duration = Duration::from_millis(200);

/// Maximum backoff of a watcher, short so that it notices the end of an outage.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// How a daemon currently obtains new states.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It is a reader and keeps a long-polling watch open at the platform.
    Watcher,
    /// It hears from no peer and polls the platform.
    Isolated,
    /// It receives new states from its peers.
    Subscriber,
}

/// True if `own` ranks among the first [`READERS`] usable daemons of its data centre.
///
/// The rank is a hash of the identifier; `usable` is not asked about `own`.
#[must_use]
pub fn is_reader(
    kind: Kind,
    own: &InstanceId,
    data_centre: &DataCentre,
    list: &InstanceList,
    usable: impl Fn(&Instance) -> bool,
) -> bool {
    let rank = |id: &InstanceId| xxh3_64_with_seed(id.as_str().as_bytes(), rank_seed(kind));
    let own_rank = rank(own);
    let better_ranked = list
        .instances
        .iter()
        .filter(|instance| instance.data_centre == *data_centre && instance.id != *own)
        .filter(|instance| rank(&instance.id) < own_rank && usable(instance))
        .count();
    better_ranked < READERS
}

/// Seed of the rank for a kind of state. Each kind has different readers, to spread the
/// cost of transferring whole states.
fn rank_seed(kind: Kind) -> u64 {
    match kind {
        Kind::Document => 1 << 33,
        Kind::Instances => 1 << 34,
    }
}

/// Outcome of a read, which determines when the next one is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadOutcome {
    /// The platform answered with a new state, or that there is no newer one.
    Success,
    /// The platform answered with the current state: a peer delivered it first, or the
    /// platform doesn't hold watches open.
    Duplicate,
    /// The platform gave no usable answer, or has no state of this kind.
    Failure,
}

/// Schedules the reads of one kind of state.
#[derive(Debug)]
pub(crate) struct ReadScheduler {
    role: Role,
    outstanding: Option<Instant>,
    answered: bool,
    next_read: Instant,
    failures: u32,
}

impl ReadScheduler {
    /// Picks a random time for the first read, so that a fleet that starts all at once stays
    /// near [`STARTUP_READS_PER_SECOND`].
    pub(crate) fn new(fleet_size: usize, now: Instant, rng: &mut SmallRng) -> Self {
        ReadScheduler {
            role: Role::Subscriber,
            outstanding: None,
            answered: false,
            next_read: now
                + random_up_to(interval_at_rate(fleet_size, STARTUP_READS_PER_SECOND), rng),
            failures: 0,
        }
    }

    /// Returns the read that is due, if any. `after` is the revision held.
    pub(crate) fn tick(
        &mut self,
        role: Role,
        after: Option<u64>,
        fleet_size: usize,
        now: Instant,
        rng: &mut SmallRng,
    ) -> Option<Read> {
        if role != self.role {
            self.change_role(role, fleet_size, now, rng);
        }
        let idle = self.answered && role == Role::Subscriber;
        if self.outstanding.is_some() || idle || now < self.next_read {
            return None;
        }
        self.outstanding = Some(now);
        // The first read doesn't wait, since a starting daemon needs a state at once.
        let is_watch = self.answered && role == Role::Watcher;
        let wait = if is_watch { WATCH_WAIT } else { Duration::ZERO };
        Some(Read { after, wait })
    }

    /// Records the outcome of the outstanding read and schedules the next one.
    pub(crate) fn finish(
        &mut self,
        outcome: ReadOutcome,
        fleet_size: usize,
        now: Instant,
        rng: &mut SmallRng,
    ) {
        self.outstanding = None;
        self.answered |= outcome != ReadOutcome::Failure;
        if outcome != ReadOutcome::Success {
            self.failures = self.failures.saturating_add(1);
            self.next_read = now + self.backoff(fleet_size, rng);
            return;
        }
        self.failures = 0;
        self.next_read = match self.role {
            Role::Isolated => now + jittered(isolated_interval(fleet_size), rng),
            Role::Watcher | Role::Subscriber => now,
        };
    }

    /// Time at which the outstanding read was requested.
    pub(crate) fn requested_at(&self) -> Option<Instant> {
        self.outstanding
    }

    /// Brings the next read forward, because the view may be outdated.
    pub(crate) fn read_soon(&mut self, now: Instant, rng: &mut SmallRng) {
        self.next_read = self.next_read.min(now + random_up_to(MIN_BACKOFF, rng));
    }

    /// True if any read has been answered since the start.
    pub(crate) fn has_answered(&self) -> bool {
        self.answered
    }

    fn change_role(&mut self, role: Role, fleet_size: usize, now: Instant, rng: &mut SmallRng) {
        self.role = role;
        self.next_read = match role {
            Role::Watcher => self.next_read.min(now + random_up_to(MIN_BACKOFF, rng)),
            Role::Isolated => now + random_up_to(isolated_interval(fleet_size), rng),
            Role::Subscriber => self.next_read,
        };
    }

    fn backoff(&self, fleet_size: usize, rng: &mut SmallRng) -> Duration {
        let doubled = MIN_BACKOFF * 2_u32.saturating_pow(self.failures.min(8));
        let longest = match self.role {
            Role::Watcher => MAX_BACKOFF,
            Role::Isolated => isolated_interval(fleet_size),
            Role::Subscriber => {
                MAX_BACKOFF.max(interval_at_rate(fleet_size, STARTUP_READS_PER_SECOND))
            }
        };
        // Non-readers are many, so their backoff scales with the fleet from the first failure.
        let shortest = interval_at_rate(fleet_size, STARTUP_READS_PER_SECOND);
        let wait = match self.role {
            Role::Watcher => doubled.min(longest),
            Role::Isolated | Role::Subscriber => doubled.max(shortest).min(longest),
        };
        jittered(wait, rng)
    }
}

fn isolated_interval(fleet_size: usize) -> Duration {
    interval_at_rate(fleet_size, ISOLATED_READS_PER_SECOND).max(MIN_ISOLATED_INTERVAL)
}

/// Interval at which each daemon reads if the whole fleet makes `per_second` reads a second.
fn interval_at_rate(fleet_size: usize, per_second: u32) -> Duration {
    Duration::from_secs(1) * u32::try_from(fleet_size).unwrap_or(u32::MAX) / per_second
}

fn random_up_to(longest: Duration, rng: &mut SmallRng) -> Duration {
    longest.mul_f64(rng.random_range(0.0..1.0))
}

fn jittered(middle: Duration, rng: &mut SmallRng) -> Duration {
    middle.mul_f64(rng.random_range(0.5..1.5))
}
