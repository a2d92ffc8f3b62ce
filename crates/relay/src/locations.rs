//! The other daemons, by the targets beside them.

use std::collections::HashMap;
use std::net::IpAddr;

use policy::{DaemonCounts, Location};
use routes::{Target, Targets};

/// The daemons that are known.
#[derive(Default)]
pub(crate) struct DaemonLocations {
    pub(crate) by_ip: HashMap<IpAddr, Location>,
    pub(crate) counts: DaemonCounts,
}

impl DaemonLocations {
    /// The daemons beside these targets.
    pub(crate) fn of(targets: &Targets) -> Self {
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
