//! The other daemons, by the targets beside them.

use std::collections::HashMap;
use std::net::IpAddr;

use policy::{Census, Place};
use routes::{Target, Targets};

/// The daemons that are known.
#[derive(Default)]
pub(crate) struct Neighbours {
    pub(crate) places: HashMap<IpAddr, Place>,
    pub(crate) census: Census,
}

impl Neighbours {
    /// The daemons beside these targets.
    pub(crate) fn of(targets: &Targets) -> Self {
        let places = targets
            .iter()
            .map(|target| (target.address.ip(), place(target)));
        let places: HashMap<IpAddr, Place> = places.collect();
        let census = places.values().cloned().collect();
        Neighbours { places, census }
    }
}

fn place(target: &Target) -> Place {
    Place {
        data_centre: target.data_centre.clone(),
        service: target.service.clone(),
    }
}
