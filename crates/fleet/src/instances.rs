//! The platform's instance list and patches between two versions of it.

use std::collections::HashSet;
use std::net::SocketAddr;

use model::{DataCentre, InstanceId, Region, ServiceName};
use serde::{Deserialize, Serialize};
use wire::control::Kind;
use xxhash_rust::xxh3::xxh3_64;

use crate::replica::Codec;
use crate::stamp::Stamp;

/// One entry of the instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Identifier of the instance.
    pub id: InstanceId,
    /// Service that its target runs.
    pub service: ServiceName,
    /// Data centre that it runs in.
    pub data_centre: DataCentre,
    /// Region of that data centre.
    pub region: Region,
    /// Advertised address for callers.
    pub callers: SocketAddr,
    /// Advertised address for calls between daemons.
    pub mesh: SocketAddr,
    /// Advertised address for control messages.
    pub control: SocketAddr,
    /// State that the platform reports.
    pub state: ListedState,
}

/// State of an instance as reported by the platform, which lags behind the actual state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// In service.
    Live,
    /// Stopping.
    Leaving,
}

/// One version of the instance list, sorted by identifier.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// Version given by the platform.
    pub version: u64,
    /// The listed instances.
    pub instances: Vec<Instance>,
}

impl InstanceList {
    /// Looks up an instance by its identifier.
    #[must_use]
    pub fn get(&self, id: &InstanceId) -> Option<&Instance> {
        let at = self.instances.binary_search_by(|i| i.id.cmp(id)).ok()?;
        self.instances.get(at)
    }

    /// Sorts the instances by identifier; fails if one is listed twice.
    fn sort_unique(&mut self) -> Result<(), String> {
        self.instances.sort_by(|a, b| a.id.cmp(&b.id));
        let duplicate = self
            .instances
            .windows(2)
            .find(|pair| pair[0].id == pair[1].id);
        match duplicate {
            Some(pair) => Err(format!("instance {} is listed twice", pair[0].id)),
            None => Ok(()),
        }
    }
}

/// An instance list with its digest, computed once.
#[derive(Clone, Debug)]
pub(crate) struct HeldInstances {
    pub(crate) list: InstanceList,
    digest: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct InstancesPatch {
    version: u64,
    changed: Vec<Instance>,
    removed: Vec<InstanceId>,
}

/// Returns the codec for instance lists.
pub(crate) fn codec() -> Codec<HeldInstances> {
    Codec {
        kind: Kind::Instances,
        decode: |bytes| {
            let list = serde_json::from_slice(bytes).map_err(|e| e.to_string())?;
            prepare(list)
        },
        encode: |held| encode(&held.list),
        stamp: |held| Stamp {
            revision: held.list.version,
            digest: held.digest,
        },
        diff: |old, new| serde_json::to_vec(&diff(&old.list, &new.list)).unwrap_or_default(),
        apply: |held, bytes| {
            let patch = serde_json::from_slice(bytes).map_err(|e| e.to_string())?;
            prepare(apply(&held.list, patch))
        },
    }
}

fn encode(list: &InstanceList) -> Vec<u8> {
    serde_json::to_vec(list).unwrap_or_default()
}

fn prepare(mut list: InstanceList) -> Result<HeldInstances, String> {
    list.sort_unique()?;
    let digest = xxh3_64(&encode(&list));
    Ok(HeldInstances { list, digest })
}

fn diff(old: &InstanceList, new: &InstanceList) -> InstancesPatch {
    InstancesPatch {
        version: new.version,
        changed: new
            .instances
            .iter()
            .filter(|instance| old.get(&instance.id) != Some(instance))
            .cloned()
            .collect(),
        removed: old
            .instances
            .iter()
            .filter(|instance| new.get(&instance.id).is_none())
            .map(|instance| instance.id.clone())
            .collect(),
    }
}

fn apply(old: &InstanceList, patch: InstancesPatch) -> InstanceList {
    let changed = patch.changed.iter().map(|instance| &instance.id);
    let replaced: HashSet<&InstanceId> = patch.removed.iter().chain(changed).collect();
    let mut instances: Vec<Instance> = old
        .instances
        .iter()
        .filter(|instance| !replaced.contains(&instance.id))
        .cloned()
        .collect();
    instances.extend(patch.changed);
    InstanceList {
        version: patch.version,
        instances,
    }
}
