//! Whether a send from another daemon has begun to run here, for the one who lost its answer.

use std::collections::{HashMap, VecDeque};
use std::time::Instant;

/// Sends that are remembered at most: those of some seconds at the busiest target.
const MAX_REMEMBERED: usize = 16_384;

/// Identifies one send of a request to one target, drawn at random by the sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SendKey(pub u64);

/// What is known of one send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    /// It was handed to the target.
    Begun,
    /// Its sender was told that it never runs.
    Forbidden,
}

/// The sends of the last seconds that began to run, and those that must not any more.
///
/// A send that is unknown has not begun. Once that was said, it is kept from beginning later,
/// such as when its bytes are still on their way.
#[derive(Debug, Default)]
pub struct Fates {
    /// With the end of their use.
    known: HashMap<SendKey, (Fate, Instant)>,
    /// All known ones in the order in which they were noted.
    ends: VecDeque<(Instant, SendKey)>,
    /// Until then a send that is unknown may be one that had to be forgotten too early.
    unsure_until: Option<Instant>,
}

impl Fates {
    /// Takes note that a send is handed to the target; `false` if it must not be.
    ///
    /// It is remembered until the given time, after which nobody asks for it.
    pub fn begin(&mut self, send: SendKey, until: Instant, now: Instant) -> bool {
        self.note(send, Fate::Begun, until, now) == Fate::Begun
    }

    /// Keeps a send from beginning until the given time; `false` if it has begun, or may have.
    pub fn forbid(&mut self, send: SendKey, until: Instant, now: Instant) -> bool {
        let unsure = self.unsure_until.is_some_and(|unsure| now < unsure);
        if unsure && self.fate(send, now).is_none() {
            return false;
        }
        self.note(send, Fate::Forbidden, until, now) == Fate::Forbidden
    }

    /// Takes note that the target refused a send that was handed to it: it has not run.
    pub fn refused(&mut self, send: SendKey) {
        if let Some((fate, _)) = self.known.get_mut(&send) {
            *fate = Fate::Forbidden;
        }
    }

    /// Notes a fate unless there is one, and returns the one that holds.
    fn note(&mut self, send: SendKey, fate: Fate, until: Instant, now: Instant) -> Fate {
        if let Some(known) = self.fate(send, now) {
            return known;
        }
        self.forget(now);
        self.known.insert(send, (fate, until));
        self.ends.push_back((until, send));
        fate
    }

    /// What is known of a send and still of use.
    fn fate(&self, send: SendKey, now: Instant) -> Option<Fate> {
        let (fate, until) = self.known.get(&send)?;
        (*until > now).then_some(*fate)
    }

    /// Forgets what has ended, and the oldest ones where there are too many.
    fn forget(&mut self, now: Instant) {
        while let Some((until, send)) = self.ends.front().copied() {
            if until > now {
                if self.ends.len() < MAX_REMEMBERED {
                    return;
                }
                self.unsure_until = self.unsure_until.max(Some(until));
            }
            self.ends.pop_front();
            // It may have been noted again since.
            if self.known.get(&send).is_some_and(|(_, end)| *end == until) {
                self.known.remove(&send);
            }
        }
    }
}
