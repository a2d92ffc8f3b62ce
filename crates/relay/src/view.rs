//! The published states as this daemon knows them, and how it takes over newer ones.

use std::rc::Rc;

use bytes::Bytes;
use routes::{ActiveTargets, Freshness, RouteTable, StampDiff, Target, Targets};
use tokio::time::Instant;
use wire::ViewStamp;

use crate::source::Document;

/// The published states as this daemon knows them.
#[derive(Default)]
pub(crate) struct View {
    pub(crate) table: Option<Rc<RouteTable>>,
    pub(crate) targets: Targets,
    /// The target beside this daemon.
    pub(crate) local: Option<Target>,
    /// True if it was listed before.
    pub(crate) local_was_listed: bool,
    freshness: Freshness,
    active_targets: ActiveTargets,
    /// Both states as they were published, for daemons that can't read them.
    table_document: Option<Document>,
    targets_document: Option<Document>,
}

/// What became of a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpdateResult {
    /// It is in force now.
    Applied,
    /// It says nothing new.
    Unchanged,
}

impl View {
    /// Takes over a configuration, unless it is older than the one in force.
    pub(crate) fn update_table(&mut self, table: RouteTable, document: Document) -> UpdateResult {
        let known = self.table.as_ref().map(|table| table.version());
        if known.is_some_and(|known| known >= table.version()) {
            return UpdateResult::Unchanged;
        }
        self.freshness.set_table_version(table.version());
        self.table = Some(Rc::new(table));
        self.table_document = Some(document);
        UpdateResult::Applied
    }

    /// Takes over a list of targets that was read at a moment, unless it is older than the
    /// one that is known.
    pub(crate) fn update_targets(
        &mut self,
        listed: &Targets,
        document: Document,
        read_at: Instant,
    ) -> UpdateResult {
        if document.revision < self.freshness.targets_revision() {
            return UpdateResult::Unchanged;
        }
        let digest = listed.digest();
        let read_at = read_at.into_std();
        self.freshness
            .set_targets(document.revision, digest, read_at);
        self.targets_document = Some(document);
        if !self.active_targets.update(listed, read_at) {
            return UpdateResult::Unchanged;
        }
        self.targets = self.active_targets.snapshot();
        UpdateResult::Applied
    }

    /// Forgets targets that are missing for good; `true` if there were any.
    pub(crate) fn expire(&mut self, now: Instant) -> bool {
        let expired = self.active_targets.expire(now.into_std());
        if expired {
            self.targets = self.active_targets.snapshot();
        }
        expired
    }

    /// Takes note that the list of targets could not be read by this daemon.
    pub(crate) fn mark_targets_unreachable(&mut self) {
        self.active_targets.mark_unreachable();
    }

    /// When the list of targets was last read by anyone.
    pub(crate) fn targets_read_at(&self) -> Option<Instant> {
        self.freshness.targets_read_at().map(Instant::from_std)
    }

    /// What to tell other daemons.
    pub(crate) fn stamp(&self, now: Instant) -> ViewStamp {
        self.freshness.stamp(now.into_std())
    }

    /// Takes note of what another daemon knows.
    pub(crate) fn merge_stamp(&mut self, stamp: ViewStamp, now: Instant) -> StampDiff {
        let now = now.into_std();
        let diff = self.freshness.merge(stamp, now);
        if diff.newer_read {
            self.active_targets.mark_reachable(now);
        }
        diff
    }

    /// The configuration as it was published.
    pub(crate) fn table_document(&self) -> Option<(u64, Bytes)> {
        let document = self.table_document.as_ref()?;
        Some((document.revision, document.bytes.clone()))
    }

    /// The list of targets as it was published, at the revision at which it is known.
    pub(crate) fn targets_document(&self) -> Option<(u64, Bytes)> {
        let document = self.targets_document.as_ref()?;
        Some((self.freshness.targets_revision(), document.bytes.clone()))
    }
}
