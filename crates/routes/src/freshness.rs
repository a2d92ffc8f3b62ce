//! Versions and age of the configuration and the target list, and their exchange between daemons.

use std::time::{Duration, Instant};

use wire::ViewStamp;

/// Added to the age of a target list each time a daemon takes it over from another daemon.
///
/// It exceeds the latency of a message between daemons. Without it, two daemons would keep an old
/// list fresh for ever by confirming it to each other.
const AGE_PER_HOP: Duration = Duration::from_millis(40);
/// Age of states that were never confirmed.
const UNKNOWN_AGE: Duration = Duration::from_millis(u64::MAX);

/// What another daemon's [`ViewStamp`] has that this daemon lacks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StampDiff {
    /// The other daemon has a newer configuration.
    pub newer_table: bool,
    /// The other daemon has a newer target list with different content.
    pub newer_targets: bool,
    /// The other daemon has the same target list from a later read.
    pub newer_read: bool,
}

/// Versions of the configuration and the target list that this daemon holds, and the list's age.
///
/// If another daemon has read the same list later, the list counts as read at that time. The
/// number of reads therefore does not grow with the number of daemons.
#[derive(Debug, Default)]
pub struct Freshness {
    table: u64,
    /// When the configuration was last known to be the newest one.
    table_confirmed_at: Option<Instant>,
    targets: u64,
    digest: u64,
    /// When any daemon last read the current list.
    read_at: Option<Instant>,
}

impl Freshness {
    /// Sets the version of the configuration in force.
    pub fn set_table_version(&mut self, version: u64) {
        self.table = version;
    }

    /// Records that at `at` the platform published no newer configuration than the one in force.
    pub fn confirm_table(&mut self, at: Instant) {
        self.table_confirmed_at = self.table_confirmed_at.max(Some(at));
    }

    /// When the configuration was last known to be the newest one; `None` if it never was.
    #[must_use]
    pub fn table_confirmed_at(&self) -> Option<Instant> {
        self.table_confirmed_at
    }

    /// Sets revision, content digest and read time of the current target list.
    pub fn set_targets(&mut self, revision: u64, digest: u64, read_at: Instant) {
        self.targets = revision;
        self.digest = digest;
        self.read_at = Some(read_at);
    }

    /// Revision of the current target list; 0 if there is none.
    #[must_use]
    pub fn targets_revision(&self) -> u64 {
        self.targets
    }

    /// When any daemon last read the current target list; `None` if there is no list.
    #[must_use]
    pub fn targets_read_at(&self) -> Option<Instant> {
        self.read_at
    }

    /// When the staler one of both states was last known to be the newest one; `None` if either
    /// never was.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<Instant> {
        Some(self.table_confirmed_at?.min(self.read_at?))
    }

    /// Stamp to send to other daemons.
    ///
    /// Its age is that of the staler state, so a young list does not vouch for a configuration of
    /// which nothing has been heard.
    #[must_use]
    pub fn stamp(&self, now: Instant) -> ViewStamp {
        let age = self
            .confirmed_at()
            .map(|at| now.saturating_duration_since(at));
        ViewStamp {
            table: self.table,
            targets: self.targets,
            digest: self.digest,
            age: age.unwrap_or(UNKNOWN_AGE),
        }
    }

    /// Compares another daemon's stamp with the own state.
    ///
    /// If that daemon read the same list later, its read time is taken over, and likewise the time
    /// at which it knew of no newer configuration than the own one.
    pub fn merge(&mut self, stamp: ViewStamp, now: Instant) -> StampDiff {
        let same = stamp.digest == self.digest && self.targets > 0;
        // A new read of an unchanged list may carry the same revision, so the time decides.
        let read_at = now.checked_sub(stamp.age + AGE_PER_HOP);
        let newer_read = same && stamp.targets >= self.targets && read_at > self.read_at;
        if newer_read {
            self.targets = stamp.targets;
            self.read_at = read_at;
        }
        // A daemon without a list states no age.
        if stamp.table <= self.table
            && stamp.targets > 0
            && let Some(at) = read_at
        {
            self.confirm_table(at);
        }
        StampDiff {
            newer_read,
            newer_table: stamp.table > self.table,
            newer_targets: !same && stamp.targets > self.targets,
        }
    }
}
