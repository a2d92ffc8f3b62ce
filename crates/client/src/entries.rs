//! The daemons at which a call may enter the fleet.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use model::{DataCentre, ServiceName};

use crate::instances::Instance;

/// Time for which an address that failed is avoided.
const FAILED_ENTRY_BACKOFF: Duration = Duration::from_secs(2);

/// One address at which calls may enter.
#[derive(Clone, Debug)]
struct Entry {
    address: SocketAddr,
    /// Service and data centre, if the platform listed it.
    location: Option<(ServiceName, DataCentre)>,
}

/// Addresses at which calls may enter, and those that failed of late.
#[derive(Debug, Default)]
pub(crate) struct Entries {
    entries: Vec<Entry>,
    failed: HashMap<SocketAddr, Instant>,
}

impl Entries {
    pub(crate) fn from_addresses(addresses: impl IntoIterator<Item = SocketAddr>) -> Self {
        let entry = |address| Entry {
            address,
            location: None,
        };
        Entries {
            entries: addresses.into_iter().map(entry).collect(),
            failed: HashMap::new(),
        }
    }

    /// Takes up a new list; an empty one is no reason to drop the old one.
    pub(crate) fn update(&mut self, instances: Vec<Instance>) {
        if instances.is_empty() {
            return;
        }
        let entry = |instance: Instance| Entry {
            address: instance.callers,
            location: Some((instance.service, instance.data_centre)),
        };
        self.entries = instances.into_iter().map(entry).collect();
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Avoids an address for a while.
    pub(crate) fn mark_failed(&mut self, address: SocketAddr, now: Instant) {
        self.failed.retain(|_, until| *until > now);
        self.failed.insert(address, now + FAILED_ENTRY_BACKOFF);
    }

    /// True if an address has not failed of late.
    pub(crate) fn is_usable(&self, address: SocketAddr, now: Instant) -> bool {
        self.failed.get(&address).is_none_or(|until| *until <= now)
    }

    /// Picks an address: not failed of late, of the service itself, and in the
    /// own data centre, as far as there are such; `random` is any random number.
    pub(crate) fn pick(
        &self,
        service: &str,
        data_centre: Option<&DataCentre>,
        random: usize,
        now: Instant,
    ) -> Option<SocketAddr> {
        let rank = |entry: &Entry| {
            let (same_service, same_data_centre) = match &entry.location {
                None => (false, false),
                Some((name, location)) => (name.as_str() == service, Some(location) == data_centre),
            };
            (
                self.is_usable(entry.address, now),
                same_service,
                same_data_centre,
            )
        };
        let best = self.entries.iter().map(rank).max()?;
        let candidates: Vec<&Entry> = self.entries.iter().filter(|e| rank(e) == best).collect();
        candidates
            .get(random % candidates.len())
            .map(|entry| entry.address)
    }
}
