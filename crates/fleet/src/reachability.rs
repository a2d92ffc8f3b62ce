//! Which data centres there is word from.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use model::DataCentre;
use wire::control::Reach;

/// Silence after which a data centre counts as cut off.
pub const UNREACHABLE_AFTER: Duration = Duration::from_secs(10);

/// When each other data centre was last heard, directly or through others.
#[derive(Debug, Default)]
pub(crate) struct Reachability {
    last_contact: BTreeMap<DataCentre, Instant>,
    unreachable: BTreeMap<DataCentre, bool>,
}

impl Reachability {
    /// Starts counting the silence of a data centre that is seen for the first time.
    pub(crate) fn track(&mut self, data_centre: &DataCentre, now: Instant) {
        if !self.last_contact.contains_key(data_centre) {
            self.last_contact.insert(data_centre.clone(), now);
        }
    }

    /// Notes a word from a data centre that was heard at `at`.
    pub(crate) fn record_contact(&mut self, data_centre: &DataCentre, at: Instant) {
        if let Some(last) = self.last_contact.get_mut(data_centre) {
            *last = at.max(*last);
        }
    }

    /// Takes over what a daemon of the own data centre knows.
    pub(crate) fn merge(&mut self, reach: &[Reach], now: Instant) {
        for entry in reach {
            let age = Duration::from_millis(entry.age_ms.into());
            if let Some(at) = now.checked_sub(age) {
                self.record_contact(&entry.data_centre.as_str().into(), at);
            }
        }
    }

    /// Returns what is told to daemons of the own data centre.
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

    /// Works out which data centres are cut off. Returns true if that changes.
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

    /// Starts all silences anew, after a time in which nothing could be heard.
    pub(crate) fn reset(&mut self, now: Instant) {
        for at in self.last_contact.values_mut() {
            *at = now;
        }
    }

    /// Forgets data centres without listed instances.
    pub(crate) fn retain(&mut self, keep: impl Fn(&DataCentre) -> bool) {
        self.last_contact.retain(|data_centre, _| keep(data_centre));
    }
}
