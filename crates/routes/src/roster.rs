//! Which of the targets that were ever listed are still there.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use model::InstanceId;

use crate::target::{Target, Targets};

/// Time after an outage of the list within which a target that lapsed meanwhile is listed
/// again, if it lives: the platform's word of about two seconds, and half a second for reading.
const RETURN_GRACE: Duration = Duration::from_millis(2_500);

/// The targets that are taken to be there.
///
/// A target that is no longer listed is gone, unless its entry may have lapsed while the list
/// was out of reach: then it stays until the list has been back for a while.
#[derive(Debug, Default)]
pub struct Roster {
    present: HashMap<InstanceId, Target>,
    reach: Reach,
}

/// Whether the list can be read.
#[derive(Clone, Copy, Debug, Default)]
enum Reach {
    /// Never out of reach, or long back.
    #[default]
    Steady,
    Lost,
    Back {
        since: Instant,
    },
}

impl Roster {
    /// Takes note that the list could not be read.
    pub fn lost(&mut self) {
        self.reach = Reach::Lost;
    }

    /// Takes over a list; `true` if anything but the counters of reports changed.
    pub fn update(&mut self, listed: &Targets, now: Instant) -> bool {
        if matches!(self.reach, Reach::Lost) {
            self.reach = Reach::Back { since: now };
        }
        if let Reach::Back { since } = self.reach
            && now.saturating_duration_since(since) >= RETURN_GRACE
        {
            self.reach = Reach::Steady;
        }
        let keeps_missing = !matches!(self.reach, Reach::Steady);
        let before = self.present.len();
        self.present
            .retain(|id, _| keeps_missing || listed.get(id).is_some());
        let mut changed = self.present.len() != before;
        for target in listed.iter() {
            let known = self.present.insert(target.id.clone(), target.clone());
            changed |= known.is_none_or(|known| differs(&known, target));
        }
        changed
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
        report: known.report,
        cold: known.cold,
        ..listed.clone()
    };
    *known != steady
}
