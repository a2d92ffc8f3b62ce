//! Construction and sending of control messages.

use std::net::SocketAddr;
use std::time::Instant;

use model::InstanceId;
use rand::seq::IndexedRandom;
use wire::control::{Body, Claim, Envelope, Kind, Note, Ping, Pull, Stamps};

use crate::membership::note;
use crate::node::Node;
use crate::outbox::{Action, Outbox};

/// Number of daemons in other data centres that receive an announcement.
const CROSS_FANOUT: usize = 2;

/// Maximum number of notes piggybacked on a heartbeat, besides one about the receiver.
const HEARTBEAT_NOTES: usize = 8;

impl Node {
    pub(super) fn own_note(&self) -> Note {
        let claim = if self.leaving {
            Claim::Leaving
        } else {
            Claim::Live
        };
        note(&self.cfg.id, self.generation, claim)
    }

    fn stamps(&self) -> Stamps {
        Stamps {
            document: self.document.stamp().map(Into::into),
            instances: self.instances.stamp().map(Into::into),
        }
    }

    fn envelope(&self, notes: Vec<Note>, body: Option<Body>) -> Envelope {
        let listed = self.list().is_some_and(|l| l.get(&self.cfg.id).is_some());
        // A receiver without an instance list needs the address. It is sent pings and replies
        // to its pulls, but neither announcements nor acks.
        let needed = !listed || !matches!(body, None | Some(Body::Ack(_)));
        let reply_to = if needed {
            self.cfg.control.to_string()
        } else {
            String::new()
        };
        Envelope {
            from: self.cfg.id.as_str().to_owned(),
            generation: self.generation,
            reply_to,
            stamps: self.stamps(),
            notes,
            leaving: self.leaving,
            reach: Vec::new(),
            body,
        }
    }

    pub(super) fn control_address(&self, id: &InstanceId) -> Option<SocketAddr> {
        self.list()?.get(id).map(|listed| listed.control)
    }

    /// Sends a message without piggybacked notes.
    pub(super) fn send(&self, to: SocketAddr, body: Option<Body>, out: &mut Outbox) {
        let message = Box::new(self.envelope(Vec::new(), body));
        out.push(Action::Send { to, message });
    }

    /// Sends a message with piggybacked notes and, within the data centre, reachability.
    pub(super) fn send_heartbeat(
        &mut self,
        to: &InstanceId,
        address: SocketAddr,
        body: Body,
        now: Instant,
        out: &mut Outbox,
    ) {
        let mut notes = self.gossip.piggyback(HEARTBEAT_NOTES);
        // Tells the receiver of a claim about itself, so that it can refute it.
        if let Some(receiver_note) = self.membership.non_live_note(to) {
            notes.push(receiver_note);
        }
        let mut message = Box::new(self.envelope(notes, Some(body)));
        let same_data_centre = self
            .list()
            .and_then(|list| list.get(to))
            .is_some_and(|listed| listed.data_centre == self.cfg.data_centre);
        if same_data_centre {
            message.reach = self.reachability.report(now);
        }
        out.push(Action::Send {
            to: address,
            message,
        });
    }

    pub(super) fn ping(&mut self, to: &InstanceId, sequence: u64, now: Instant, out: &mut Outbox) {
        let Some(address) = self.control_address(to) else {
            return;
        };
        let ping = Body::Ping(Ping {
            sequence,
            to: to.as_str().to_owned(),
        });
        self.send_heartbeat(to, address, ping, now, out);
    }

    pub(super) fn send_pull(&self, kind: Kind, to: SocketAddr, out: &mut Outbox) {
        let pull = Pull {
            kind: kind.into(),
            base: self.stamp(kind).map(Into::into),
        };
        self.send(to, Some(Body::Pull(pull)), out);
    }

    /// Sends the current stamps and the given notes to all neighbours in the own data centre
    /// and to [`CROSS_FANOUT`] in other data centres.
    pub(super) fn announce(
        &mut self,
        notes: &[Note],
        except: Option<&InstanceId>,
        out: &mut Outbox,
    ) {
        let cross = self
            .neighbours
            .cross
            .choose_multiple(&mut self.rng, CROSS_FANOUT)
            .map(|(_, id)| id.clone());
        let receivers: Vec<InstanceId> = cross.collect();
        let receivers = self.neighbours.local().chain(&receivers);
        let addresses: Vec<SocketAddr> = receivers
            .filter(|id| Some(*id) != except)
            .filter_map(|id| self.control_address(id))
            .collect();
        for to in addresses {
            let message = Box::new(self.envelope(notes.to_vec(), None));
            out.push(Action::Send { to, message });
        }
    }

    /// Announces the notes that have not been sent yet.
    pub(super) fn push_notes(&mut self, out: &mut Outbox) {
        let notes = self.gossip.take_unsent();
        if !notes.is_empty() {
            self.announce(&notes, None, out);
        }
    }
}
