//! The other daemons, by the targets beside them.

use std::collections::HashMap;
use std::net::IpAddr;

use policy::{DaemonCounts, Location};
use routes::{Target, Targets};

/// The daemons that are known.
#[derive(Default)]
pub(crate) struct Neighbours {
    pub(crate) places: HashMap<IpAddr, Location>,
    pub(crate) census: DaemonCounts,
}

impl Neighbours {
    /// The daemons beside these targets.
    pub(crate) fn of(targets: &Targets) -> Self {
        let places = targets
            .iter()
            .map(|target| (target.address.ip(), place(target)));
        let places: HashMap<IpAddr, Location> = places.collect();
        let census = places.values().cloned().collect();
        Neighbours { places, census }
    }
}

fn place(target: &Target) -> Location {
    Location {
        data_centre: target.data_centre.clone(),
        service: target.service.clone(),
    }
}
