//! How old the known states are, and who knows newer ones.

use std::time::{Duration, Instant};

use wire::ViewStamp;

/// What is added to the age of a list with each daemon that passes on the word of it: more than
/// a message takes on its way between daemons. Without it, two daemons would confirm an old list
/// to each other for ever.
const AGE_PER_HOP: Duration = Duration::from_millis(40);

/// What to do about another daemon's word.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StampDiff {
    /// It has a newer configuration.
    pub newer_table: bool,
    /// It has a newer and different list of targets.
    pub newer_targets: bool,
    /// It knows the same list from a later read.
    pub newer_read: bool,
}

/// What this daemon knows of the published states, and since when.
///
/// A list that another daemon has read later with the same content is as fresh as that read,
/// so that a fleet needs few reads, however many daemons it has.
#[derive(Debug, Default)]
pub struct Freshness {
    table: u64,
    targets: u64,
    digest: u64,
    /// When the list that is known was last read by anyone.
    read_at: Option<Instant>,
}

impl Freshness {
    /// Takes note of the configuration in force.
    pub fn set_table_version(&mut self, version: u64) {
        self.table = version;
    }

    /// Takes note of a list of targets that was read at a moment.
    pub fn set_targets(&mut self, revision: u64, digest: u64, read_at: Instant) {
        self.targets = revision;
        self.digest = digest;
        self.read_at = Some(read_at);
    }

    /// Revision at which the list of targets is known.
    #[must_use]
    pub fn targets_revision(&self) -> u64 {
        self.targets
    }

    /// When the list of targets was last read by anyone.
    #[must_use]
    pub fn targets_read_at(&self) -> Option<Instant> {
        self.read_at
    }

    /// What to tell others.
    #[must_use]
    pub fn stamp(&self, now: Instant) -> ViewStamp {
        let age = self.read_at.map(|at| now.saturating_duration_since(at));
        ViewStamp {
            table: self.table,
            targets: self.targets,
            digest: self.digest,
            age: age.unwrap_or_default(),
        }
    }

    /// Takes note of what another daemon knows.
    pub fn merge(&mut self, stamp: ViewStamp, now: Instant) -> StampDiff {
        let same = stamp.digest == self.digest && self.targets > 0;
        // The revision stays as it is while nothing changes.
        let read_at = now.checked_sub(stamp.age + AGE_PER_HOP);
        let newer_read = same && stamp.targets >= self.targets && read_at > self.read_at;
        if newer_read {
            self.targets = stamp.targets;
            self.read_at = read_at;
        }
        StampDiff {
            newer_read,
            newer_table: stamp.table > self.table,
            newer_targets: !same && stamp.targets > self.targets,
        }
    }
}
