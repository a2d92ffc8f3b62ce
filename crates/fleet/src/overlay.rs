//! The overlay network: which daemons exchange control messages.
//!
//! The daemons of a data centre form four hash rings, each ordered by a different hash of the
//! identifier. A daemon probes its successors and is probed by its predecessors, so that both
//! loads are balanced whatever the identifiers are. It also picks one neighbour in each
//! other data centre.

use model::{DataCentre, InstanceId};
use wire::control::Claim;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::instances::{Instance, InstanceList};

/// Number of hash rings per data centre.
const RINGS: u64 = 4;

/// Hash seed for the neighbours in other data centres, distinct from the seeds of the rings.
const CROSS_SEED: u64 = 1 << 32;

/// The daemons that this one exchanges control messages with.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Neighbours {
    /// Daemons of the own data centre that this one probes.
    pub successors: Vec<InstanceId>,
    /// Daemons of the own data centre that probe this one.
    pub predecessors: Vec<InstanceId>,
    /// One daemon in each other data centre.
    pub cross: Vec<(DataCentre, InstanceId)>,
}

impl Neighbours {
    /// Chooses the neighbours of `own` among the listed instances that aren't claimed dead.
    ///
    /// A suspect stays a neighbour, so that it learns of the suspicion and can refute it; the
    /// next daemon of the ring that isn't suspect is added.
    #[must_use]
    pub fn choose(
        own: &InstanceId,
        data_centre: &DataCentre,
        list: &InstanceList,
        claim: impl Fn(&Instance) -> Claim,
    ) -> Self {
        let others: Vec<&Instance> = list
            .instances
            .iter()
            .filter(|instance| instance.id != *own && claim(instance) != Claim::Dead)
            .collect();
        let local: Vec<(&InstanceId, bool)> = others
            .iter()
            .filter(|instance| instance.data_centre == *data_centre)
            .map(|instance| (&instance.id, claim(instance) == Claim::Suspect))
            .collect();
        let mut neighbours = Neighbours {
            cross: cross(own, data_centre, &others),
            ..Neighbours::default()
        };
        for ring in 0..RINGS {
            let at = position(ring, own);
            // Distances wrap around, so the last daemon of a ring precedes the first one.
            let next = |id: &InstanceId| position(ring, id).wrapping_sub(at);
            let previous = |id: &InstanceId| at.wrapping_sub(position(ring, id));
            push_nearest(&mut neighbours.successors, &local, next);
            push_nearest(&mut neighbours.predecessors, &local, previous);
        }
        neighbours
    }

    /// Iterates over the distinct neighbours in the own data centre.
    pub fn local(&self) -> impl Iterator<Item = &InstanceId> {
        let only_before = |id: &&InstanceId| !self.successors.contains(id);
        self.successors
            .iter()
            .chain(self.predecessors.iter().filter(only_before))
    }
}

fn position(ring: u64, id: &InstanceId) -> u64 {
    xxh3_64_with_seed(id.as_str().as_bytes(), ring)
}

/// Adds the nearest daemon, and also the nearest one that isn't suspect.
fn push_nearest(
    ids: &mut Vec<InstanceId>,
    local: &[(&InstanceId, bool)],
    distance: impl Fn(&InstanceId) -> u64,
) {
    let nearest = local.iter().min_by_key(|(id, _)| distance(id));
    let live = local.iter().filter(|(_, suspect)| !suspect);
    let nearest_live = live.min_by_key(|(id, _)| distance(id));
    for (id, _) in nearest.into_iter().chain(nearest_live) {
        if !ids.contains(id) {
            ids.push((*id).clone());
        }
    }
}

fn cross(
    own: &InstanceId,
    data_centre: &DataCentre,
    others: &[&Instance],
) -> Vec<(DataCentre, InstanceId)> {
    let own_hash = position(CROSS_SEED, own);
    let mut best: Vec<(&DataCentre, u64, &InstanceId)> = Vec::new();
    for instance in others.iter().filter(|i| i.data_centre != *data_centre) {
        let rank = xxh3_64_with_seed(instance.id.as_str().as_bytes(), own_hash);
        match best
            .iter_mut()
            .find(|(dc, ..)| **dc == instance.data_centre)
        {
            Some(found) if found.1 <= rank => {}
            Some(found) => *found = (&instance.data_centre, rank, &instance.id),
            None => best.push((&instance.data_centre, rank, &instance.id)),
        }
    }
    best.into_iter()
        .map(|(dc, _, id)| (dc.clone(), id.clone()))
        .collect()
}
