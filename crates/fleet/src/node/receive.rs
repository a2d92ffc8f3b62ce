//! Handling of control messages from other daemons.

use std::net::SocketAddr;
use std::time::Instant;

use model::InstanceId;
use wire::control::{Ack, Body, Claim, Envelope, Kind, Note, PingRequest, Pull, Stamps};

use crate::detector::AckOutcome;
use crate::membership::{self, UNKNOWN_GENERATION, note};
use crate::node::Node;
use crate::outbox::Outbox;
use crate::stamp::Stamp;

impl Node {
    /// Handles a message from another daemon.
    ///
    /// A message whose sender is neither listed nor gives an address to reply to is dropped.
    pub fn on_message(&mut self, message: Envelope, now: Instant, out: &mut Outbox) {
        let from = InstanceId::from(message.from.as_str());
        if from == self.cfg.id {
            return;
        }
        let listed = self.list().and_then(|list| list.get(&from)).cloned();
        let address = listed.as_ref().map(|listed| listed.control);
        let Some(address) = address.or_else(|| message.reply_to.parse().ok()) else {
            return;
        };
        self.last_heard = now;
        if let Some(listed) = &listed {
            self.reachability.record_contact(&listed.data_centre, now);
            if listed.data_centre == self.cfg.data_centre {
                self.reachability.merge(&message.reach, now);
            }
        }
        let claim = if message.leaving {
            Claim::Leaving
        } else {
            Claim::Live
        };
        let sender = note(&from, message.generation, claim);
        self.apply_note(&sender, now);
        for note in &message.notes {
            self.apply_note(note, now);
        }
        self.pull_newer(&message.stamps, address, now, out);
        let is_behind = message.stamps.document.map(Stamp::from) > self.document.stamp();
        if let Some(body) = message.body {
            self.on_body(&from, address, body, is_behind, now, out);
        }
    }

    fn apply_note(&mut self, note: &Note, now: Instant) {
        let id = InstanceId::from(note.id.as_str());
        let Ok(claim) = Claim::try_from(note.claim) else {
            return;
        };
        if id == self.cfg.id {
            self.refute(note.generation, claim);
            return;
        }
        let generation = self.membership.resolve_generation(&id, note.generation);
        let listed = self.list().is_some_and(|list| list.get(&id).is_some());
        if listed && self.membership.update(&id, generation, claim, now) {
            self.gossip.add(membership::note(&id, generation, claim));
            self.members_changed = true;
        }
    }

    /// Refutes a claim about this daemon that supersedes its own, by raising its generation.
    ///
    /// Only the daemon itself may raise its generation.
    fn refute(&mut self, generation: u64, claim: Claim) {
        let own = if self.leaving {
            Claim::Leaving
        } else {
            Claim::Live
        };
        let generation = if generation == UNKNOWN_GENERATION {
            self.generation
        } else {
            generation
        };
        if (generation, claim) > (self.generation, own) {
            self.generation = generation.saturating_add(1);
            self.gossip.add(self.own_note());
        }
    }

    /// Compares a peer's stamps with the own ones and pulls the states that are newer.
    fn pull_newer(&mut self, stamps: &Stamps, by: SocketAddr, now: Instant, out: &mut Outbox) {
        let document = stamps.document.map(Stamp::from);
        let instances = stamps.instances.map(Stamp::from);
        if document.is_some() && document <= self.document.stamp() {
            self.boot.peer_answered();
        }
        if let Some(stamp) = document.filter(|stamp| self.document.replica.wants(*stamp))
            && let Some(to) = self.document.pulls.on_announcement(stamp, by, now)
        {
            self.send_pull(Kind::Document, to, out);
        }
        if let Some(stamp) = instances.filter(|stamp| self.instances.replica.wants(*stamp))
            && let Some(to) = self.instances.pulls.on_announcement(stamp, by, now)
        {
            self.send_pull(Kind::Instances, to, out);
        }
    }

    fn on_body(
        &mut self,
        from: &InstanceId,
        address: SocketAddr,
        body: Body,
        is_behind: bool,
        now: Instant,
        out: &mut Outbox,
    ) {
        match body {
            Body::Ping(ping) => {
                let ack = Body::Ack(Ack {
                    sequence: ping.sequence,
                    about: self.cfg.id.as_str().to_owned(),
                });
                self.send_heartbeat(from, address, ack, now, out);
            }
            Body::Ack(ack) => {
                if !is_behind {
                    self.pause.confirm_by_peer(ack.sequence);
                }
                self.on_ack(from, &ack, now, out);
            }
            Body::Nack(nack) => self.detector.confirm_failure(nack.sequence),
            Body::PingRequest(request) => self.on_ping_request(address, &request, now, out),
            Body::Pull(pull) => self.on_pull(address, pull, out),
            Body::Delta(delta) => self.on_delta(from, address, &delta, now, out),
            Body::Whole(whole) => self.on_whole(from, &whole, now, out),
        }
    }

    fn on_ack(&mut self, from: &InstanceId, ack: &Ack, now: Instant, out: &mut Outbox) {
        let about = InstanceId::from(ack.about.as_str());
        let was_unreachable = self.detector.is_unreachable(&about);
        match self.detector.on_ack(ack.sequence, &about, from, now) {
            AckOutcome::Alive { .. } => {
                self.members_changed |= was_unreachable != self.detector.is_unreachable(&about);
            }
            AckOutcome::Replaced { target } => self.suspect(&target, now),
            AckOutcome::Forward { to, sequence } => {
                let ack = Body::Ack(Ack {
                    sequence,
                    about: ack.about.clone(),
                });
                self.send(to, Some(ack), out);
            }
            AckOutcome::Unexpected => {}
        }
    }

    fn on_ping_request(
        &mut self,
        requester: SocketAddr,
        request: &PingRequest,
        now: Instant,
        out: &mut Outbox,
    ) {
        if let Some(sequence) = self
            .detector
            .start_indirect_probe(requester, request.sequence, now)
        {
            let about = InstanceId::from(request.about.as_str());
            self.ping(&about, sequence, now, out);
        }
    }

    fn on_pull(&self, to: SocketAddr, pull: Pull, out: &mut Outbox) {
        let base = pull.base.map(Stamp::from);
        let answer = match Kind::try_from(pull.kind) {
            Ok(Kind::Document) => self.document.replica.reply(base),
            Ok(Kind::Instances) => self.instances.replica.reply(base),
            Err(_) => None,
        };
        self.send(to, answer, out);
    }
}
