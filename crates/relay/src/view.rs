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
    pub(crate) own: Option<Target>,
    /// True if it was listed before.
    pub(crate) own_was_listed: bool,
    freshness: Freshness,
    roster: ActiveTargets,
    /// Both states as they were published, for daemons that can't read them.
    table_document: Option<Document>,
    targets_document: Option<Document>,
}

/// What became of a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Offered {
    /// It is in force now.
    Taken,
    /// It says nothing new.
    Known,
}

impl View {
    /// Takes over a configuration, unless it is older than the one in force.
    pub(crate) fn offer_table(&mut self, table: RouteTable, document: Document) -> Offered {
        let known = self.table.as_ref().map(|table| table.version());
        if known.is_some_and(|known| known >= table.version()) {
            return Offered::Known;
        }
        self.freshness.set_table_version(table.version());
        self.table = Some(Rc::new(table));
        self.table_document = Some(document);
        Offered::Taken
    }

    /// Takes over a list of targets that was read at a moment, unless it is older than the
    /// one that is known.
    pub(crate) fn offer_targets(
        &mut self,
        listed: &Targets,
        document: Document,
        read_at: Instant,
    ) -> Offered {
        if document.revision < self.freshness.targets_revision() {
            return Offered::Known;
        }
        let digest = listed.digest();
        let read_at = read_at.into_std();
        self.freshness
            .set_targets(document.revision, digest, read_at);
        self.targets_document = Some(document);
        if !self.roster.update(listed, read_at) {
            return Offered::Known;
        }
        self.targets = self.roster.snapshot();
        Offered::Taken
    }

    /// Forgets targets that are missing for good; `true` if there were any.
    pub(crate) fn expire(&mut self, now: Instant) -> bool {
        let expired = self.roster.expire(now.into_std());
        if expired {
            self.targets = self.roster.snapshot();
        }
        expired
    }

    /// Takes note that the list of targets could not be read by this daemon.
    pub(crate) fn targets_lost(&mut self) {
        self.roster.mark_unreachable();
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
    pub(crate) fn hear(&mut self, stamp: ViewStamp, now: Instant) -> StampDiff {
        let now = now.into_std();
        let heard = self.freshness.merge(stamp, now);
        if heard.newer_read {
            self.roster.mark_reachable(now);
        }
        heard
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
