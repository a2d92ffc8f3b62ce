//! What is known about members beyond the instance list.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use model::InstanceId;
use wire::control::{Claim, Note};

use crate::instances::InstanceList;

/// Time that a suspect has for refuting.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(3);

/// Generation in an accusation of a member that the accuser has never heard from.
///
/// It means the latest generation that the receiver knows.
pub(crate) const UNKNOWN_GENERATION: u64 = 0;

/// Latest word about one member.
#[derive(Clone, Copy, Debug)]
struct MemberRecord {
    generation: u64,
    claim: Claim,
    since: Instant,
}

/// The latest word about each member that was ever heard of.
///
/// A later generation wins over an earlier one; within a generation the graver claim wins.
/// Only the member itself raises its generation.
#[derive(Debug, Default)]
pub(crate) struct Membership {
    records: HashMap<InstanceId, MemberRecord>,
}

impl Membership {
    /// Takes a note if it is newer than what is known. Returns true if the claim changes.
    pub(crate) fn update(
        &mut self,
        id: &InstanceId,
        generation: u64,
        claim: Claim,
        now: Instant,
    ) -> bool {
        let new = MemberRecord {
            generation,
            claim,
            since: now,
        };
        let Some(record) = self.records.get_mut(id) else {
            self.records.insert(id.clone(), new);
            return claim != Claim::Live;
        };
        if (generation, claim) <= (record.generation, record.claim) {
            return false;
        }
        let changed = claim != record.claim;
        *record = new;
        changed
    }

    /// Returns the generation that a note is about.
    pub(crate) fn resolve_generation(&self, id: &InstanceId, generation: u64) -> u64 {
        if generation != UNKNOWN_GENERATION {
            return generation;
        }
        let known = self.records.get(id).map(|record| record.generation);
        known.unwrap_or(UNKNOWN_GENERATION)
    }

    pub(crate) fn claim(&self, id: &InstanceId) -> Claim {
        self.records.get(id).map_or(Claim::Live, |r| r.claim)
    }

    /// Accuses a member under the generation last heard of.
    pub(crate) fn suspect(&mut self, id: &InstanceId, now: Instant) -> Option<Note> {
        let generation = self.resolve_generation(id, UNKNOWN_GENERATION);
        self.update(id, generation, Claim::Suspect, now)
            .then(|| note(id, generation, Claim::Suspect))
    }

    /// Declares those dead that stayed suspect for too long.
    pub(crate) fn expire_suspicions(&mut self, now: Instant) -> Vec<Note> {
        let mut dead = Vec::new();
        for (id, record) in &mut self.records {
            let over = now.duration_since(record.since) >= SUSPICION_TIMEOUT;
            if record.claim == Claim::Suspect && over {
                record.claim = Claim::Dead;
                record.since = now;
                dead.push(note(id, record.generation, Claim::Dead));
            }
        }
        dead.sort_by(|a, b| a.id.cmp(&b.id));
        dead
    }

    /// Starts the time of all suspects anew, after a time in which nothing could be heard.
    pub(crate) fn reset_suspicions(&mut self, now: Instant) {
        for record in self.records.values_mut() {
            record.since = now;
        }
    }

    /// Returns the word about one member, if it isn't simply live.
    pub(crate) fn non_live_note(&self, id: &InstanceId) -> Option<Note> {
        let record = self.records.get(id)?;
        (record.claim != Claim::Live).then(|| note(id, record.generation, record.claim))
    }

    /// Returns up to `limit` exceptions, beginning after a place that varies with `turn`.
    pub(crate) fn non_live_notes(&self, limit: usize, turn: usize) -> Vec<Note> {
        let mut notes: Vec<Note> = self
            .records
            .keys()
            .filter_map(|id| self.non_live_note(id))
            .collect();
        notes.sort_by(|a, b| a.id.cmp(&b.id));
        if !notes.is_empty() {
            let at = turn.wrapping_mul(limit) % notes.len();
            notes.rotate_left(at);
        }
        notes.truncate(limit);
        notes
    }

    /// Forgets members that are no longer listed.
    pub(crate) fn retain_listed(&mut self, list: &InstanceList) {
        self.records.retain(|id, _| list.get(id).is_some());
    }
}

pub(crate) fn note(id: &InstanceId, generation: u64, claim: Claim) -> Note {
    Note {
        id: id.as_str().to_owned(),
        generation,
        claim: claim.into(),
    }
}
