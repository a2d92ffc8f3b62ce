//! Addresses of the daemons that accept calls from the client.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use model::{DataCentre, ServiceName};

use crate::instances::Instance;

/// Time for which an address is avoided after a failure.
const FAILED_ENTRY_BACKOFF: Duration = Duration::from_secs(2);

/// Address of a daemon that accepts calls.
#[derive(Clone, Debug)]
struct Entry {
    address: SocketAddr,
    /// Service and data centre, if the address is from the platform's list.
    location: Option<(ServiceName, DataCentre)>,
}

/// Entry addresses, and the times until which failed ones are avoided.
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

    /// Replaces the entries by a list from the platform. An empty list is
    /// ignored, so that the client keeps addresses to try.
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

    /// Avoids an address for [`FAILED_ENTRY_BACKOFF`].
    pub(crate) fn mark_failed(&mut self, address: SocketAddr, now: Instant) {
        self.failed.retain(|_, until| *until > now);
        self.failed.insert(address, now + FAILED_ENTRY_BACKOFF);
    }

    /// True if an address did not fail within [`FAILED_ENTRY_BACKOFF`].
    pub(crate) fn is_usable(&self, address: SocketAddr, now: Instant) -> bool {
        self.failed.get(&address).is_none_or(|until| *until <= now)
    }

    /// Picks a random address among the best ones: preferably without a recent
    /// failure, then of the called service, then in the preferred data centre.
    /// `random` is any random number.
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
                Some((entry_service, entry_data_centre)) => (
                    entry_service.as_str() == service,
                    Some(entry_data_centre) == data_centre,
                ),
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
