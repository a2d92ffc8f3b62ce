//! Locations of the daemons, derived from the targets beside them.

use std::collections::HashMap;
use std::net::IpAddr;

use policy::{DaemonCounts, Location};
use routes::{Target, Targets};

/// Locations of all daemons beside the targets in use.
#[derive(Default)]
pub(crate) struct DaemonLocations {
    /// Location of each daemon, by its IP address.
    pub(crate) by_ip: HashMap<IpAddr, Location>,
    /// Number of daemons per location.
    pub(crate) counts: DaemonCounts,
}

impl DaemonLocations {
    /// Derives the locations of the daemons beside the given targets.
    pub(crate) fn from_targets(targets: &Targets) -> Self {
        let by_ip = targets
            .iter()
            .map(|target| (target.address.ip(), location(target)));
        let by_ip: HashMap<IpAddr, Location> = by_ip.collect();
        let counts = by_ip.values().cloned().collect();
        DaemonLocations { by_ip, counts }
    }
}

fn location(target: &Target) -> Location {
    Location {
        data_centre: target.data_centre.clone(),
        service: target.service.clone(),
    }
}
