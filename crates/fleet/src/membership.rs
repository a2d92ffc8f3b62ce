//! Claims about the state of members: live, suspect, leaving or dead.
//!
//! The protocol follows SWIM: a member that fails its probes becomes suspect, and dead
//! unless it refutes within [`SUSPICION_TIMEOUT`] by raising its generation.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use model::InstanceId;
use wire::control::{Claim, Note};

use crate::instances::InstanceList;

/// Time within which a suspect must refute the suspicion before it is declared dead.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(3);

/// Generation in a note about a member whose generation the sender doesn't know.
///
/// The receiver substitutes the latest generation that it knows.
pub(crate) const UNKNOWN_GENERATION: u64 = 0;

/// Latest claim about one member.
#[derive(Clone, Copy, Debug)]
struct MemberRecord {
    generation: u64,
    claim: Claim,
    since: Instant,
}

/// The latest claim about each listed member that has been heard of.
///
/// A higher generation supersedes a lower one; within a generation the more severe claim
/// wins, in the order of [`Claim`]. Only the member itself raises its generation.
#[derive(Debug, Default)]
pub(crate) struct Membership {
    records: HashMap<InstanceId, MemberRecord>,
}

impl Membership {
    /// Records a claim if it supersedes the known one. Returns true if the claim changes.
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

    /// Replaces [`UNKNOWN_GENERATION`] by the latest known generation of the member.
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

    /// Marks a member as suspect under its latest known generation. Returns the note to
    /// spread if the claim changes.
    pub(crate) fn suspect(&mut self, id: &InstanceId, now: Instant) -> Option<Note> {
        let generation = self.resolve_generation(id, UNKNOWN_GENERATION);
        self.update(id, generation, Claim::Suspect, now)
            .then(|| note(id, generation, Claim::Suspect))
    }

    /// Declares members dead that have been suspect for [`SUSPICION_TIMEOUT`].
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

    /// Restarts all suspicion timers, after a time in which no refutation could arrive.
    pub(crate) fn reset_suspicions(&mut self, now: Instant) {
        for record in self.records.values_mut() {
            record.since = now;
        }
    }

    /// Returns a note about a member whose claim is not `Live`.
    pub(crate) fn non_live_note(&self, id: &InstanceId) -> Option<Note> {
        let record = self.records.get(id)?;
        (record.claim != Claim::Live).then(|| note(id, record.generation, record.claim))
    }

    /// Returns up to `limit` notes about members that are not live, starting at an offset
    /// that depends on `turn`.
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

    /// Drops members that are no longer listed.
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
