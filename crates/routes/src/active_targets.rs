//! Targets in use, also while the target list cannot be read.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use model::InstanceId;

use crate::target::{Target, Targets};

/// Time after an outage of the list within which a live target is listed again, if its entry
/// expired during the outage.
///
/// The platform states about 2 s for the entry to reappear; reading it may take another 500 ms.
const RETURN_GRACE: Duration = Duration::from_millis(2_500);

/// Targets that are assumed to be running.
///
/// A target that is no longer listed is removed. If its entry may have expired because the list
/// was unreachable, it is kept until the list has been reachable again for a grace period.
#[derive(Debug, Default)]
pub struct ActiveTargets {
    present: HashMap<InstanceId, Target>,
    /// Ids in `present` that the latest list does not contain.
    missing: HashSet<InstanceId>,
    reachability: Reachability,
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

    /// Records that this daemon or another one read the list.
    pub fn mark_reachable(&mut self, now: Instant) {
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

    /// Applies a newly read list. Returns `true` if the set of targets changed, or a target in
    /// more than the fields that change with every report.
    pub fn update(&mut self, listed: &Targets, now: Instant) -> bool {
        self.mark_reachable(now);
        let unlisted = |id: &&InstanceId| listed.get(id).is_none();
        self.missing = self.present.keys().filter(unlisted).cloned().collect();
        let mut changed = self.expire(now);
        for target in listed.iter() {
            let known = self.present.insert(target.id.clone(), target.clone());
            changed |= known.is_none_or(|known| differs(&known, target));
        }
        changed
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
            self.present.remove(&id);
        }
        true
    }

    /// Iterates over all targets in use.
    pub fn iter(&self) -> impl Iterator<Item = &Target> {
        self.present.values()
    }

    /// Copies all targets in use.
    #[must_use]
    pub fn snapshot(&self) -> Targets {
        self.present.values().cloned().collect()
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
