//! Which of the targets that were ever listed are still there.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use model::InstanceId;

use crate::target::{Target, Targets};

/// Time after an outage of the list within which a target that lapsed meanwhile is listed
/// again, if it lives: the platform's word of about two seconds, and half a second for reading.
const RETURN_GRACE: Duration = Duration::from_millis(2_500);

/// The targets that are taken to be there.
///
/// A target that is no longer listed is gone, unless its entry may have lapsed while the list
/// was out of reachability: then it stays until the list has been back for a while.
#[derive(Debug, Default)]
pub struct ActiveTargets {
    present: HashMap<InstanceId, Target>,
    /// Those of them that are not listed.
    missing: HashSet<InstanceId>,
    reachability: Reachability,
}

/// Whether the list can be read.
#[derive(Clone, Copy, Debug, Default)]
enum Reachability {
    /// Never out of reachability, or long back.
    #[default]
    Stable,
    Unreachable,
    Recovering {
        since: Instant,
    },
}

impl ActiveTargets {
    /// Takes note that the list could not be read.
    pub fn mark_unreachable(&mut self) {
        self.reachability = Reachability::Unreachable;
    }

    /// Takes note that the list was read, by this daemon or another.
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

    /// Takes over a list; `true` if anything but the counters of reports changed.
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

    /// Removes targets that are missing for good; `true` if there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let steady = match self.reachability {
            Reachability::Stable => true,
            Reachability::Recovering { since } => {
                now.saturating_duration_since(since) >= RETURN_GRACE
            }
            Reachability::Unreachable => false,
        };
        if !steady || self.missing.is_empty() {
            return false;
        }
        for id in self.missing.drain() {
            self.present.remove(&id);
        }
        true
    }

    /// The targets that are taken to be there.
    pub fn iter(&self) -> impl Iterator<Item = &Target> {
        self.present.values()
    }

    /// All of them at once.
    #[must_use]
    pub fn snapshot(&self) -> Targets {
        self.present.values().cloned().collect()
    }
}

/// True if two reports of one target differ in more than what changes with each report.
fn differs(known: &Target, listed: &Target) -> bool {
    let steady = Target {
        report_count: known.report_count,
        revision: known.revision,
        warm_up_left: known.warm_up_left,
        ..listed.clone()
    };
    *known != steady
}
