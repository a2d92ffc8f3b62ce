//! The published states that this daemon holds, and how newer versions replace them.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use routes::{ActiveTargets, Freshness, RouteTable, StampDiff, Target, Targets};
use tokio::time::Instant;
use wire::ViewStamp;

use crate::source::{Document, RESTORATION_SHIFT};

/// The published states that this daemon holds: the configuration and the target list.
#[derive(Default)]
pub(crate) struct View {
    /// Route table in force; `None` until one is received.
    pub(crate) table: Option<Rc<RouteTable>>,
    /// Targets in use.
    pub(crate) targets: Targets,
    /// The target beside this daemon; `None` while it is not listed.
    pub(crate) local_target: Option<Target>,
    /// True if the local target has been listed at any time.
    pub(crate) local_target_was_listed: bool,
    /// The target list as it was read last, with entries that name no target.
    listed: Targets,
    freshness: Freshness,
    active_targets: ActiveTargets,
    /// Both states in their published form, for daemons that can't read them from the source.
    table_document: Option<Document>,
    targets_document: Option<Document>,
}

/// Result of an update with a published document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpdateResult {
    /// The document is in force now.
    Applied,
    /// The document is outdated or contains no change.
    Unchanged,
}

impl View {
    /// Applies a route table if its version is newer than that of the one in force.
    pub(crate) fn update_table(&mut self, table: RouteTable, document: Document) -> UpdateResult {
        let known = self.table.as_ref().map(|table| table.version());
        if known.is_some_and(|known| known >= table.version()) {
            if known == Some(table.version())
                && let Some(current) = &mut self.table_document
            {
                // Checks start from a revision that the source still has the history of.
                current.revision = current.revision.max(document.revision);
            }
            return UpdateResult::Unchanged;
        }
        self.freshness.set_table_version(table.version());
        self.table = Some(Rc::new(table));
        self.table_document = Some(document);
        if let Some(read_at) = self.freshness.targets_read_at() {
            let targets = self.listed_targets();
            if self.active_targets.apply(&targets, read_at) {
                self.targets = self.active_targets.snapshot();
            }
        }
        UpdateResult::Applied
    }

    /// Returns the targets of the list. An entry of a service that the configuration doesn't name is
    /// none.
    fn listed_targets(&self) -> Targets {
        let table = self.table.as_ref();
        self.listed
            .in_use(|service| table.is_none_or(|table| table.names_service(service)))
    }

    /// Applies a target list that was read at `read_at`, unless its revision is older than that of
    /// the current one.
    pub(crate) fn update_targets(
        &mut self,
        listed: Targets,
        document: Document,
        read_at: Instant,
    ) -> UpdateResult {
        if document.revision < self.freshness.targets_revision() {
            return UpdateResult::Unchanged;
        }
        let digest = listed.digest();
        let read_at = read_at.into_std();
        let restorations = |revision: u64| revision >> RESTORATION_SHIFT;
        let known = self.freshness.targets_revision();
        if self.targets_document.is_some() && restorations(document.revision) > restorations(known)
        {
            log::warn!(revision = document.revision; "store restored from an older copy");
            self.active_targets.mark_restored(read_at);
        }
        self.freshness
            .set_targets(document.revision, digest, read_at);
        self.targets_document = Some(document);
        self.listed = listed;
        let targets = self.listed_targets();
        if !self.active_targets.update(&targets, read_at) {
            return UpdateResult::Unchanged;
        }
        self.targets = self.active_targets.snapshot();
        UpdateResult::Applied
    }

    /// Removes targets that have been missing from the list for too long; `true` if there were any.
    pub(crate) fn expire(&mut self, now: Instant) -> bool {
        let expired = self.active_targets.expire(now.into_std());
        if expired {
            self.targets = self.active_targets.snapshot();
        }
        expired
    }

    /// Records that a target said in an answer that it is leaving; `true` if that is news.
    pub(crate) fn mark_leaving(&mut self, target: &Target, now: Instant) -> bool {
        let now = now.into_std();
        let news = self.active_targets.mark_leaving(target, now);
        if news {
            self.targets = self.active_targets.snapshot();
        }
        news
    }

    /// Records that this daemon could not read the target list.
    pub(crate) fn mark_targets_unreachable(&mut self) {
        self.active_targets.mark_unreachable();
    }

    /// Records that at `at` the source held no newer configuration than the one in force.
    pub(crate) fn confirm_table(&mut self, at: Instant) {
        self.freshness.confirm_table(at.into_std());
    }

    /// Returns the time since the configuration was last known to be the newest one; `None` if it
    /// never was.
    pub(crate) fn table_age(&self, now: Instant) -> Option<Duration> {
        let confirmed_at = self.freshness.table_confirmed_at()?;
        Some(now.into_std().saturating_duration_since(confirmed_at))
    }

    /// Returns when any daemon last read the current target list; `None` if there is no list.
    pub(crate) fn targets_read_at(&self) -> Option<Instant> {
        self.freshness.targets_read_at().map(Instant::from_std)
    }

    /// Returns when the staler one of both states was last known to be the newest one; `None` if
    /// either never was.
    pub(crate) fn confirmed_at(&self) -> Option<Instant> {
        self.freshness.confirmed_at().map(Instant::from_std)
    }

    /// Returns the time since any daemon last read the current target list; `None` if there is no
    /// list.
    pub(crate) fn targets_age(&self, now: Instant) -> Option<Duration> {
        let read_at = self.targets_read_at()?;
        Some(now.saturating_duration_since(read_at))
    }

    /// Returns the versions of both states, for other daemons.
    pub(crate) fn stamp(&self, now: Instant) -> ViewStamp {
        self.freshness.stamp(now.into_std())
    }

    /// Merges the stamp of another daemon, and returns what that daemon has that this one lacks.
    pub(crate) fn merge_stamp(&mut self, stamp: ViewStamp, now: Instant) -> StampDiff {
        let now = now.into_std();
        let diff = self.freshness.merge(stamp, now);
        if diff.newer_read {
            self.active_targets.mark_reachable(now);
        }
        diff
    }

    /// Returns the configuration in its published form, with its revision.
    pub(crate) fn table_document(&self) -> Option<(u64, Bytes)> {
        let document = self.table_document.as_ref()?;
        Some((document.revision, document.bytes.clone()))
    }

    /// Returns the target list in its published form, with the revision up to which it is known to
    /// be current.
    pub(crate) fn targets_document(&self) -> Option<(u64, Bytes)> {
        let document = self.targets_document.as_ref()?;
        Some((self.freshness.targets_revision(), document.bytes.clone()))
    }
}
