//! The client's store of tickets, prefetched ones and those of calls that were
//! sent.

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;

use smol_str::SmolStr;

use crate::call::Call;
use crate::error::Error;

/// Service, operation and idempotency key that a ticket is valid for.
type TicketKey = (SmolStr, SmolStr, SmolStr);

/// A ticket, its issuer's address and the state of its sends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct HeldTicket {
    pub(crate) text: SmolStr,
    /// Address of the daemon that issued the ticket, preferred for its sends.
    pub(crate) entry: Option<SocketAddr>,
    /// True if a send with the ticket may have run and its outcome is unknown.
    pub(crate) unresolved: bool,
    /// Sends with the ticket of which bytes may have left.
    pub(crate) sends: u16,
}

/// A bounded store that never evicts an unresolved ticket.
///
/// Evicting a ticket costs its caller a round trip but cannot cause a second
/// run: a resolved ticket has no send that may still run.
#[derive(Debug)]
pub(crate) struct TicketStore {
    max: usize,
    held: HashMap<TicketKey, HeldTicket>,
    insertion_order: VecDeque<TicketKey>,
    /// Keys of the calls in progress.
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

    /// Starts a call, unless one with the same key is in progress: two calls
    /// that used different tickets for the key could run it twice.
    pub(crate) fn begin(&mut self, call: &Call) -> Result<(), Error> {
        match ticket_key(call) {
            Some(ticket_key) if !self.in_progress.insert(ticket_key.clone()) => {
                Err(Error::already_in_progress(&ticket_key.2))
            }
            _ => Ok(()),
        }
    }

    /// Allows the next call with the same key.
    pub(crate) fn end(&mut self, call: &Call) {
        if let Some(ticket_key) = ticket_key(call) {
            self.in_progress.remove(&ticket_key);
        }
    }

    pub(crate) fn get(&self, call: &Call) -> Option<&HeldTicket> {
        self.held.get(&ticket_key(call)?)
    }

    /// Stores a ticket for a call that has none. A full store evicts its oldest
    /// resolved ticket that no call in progress uses.
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

    /// Sets whether the outcome of the sends with a held ticket is unknown.
    pub(crate) fn set_unresolved(&mut self, call: &Call, unresolved: bool) {
        if let Some(held) = ticket_key(call).and_then(|ticket_key| self.held.get_mut(&ticket_key)) {
            held.unresolved = unresolved;
        }
    }

    /// Counts a send with a held ticket before it starts. The ticket is
    /// unresolved until the response is read, so it stays unresolved if the
    /// caller drops the call's future.
    pub(crate) fn record_send(&mut self, call: &Call) {
        if let Some(held) = ticket_key(call).and_then(|ticket_key| self.held.get_mut(&ticket_key)) {
            held.unresolved = true;
            held.sends = held.sends.saturating_add(1);
        }
    }

    /// Reverts the count of a send of which no byte left.
    pub(crate) fn undo_send(&mut self, call: &Call) {
        if let Some(held) = ticket_key(call).and_then(|ticket_key| self.held.get_mut(&ticket_key)) {
            held.sends = held.sends.saturating_sub(1);
        }
    }

    /// Removes a ticket under which the call certainly never ran.
    pub(crate) fn discard_ticket(&mut self, call: &Call) {
        if let Some(ticket_key) = ticket_key(call) {
            self.held.remove(&ticket_key);
            self.insertion_order.retain(|other| *other != ticket_key);
        }
    }

    fn evict_one(&mut self) -> Result<(), Error> {
        let is_evictable = |ticket_key: &TicketKey| {
            !self.in_progress.contains(ticket_key)
                && self
                    .held
                    .get(ticket_key)
                    .is_none_or(|held| !held.unresolved)
        };
        let Some(at) = self.insertion_order.iter().position(is_evictable) else {
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
