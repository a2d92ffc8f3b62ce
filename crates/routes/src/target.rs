//! Targets that registered themselves.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use model::{DataCentre, InstanceId, ServiceName};
use xxhash_rust::xxh3::xxh3_64;

/// What a target says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TargetState {
    /// Takes work.
    Ready,
    /// Takes no new work and ends soon.
    Draining,
}

/// One registered target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name of its present life, or of several where it starts again under its name.
    pub id: InstanceId,
    /// The service that it runs.
    pub service: ServiceName,
    /// Where it listens; its daemon runs at the same IP address.
    pub address: SocketAddr,
    /// Where it runs.
    pub data_centre: DataCentre,
    /// Requests that it runs at once.
    pub slots: u32,
    /// What it says of itself.
    pub state: TargetState,
    /// Time for which it stays slow after its start.
    pub warm_up_left: Duration,
    /// Unix millisecond of its start; 0 if it doesn't tell.
    pub started_ms: u64,
    /// Counter of its reports, starting anew with each start.
    pub report_count: u64,
    /// Place of its last report in the order of all that was published.
    pub revision: u64,
}

impl Target {
    /// Digest of all that doesn't change with each report.
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

/// The targets known at one moment, by id.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Targets {
    by_id: HashMap<InstanceId, Target>,
}

impl Targets {
    /// All targets of a service.
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

    /// True if no target is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// The target of a given id.
    #[must_use]
    pub fn get(&self, id: &InstanceId) -> Option<&Target> {
        self.by_id.get(id)
    }

    /// Digest of all that doesn't change with each report, in any order of targets.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let each = self.by_id.values().map(Target::digest);
        each.fold(1, u64::wrapping_add)
    }

    /// The target that listens at an address for a service.
    #[must_use]
    pub fn find_at(&self, address: SocketAddr, service: &ServiceName) -> Option<&Target> {
        let mut targets = self.by_id.values();
        targets.find(|target| target.address == address && target.service == *service)
    }
}

impl FromIterator<Target> for Targets {
    /// Of several at one address only the one that reported last is there: the others ended
    /// before, and their entries have not lapsed yet.
    fn from_iter<I: IntoIterator<Item = Target>>(targets: I) -> Self {
        let mut at: HashMap<SocketAddr, Target> = HashMap::new();
        for target in targets {
            match at.get(&target.address) {
                Some(other) if other.revision > target.revision => {}
                _ => {
                    at.insert(target.address, target);
                }
            }
        }
        let by_id = at.into_values().map(|target| (target.id.clone(), target));
        Targets {
            by_id: by_id.collect(),
        }
    }
}
