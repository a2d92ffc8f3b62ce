//! Tickets held for calls to come and for calls of open fate.

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;

use smol_str::SmolStr;

use crate::call::Call;
use crate::error::Error;

/// What a ticket is for: service, operation and idempotency key.
type TicketKey = (SmolStr, SmolStr, SmolStr);

/// A ticket and where it came from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct HeldTicket {
    pub(crate) text: SmolStr,
    /// The daemon that handed it out, which is asked first.
    pub(crate) entry: Option<SocketAddr>,
    /// A send of it may have run, and no answer has settled that.
    pub(crate) unresolved: bool,
    /// Sends of it of which bytes may have left.
    pub(crate) sends: u16,
}

/// A bounded store. Tickets of open fate are never given up for others.
///
/// Giving up a ticket costs its caller a round trip, not its safety: a ticket
/// that is not open has no send that may still run.
#[derive(Debug)]
pub(crate) struct TicketStore {
    max: usize,
    held: HashMap<TicketKey, HeldTicket>,
    insertion_order: VecDeque<TicketKey>,
    /// Intents with a call on its way.
    in_progress: HashSet<TicketKey>,
}

impl TicketStore {
    pub(crate) fn new(max: usize) -> Self {
        TicketStore {
            max: max.max(1),
            held: HashMap::new(),
            insertion_order: VecDeque::new(),
            in_progress: HashSet::new(),
        }
    }

    /// Starts a call, unless one with the same key is on its way: two that
    /// disagreed about the ticket in use could run it twice.
    pub(crate) fn begin(&mut self, call: &Call) -> Result<(), Error> {
        match ticket_key(call) {
            Some(ticket_key) if !self.in_progress.insert(ticket_key.clone()) => {
                Err(Error::already_in_progress(&ticket_key.2))
            }
            _ => Ok(()),
        }
    }

    /// Ends a call that was started.
    pub(crate) fn end(&mut self, call: &Call) {
        if let Some(ticket_key) = ticket_key(call) {
            self.in_progress.remove(&ticket_key);
        }
    }

    pub(crate) fn get(&self, call: &Call) -> Option<&HeldTicket> {
        self.held.get(&ticket_key(call)?)
    }

    /// Holds a ticket for a call that has none, giving up the oldest settled
    /// one of another call if need be.
    pub(crate) fn hold(&mut self, call: &Call, held: HeldTicket) -> Result<(), Error> {
        let Some(ticket_key) = ticket_key(call) else {
            return Ok(());
        };
        if self.held.contains_key(&ticket_key) {
            return Ok(());
        }
        if self.held.len() >= self.max {
            self.evict_one()?;
        }
        self.insertion_order.push_back(ticket_key.clone());
        self.held.insert(ticket_key, held);
        Ok(())
    }

    /// Notes whether the fate of a held ticket is open.
    pub(crate) fn set_unresolved(&mut self, call: &Call, unresolved: bool) {
        if let Some(held) = ticket_key(call).and_then(|ticket_key| self.held.get_mut(&ticket_key)) {
            held.unresolved = unresolved;
        }
    }

    /// Notes that a send of a held ticket begins: its fate is open until the
    /// send's reply is read, also if the caller drops the call half-way.
    pub(crate) fn record_send(&mut self, call: &Call) {
        if let Some(held) = ticket_key(call).and_then(|ticket_key| self.held.get_mut(&ticket_key)) {
            held.unresolved = true;
            held.sends = held.sends.saturating_add(1);
        }
    }

    /// Takes a send back of which no byte left.
    pub(crate) fn undo_send(&mut self, call: &Call) {
        if let Some(held) = ticket_key(call).and_then(|ticket_key| self.held.get_mut(&ticket_key)) {
            held.sends = held.sends.saturating_sub(1);
        }
    }

    /// Drops a ticket that certainly never ran.
    pub(crate) fn discard_ticket(&mut self, call: &Call) {
        if let Some(ticket_key) = ticket_key(call) {
            self.held.remove(&ticket_key);
            self.insertion_order.retain(|held| *held != ticket_key);
        }
    }

    fn evict_one(&mut self) -> Result<(), Error> {
        let idle = |ticket_key: &TicketKey| {
            !self.in_progress.contains(ticket_key)
                && self
                    .held
                    .get(ticket_key)
                    .is_none_or(|held| !held.unresolved)
        };
        let Some(at) = self.insertion_order.iter().position(idle) else {
            return Err(Error::too_many_unresolved(self.held.len()));
        };
        if let Some(ticket_key) = self.insertion_order.remove(at) {
            self.held.remove(&ticket_key);
        }
        Ok(())
    }
}

fn ticket_key(call: &Call) -> Option<TicketKey> {
    let key = call.key.clone()?;
    Some((call.service.clone(), call.operation.clone(), key))
}
