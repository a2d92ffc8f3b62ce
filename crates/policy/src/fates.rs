//! Whether a send from another daemon has started to run here, for a sender that lost its answer.

use std::collections::{HashMap, VecDeque};
use std::time::Instant;

/// Maximum number of sends kept: those of a few seconds at the busiest target.
const MAX_SENDS: usize = 16_384;

/// Identifies one send of a request to one target; chosen at random by the sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SendKey(pub u64);

/// What is known of one send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    /// It was passed to the target.
    Started,
    /// Its sender was told that it will never run.
    Forbidden,
}

/// The recent sends that started to run, and those that must not start any more.
///
/// A send that is unknown has not started. Once its sender was told so, it is prevented from
/// starting later, for example when its bytes were still in transit.
#[derive(Debug, Default)]
pub struct Fates {
    /// The fate of each send, and until when it is needed.
    known: HashMap<SendKey, (Fate, Instant)>,
    /// All known sends with the end of their use, in order of insertion.
    insertions: VecDeque<(Instant, SendKey)>,
    /// Until this time, an unknown send may be one that was evicted while it was still needed.
    incomplete_until: Option<Instant>,
}

impl Fates {
    /// Records that a send is passed to the target; `false` if it must not be.
    ///
    /// The record is kept until the given time, after which no sender asks for it.
    pub fn begin(&mut self, send: SendKey, until: Instant, now: Instant) -> bool {
        self.record(send, Fate::Started, until, now) == Fate::Started
    }

    /// Prevents a send from starting until the given time; `false` if it has, or may have, started.
    pub fn forbid(&mut self, send: SendKey, until: Instant, now: Instant) -> bool {
        let is_incomplete = self.incomplete_until.is_some_and(|until| now < until);
        if is_incomplete && self.fate(send, now).is_none() {
            return false;
        }
        self.record(send, Fate::Forbidden, until, now) == Fate::Forbidden
    }

    /// Records that the target refused a send that was passed to it, so it has not run.
    pub fn refused(&mut self, send: SendKey) {
        if let Some((fate, _)) = self.known.get_mut(&send) {
            *fate = Fate::Forbidden;
        }
    }

    /// Records a fate unless the send has one, and returns the fate of the send.
    fn record(&mut self, send: SendKey, fate: Fate, until: Instant, now: Instant) -> Fate {
        if let Some(known) = self.fate(send, now) {
            return known;
        }
        self.evict(now);
        self.known.insert(send, (fate, until));
        self.insertions.push_back((until, send));
        fate
    }

    /// Returns the fate of a send if it is known and still needed.
    fn fate(&self, send: SendKey, now: Instant) -> Option<Fate> {
        let (fate, until) = self.known.get(&send)?;
        (*until > now).then_some(*fate)
    }

    /// Evicts records that are no longer needed, and the oldest ones if there are too many.
    fn evict(&mut self, now: Instant) {
        while let Some((until, send)) = self.insertions.front().copied() {
            if until > now {
                if self.insertions.len() < MAX_SENDS {
                    return;
                }
                self.incomplete_until = self.incomplete_until.max(Some(until));
            }
            self.insertions.pop_front();
            // The send may have been recorded again since.
            if self.known.get(&send).is_some_and(|(_, end)| *end == until) {
                self.known.remove(&send);
            }
        }
    }
}
