//! Which other data centres have been heard from recently.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use model::DataCentre;
use wire::control::Reach;

/// Time without any message from a data centre after which it counts as unreachable.
pub const UNREACHABLE_AFTER: Duration = Duration::from_secs(10);

/// Time of the last contact with each other data centre, direct or reported by a daemon of
/// the own data centre.
#[derive(Debug, Default)]
pub(crate) struct Reachability {
    last_contact: BTreeMap<DataCentre, Instant>,
    unreachable: BTreeMap<DataCentre, bool>,
}

impl Reachability {
    /// Tracks a data centre from now on, unless it is tracked already.
    pub(crate) fn track(&mut self, data_centre: &DataCentre, now: Instant) {
        if !self.last_contact.contains_key(data_centre) {
            self.last_contact.insert(data_centre.clone(), now);
        }
    }

    /// Records a message from a tracked data centre that was received at `at`.
    pub(crate) fn record_contact(&mut self, data_centre: &DataCentre, at: Instant) {
        if let Some(last) = self.last_contact.get_mut(data_centre) {
            *last = at.max(*last);
        }
    }

    /// Merges the contacts reported by a daemon of the own data centre.
    pub(crate) fn merge(&mut self, reach: &[Reach], now: Instant) {
        for entry in reach {
            let age = Duration::from_millis(entry.age_ms.into());
            if let Some(at) = now.checked_sub(age) {
                self.record_contact(&entry.data_centre.as_str().into(), at);
            }
        }
    }

    /// Returns the age of each contact, to be sent to daemons of the own data centre.
    pub(crate) fn report(&self, now: Instant) -> Vec<Reach> {
        self.last_contact
            .iter()
            .map(|(data_centre, at)| Reach {
                data_centre: data_centre.as_str().to_owned(),
                age_ms: u32::try_from(now.duration_since(*at).as_millis()).unwrap_or(u32::MAX),
            })
            .collect()
    }

    pub(crate) fn is_unreachable(&self, data_centre: &DataCentre) -> bool {
        self.unreachable.get(data_centre).copied().unwrap_or(false)
    }

    /// Recomputes which data centres are unreachable. Returns true if that changes.
    pub(crate) fn update(&mut self, now: Instant) -> bool {
        let unreachable: BTreeMap<DataCentre, bool> = self
            .last_contact
            .iter()
            .map(|(dc, at)| (dc.clone(), now.duration_since(*at) > UNREACHABLE_AFTER))
            .collect();
        let changed = unreachable != self.unreachable;
        self.unreachable = unreachable;
        changed
    }

    /// Restarts all timers, after a time in which no message could be received.
    pub(crate) fn reset(&mut self, now: Instant) {
        for at in self.last_contact.values_mut() {
            *at = now;
        }
    }

    /// Drops data centres for which `keep` returns false.
    pub(crate) fn retain(&mut self, keep: impl Fn(&DataCentre) -> bool) {
        self.last_contact.retain(|data_centre, _| keep(data_centre));
    }
}
