//! Targets in use, also while the target list cannot be read.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use model::InstanceId;

use crate::target::{Target, TargetState, Targets};

/// Time after an outage of the list within which a live target is listed again, if its entry
/// expired during the outage.
///
/// The platform states about 2 s for the entry to reappear; reading it may take another 500 ms.
const RETURN_GRACE: Duration = Duration::from_millis(2_500);

/// Time between two reads from which the list counts as having been unreachable: entries expire only
/// after several reports are missing.
const OUTAGE_GAP: Duration = Duration::from_secs(2);
/// Time for which the last report of a removed target is remembered, longer than the age of a copy
/// from which the list may be restored.
const REMOVED_RETENTION: Duration = Duration::from_mins(1);

/// Targets that are assumed to be running.
///
/// A target that is no longer listed is removed. If its entry may have expired because the list
/// was unreachable, it is kept until the list has been reachable again for a grace period.
#[derive(Debug, Default)]
pub struct ActiveTargets {
    present: HashMap<InstanceId, Target>,
    /// Ids in `present` that the latest list does not contain.
    missing: HashSet<InstanceId>,
    /// Removed targets with the last report of each and the time of its removal.
    removed: HashMap<InstanceId, (Report, Instant)>,
    /// Targets that said in an answer that they are leaving, with the last report of each before
    /// that and the time of the answer.
    leaving: HashMap<InstanceId, (Report, Instant)>,
    reachability: Reachability,
    last_read: Option<Instant>,
    /// When the list was last restored from an older copy.
    restored: Option<Instant>,
}

/// Order of the reports of one target: by its start, then by their number since the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Report {
    started_ms: u64,
    count: u64,
}

impl Report {
    fn of(target: &Target) -> Self {
        Report {
            started_ms: target.started_ms,
            count: target.report_count,
        }
    }

    /// True if a later report comes from a later start of the target. Where targets don't report
    /// their start, their count begins again.
    fn is_of_earlier_start(self, later: Report) -> bool {
        if later.started_ms == 0 {
            later.count < self.count
        } else {
            later.started_ms > self.started_ms
        }
    }
}

/// Whether the target list can be read.
#[derive(Clone, Copy, Debug, Default)]
enum Reachability {
    /// No outage so far, or the grace period after the last one is over.
    #[default]
    Stable,
    Unreachable,
    Recovering {
        since: Instant,
    },
}

impl ActiveTargets {
    /// Records that the list could not be read.
    pub fn mark_unreachable(&mut self) {
        self.reachability = Reachability::Unreachable;
    }

    /// Records that the list was restored from an older copy. Until all reports have been written
    /// again, targets may be missing there, and one that is leaving or has left may be ready.
    pub fn mark_restored(&mut self, now: Instant) {
        self.mark_unreachable();
        self.restored = Some(now);
    }

    /// Records that this daemon or another one read the list.
    pub fn mark_reachable(&mut self, now: Instant) {
        self.last_read = Some(self.last_read.map_or(now, |at| at.max(now)));
        self.reachability = match self.reachability {
            Reachability::Unreachable => Reachability::Recovering { since: now },
            Reachability::Recovering { since }
                if now.saturating_duration_since(since) >= RETURN_GRACE =>
            {
                Reachability::Stable
            }
            reachability => reachability,
        };
    }

    /// Records that a target said in an answer that it is leaving. It counts as draining until it is
    /// started again, whatever state is listed. Returns `true` if that is news.
    pub fn mark_leaving(&mut self, target: &Target, now: Instant) -> bool {
        let report = Report::of(target);
        let present = self.present.get(&target.id).map(Report::of);
        if present.is_some_and(|present| report.is_of_earlier_start(present)) {
            return false;
        }
        let mark = (present.unwrap_or(report), now);
        self.leaving.insert(target.id.clone(), mark).is_none()
    }

