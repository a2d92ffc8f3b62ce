//! Registered targets.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use model::{DataCentre, InstanceId, ServiceName};
use xxhash_rust::xxh3::xxh3_64;

/// State that a target reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TargetState {
    /// Accepts requests.
    Ready,
    /// Accepts no new requests and stops soon.
    Draining,
}

/// A registered target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Id of the target. It may be the same after a restart.
    pub id: InstanceId,
    /// Service that the target belongs to.
    pub service: ServiceName,
    /// Address on which the target listens; its daemon has the same IP address.
    pub address: SocketAddr,
    /// Data centre in which the target runs.
    pub data_centre: DataCentre,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// State that the target last reported.
    pub state: TargetState,
    /// Time until the target reaches its normal speed after a start.
    pub warm_up_left: Duration,
    /// Start time in Unix milliseconds; 0 if the target does not report it.
    pub started_ms: u64,
    /// Number of reports since the start.
    pub report_count: u64,
    /// Revision of the platform at which the last report was published.
    pub revision: u64,
}

impl Target {
    /// Digest of the fields that stay the same from report to report.
    fn digest(&self) -> u64 {
        let state = match self.state {
            TargetState::Ready => 'r',
            TargetState::Draining => 'd',
        };
        let text = format!(
            "{} {} {} {} {} {state} {}",
            self.id, self.service, self.address, self.data_centre, self.slots, self.started_ms
        );
        xxh3_64(text.as_bytes())
    }
}

/// A target list, indexed by id.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Targets {
    by_id: HashMap<InstanceId, Target>,
}

impl Targets {
    /// Targets of a service.
    pub fn for_service<'a>(&'a self, service: &'a ServiceName) -> impl Iterator<Item = &'a Target> {
        let targets = self.by_id.values();
        targets.filter(move |target| target.service == *service)
    }

    /// All targets.
    pub fn iter(&self) -> impl Iterator<Item = &Target> {
        self.by_id.values()
    }

    /// Number of targets.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// True if the list is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// The target with a given id.
    #[must_use]
    pub fn get(&self, id: &InstanceId) -> Option<&Target> {
        self.by_id.get(id)
    }

    /// Digest of the fields that stay the same from report to report, of all entries. It doesn't
    /// depend on the order of the targets.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let each = self.by_id.values().map(Target::digest);
        each.fold(1, u64::wrapping_add)
    }

    /// The targets of the services for which `is_service` holds. Of several with one address, only
    /// the one that reported last is kept: the others have stopped, and their entries have not
    /// expired yet. An entry of an unknown service is none of a target, so it hides no other.
    #[must_use]
    pub fn in_use(&self, is_service: impl Fn(&ServiceName) -> bool) -> Targets {
        let mut at = HashMap::new();
        for target in self.by_id.values() {
            if is_service(&target.service) {
                let last = at.entry(target.address).or_insert(target);
                if target.revision > last.revision {
                    *last = target;
                }
            }
        }
        at.into_values().cloned().collect()
    }

    /// The target of a service that listens on an address.
    #[must_use]
    pub fn find_at(&self, address: SocketAddr, service: &ServiceName) -> Option<&Target> {
        let mut targets = self.by_id.values();
        targets.find(|target| target.address == address && target.service == *service)
    }
}

impl FromIterator<Target> for Targets {
    fn from_iter<I: IntoIterator<Item = Target>>(targets: I) -> Self {
        let by_id = targets
            .into_iter()
            .map(|target| (target.id.clone(), target));
        Targets {
            by_id: by_id.collect(),
        }
    }
}
