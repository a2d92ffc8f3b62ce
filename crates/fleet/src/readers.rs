//! Who reads the platform, and how often.
//!
//! The platform counts every call. Each daemon decides for itself: if it ranks among the
//! first three of its data centre it keeps one waiting watch; if it hears nobody it reads
//! now and then, the more seldom the larger the fleet is.

use std::time::{Duration, Instant};

use model::{DataCentre, InstanceId};
use rand::Rng;
use rand::rngs::SmallRng;
use wire::control::Kind;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::instances::{Instance, InstanceList};
use crate::outbox::Read;

/// Readers of each kind of state in each data centre.
pub const READERS: usize = 3;

/// Time that a watch may wait at the platform.
pub const WATCH_WAIT: Duration = Duration::from_secs(25);

/// Reads a second of all daemons that start together.
const STARTUP_READS_PER_SECOND: u32 = 500;

/// Reads a second of all daemons that hear nobody.
const ISOLATED_READS_PER_SECOND: u32 = 200;

/// Shortest interval between two reads of a daemon that hears nobody.
const MIN_ISOLATED_INTERVAL: Duration = Duration::from_secs(2);

/// First wait after a failed read.
const MIN_BACKOFF: Duration = Duration::from_millis(200);

/// Longest wait of a reader after failed reads, so that it notices the end of an outage.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// What a daemon is to the platform at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It keeps a waiting watch.
    Watcher,
    /// It hears nobody and reads now and then.
    Isolated,
    /// It hears by push.
    Subscriber,
}

/// Decides whether `own` is a reader in its own view of the fleet.
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

/// Each kind has its own readers, since a reader carries whole states.
fn rank_seed(kind: Kind) -> u64 {
    match kind {
        Kind::Document => 1 << 33,
        Kind::Instances => 1 << 34,
    }
}

/// How a read ended, for the pace of the next one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadOutcome {
    /// The platform answered as it should.
    Success,
    /// The state that is held already: a peer was faster, or the platform does not wait.
    Duplicate,
    /// No answer, or one that is of no use.
    Failure,
}

/// The reads of one kind of state.
#[derive(Debug)]
pub(crate) struct Reader {
    role: Role,
    outstanding: Option<Instant>,
    answered: bool,
    next_read: Instant,
    failures: u32,
}

impl Reader {
    /// Draws the time of the first read so that a whole fleet may start at once.
    pub(crate) fn new(fleet_size: usize, now: Instant, rng: &mut SmallRng) -> Self {
        Reader {
            role: Role::Subscriber,
            outstanding: None,
            answered: false,
            next_read: now
                + random_up_to(interval_at_rate(fleet_size, STARTUP_READS_PER_SECOND), rng),
            failures: 0,
        }
    }

    /// Returns the read that is due, if any.
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
        // The first read asks for an answer at once: a daemon that starts needs one.
        let is_watch = self.answered && role == Role::Watcher;
        let wait = if is_watch { WATCH_WAIT } else { Duration::ZERO };
        Some(Read { after, wait })
    }

    /// Notes the end of the outstanding read and sets the time of the next one.
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

    /// When the read that is under way was asked for.
    pub(crate) fn requested_at(&self) -> Option<Instant> {
        self.outstanding
    }

    /// Reads soon, because the view may be outdated.
    pub(crate) fn read_soon(&mut self, now: Instant, rng: &mut SmallRng) {
        self.next_read = self.next_read.min(now + random_up_to(MIN_BACKOFF, rng));
    }

    /// True if the platform has answered since the start.
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
        // Daemons other than readers are many: their waits follow the size at once.
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

/// Time over which one read of each daemon makes up the given rate.
fn interval_at_rate(fleet_size: usize, per_second: u32) -> Duration {
    Duration::from_secs(1) * u32::try_from(fleet_size).unwrap_or(u32::MAX) / per_second
}

fn random_up_to(longest: Duration, rng: &mut SmallRng) -> Duration {
    longest.mul_f64(rng.random_range(0.0..1.0))
}

fn jittered(middle: Duration, rng: &mut SmallRng) -> Duration {
    middle.mul_f64(rng.random_range(0.5..1.5))
}
