//! Entries for the tickets that a window tracks individually.

use std::sync::Arc;
use std::time::Instant;

use slotmap::{SlotMap, new_key_type};

use crate::answer::CachedAnswer;
use crate::hash::{KeyHash, OperationHash};
use crate::intrusive_list::Links;
use crate::redeem::RedeemDecision;

new_key_type! {
    /// Key of an entry in the arena.
    pub(crate) struct EntryKey;
}

/// Arena of the entries of one window.
pub(crate) type Entries = SlotMap<EntryKey, Entry>;

/// Operation and idempotency key that a ticket is for.
pub(crate) type CallId = (OperationHash, KeyHash);

/// A ticket that is open, running or finished.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) sequence: u64,
    pub(crate) call: CallId,
    pub(crate) state: State,
    /// When an open ticket expires, or when a finished call ended.
    pub(crate) expires_or_ended_at: Instant,
    pub(crate) links: Links,
}

/// State of a ticket with an entry. A closed ticket has none.
#[derive(Debug)]
pub(crate) enum State {
    Open,
    Running { started: bool },
    Cached(Arc<CachedAnswer>),
    Gone,
}

impl State {
    /// Returns the decision about a duplicate of the call, or `None` while the ticket is open.
    pub(crate) fn duplicate_decision(&self) -> Option<RedeemDecision> {
        match self {
            State::Open => None,
            State::Running { .. } => Some(RedeemDecision::Running),
            State::Cached(cached) => Some(RedeemDecision::Cached(Arc::clone(cached))),
            State::Gone => Some(RedeemDecision::AnswerGone),
        }
    }
}