    /// Applies a newly read list. Returns `true` if the set of targets changed, or a target in
    /// more than the fields that change with every report.
    ///
    /// After a restoration, a report that is older than the last known one changes nothing.
    pub fn update(&mut self, listed: &Targets, now: Instant) -> bool {
        let gap = self.last_read.map(|at| now.saturating_duration_since(at));
        if gap.is_some_and(|gap| gap >= OUTAGE_GAP) {
            self.mark_unreachable();
        }
        self.last_read = Some(now);
        self.removed
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < REMOVED_RETENTION);
        self.mark_reachable(now);
        self.apply(listed, now)
    }

    /// Applies the last list once more, after what counts as a target has changed. Returns `true` as
    /// [`Self::update`] does.
    pub fn apply(&mut self, listed: &Targets, now: Instant) -> bool {
        let unlisted = |id: &&InstanceId| listed.get(id).is_none();
        self.missing = self.present.keys().filter(unlisted).cloned().collect();
        let mut changed = self.expire(now);
        changed |= self.forget_leaving(listed, now);
        for target in listed.iter() {
            if self.is_outdated(target, now) {
                continue;
            }
            let known = self.present.insert(target.id.clone(), target.clone());
            changed |= known.is_none_or(|known| differs(&known, target));
        }
        changed
    }

    /// Forgets that targets are leaving which have been started again, or were removed long ago.
    /// Returns `true` if there were any.
    fn forget_leaving(&mut self, listed: &Targets, now: Instant) -> bool {
        let before = self.leaving.len();
        let present = &self.present;
        self.leaving.retain(|id, (report, at)| {
            let is_recent = now.saturating_duration_since(*at) < REMOVED_RETENTION;
            let is_restarted = listed
                .get(id)
                .is_some_and(|target| report.is_of_earlier_start(Report::of(target)));
            !is_restarted && (is_recent || present.contains_key(id))
        });
        self.leaving.len() < before
    }

    /// Removes unlisted targets, unless the list is unreachable or the grace period is running.
    /// Returns `true` if any were removed.
    pub fn expire(&mut self, now: Instant) -> bool {
        let is_stable = match self.reachability {
            Reachability::Stable => true,
            Reachability::Recovering { since } => {
                now.saturating_duration_since(since) >= RETURN_GRACE
            }
            Reachability::Unreachable => false,
        };
        if !is_stable || self.missing.is_empty() {
            return false;
        }
        for id in self.missing.drain() {
            if let Some(target) = self.present.remove(&id) {
                self.removed.insert(id, (Report::of(&target), now));
            }
        }
        true
    }

    /// True if the list was restored and a newer report of the target is known, or it was removed
    /// after this report.
    fn is_outdated(&self, target: &Target, now: Instant) -> bool {
        let restored = |at: Instant| now.saturating_duration_since(at) < REMOVED_RETENTION;
        if !self.restored.is_some_and(restored) {
            return false;
        }
        let report = Report::of(target);
        let known = self.present.get(&target.id);
        known.is_some_and(|known| report < Report::of(known))
            || self
                .removed
                .get(&target.id)
                .is_some_and(|(last, _)| report <= *last)
    }

    /// Iterates over all targets in use.
    pub fn iter(&self) -> impl Iterator<Item = &Target> {
        self.present.values()
    }

    /// Copies the targets in use, one at each address. Those that said that they are leaving are
    /// draining.
    #[must_use]
    pub fn snapshot(&self) -> Targets {
        let targets = self.present.values().cloned();
        let with_state = targets.map(|mut target| {
            if self.leaving.contains_key(&target.id) {
                target.state = TargetState::Draining;
            }
            target
        });
        let targets: Targets = with_state.collect();
        targets.in_use(|_| true)
    }
}

/// True if two reports of one target differ in more than the fields that change with every report.
fn differs(known: &Target, listed: &Target) -> bool {
    let with_known_report = Target {
        report_count: known.report_count,
        revision: known.revision,
        warm_up_left: known.warm_up_left,
        ..listed.clone()
    };
    *known != with_known_report
}
