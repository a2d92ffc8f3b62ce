//! Handling of states received from the platform and from peers.

use std::net::SocketAddr;
use std::time::Instant;

use model::InstanceId;
use wire::control::{Body, Delta, Kind, Pull, Whole};

use crate::node::Node;
use crate::outbox::{Action, Alarm, Outbox, PlatformAnswer, ReadResult};
use crate::readers::ReadOutcome;
use crate::replica::OfferOutcome;
use crate::stamp::Stamp;

impl Node {
    /// Handles the answer to a read of the platform.
    pub fn on_platform(&mut self, answer: PlatformAnswer, now: Instant, out: &mut Outbox) {
        let requested_at = match answer.kind {
            Kind::Document => self.document.reads.requested_at(),
            Kind::Instances => self.instances.reads.requested_at(),
        };
        let read_outcome = match answer.result {
            ReadResult::Content(content) => self.on_content(answer.kind, &content, now, out),
            ReadResult::Unchanged => ReadOutcome::Success,
            ReadResult::Absent | ReadResult::Failed => ReadOutcome::Failure,
        };
        if let Some(requested_at) = requested_at.filter(|_| read_outcome != ReadOutcome::Failure) {
            self.pause.confirm_by_platform(requested_at);
        }
        let size = self.fleet_size();
        match answer.kind {
            Kind::Document => self
                .document
                .reads
                .finish(read_outcome, size, now, &mut self.rng),
            Kind::Instances => self
                .instances
                .reads
                .finish(read_outcome, size, now, &mut self.rng),
        }
    }

    fn on_content(
        &mut self,
        kind: Kind,
        content: &[u8],
        now: Instant,
        out: &mut Outbox,
    ) -> ReadOutcome {
        let outcome = match kind {
            Kind::Document => self.document.replica.offer_whole(content, None),
            Kind::Instances => self.instances.replica.offer_whole(content, None),
        };
        let read_outcome = match outcome {
            OfferOutcome::Applied | OfferOutcome::Conflict { applied: true, .. } => {
                ReadOutcome::Success
            }
            OfferOutcome::Same => ReadOutcome::Duplicate,
            OfferOutcome::Older => {
                out.push(Action::Alarm(Alarm::OlderAnswer { kind }));
                ReadOutcome::Failure
            }
            OfferOutcome::Conflict { .. }
            | OfferOutcome::Refused(_)
            | OfferOutcome::PatchMismatch => ReadOutcome::Failure,
        };
        self.handle_offer_outcome(kind, outcome, None, now, out);
        read_outcome
    }

    pub(super) fn on_delta(
        &mut self,
        from: &InstanceId,
        address: SocketAddr,
        delta: &Delta,
        now: Instant,
        out: &mut Outbox,
    ) {
        let Ok(kind) = Kind::try_from(delta.kind) else {
            return;
        };
        let outcome = match kind {
            Kind::Document => self.document.replica.offer_steps(&delta.steps),
            Kind::Instances => self.instances.replica.offer_steps(&delta.steps),
        };
        if outcome == OfferOutcome::PatchMismatch {
            // Requests the whole state if the patches don't apply.
            let pull = Pull {
                kind: kind.into(),
                base: None,
            };
            self.send(address, Some(Body::Pull(pull)), out);
            return;
        }
        self.handle_offer_outcome(kind, outcome, Some(from), now, out);
    }

    pub(super) fn on_whole(
        &mut self,
        from: &InstanceId,
        whole: &Whole,
        now: Instant,
        out: &mut Outbox,
    ) {
        let Ok(kind) = Kind::try_from(whole.kind) else {
            return;
        };
        let claimed = Some(Stamp::from(whole.stamp));
        let outcome = match kind {
            Kind::Document => self.document.replica.offer_whole(&whole.content, claimed),
            Kind::Instances => self.instances.replica.offer_whole(&whole.content, claimed),
        };
        self.handle_offer_outcome(kind, outcome, Some(from), now, out);
    }

    fn handle_offer_outcome(
        &mut self,
        kind: Kind,
        outcome: OfferOutcome,
        from: Option<&InstanceId>,
        now: Instant,
        out: &mut Outbox,
    ) {
        let applied = matches!(
            outcome,
            OfferOutcome::Applied | OfferOutcome::Conflict { applied: true, .. }
        );
        match outcome {
            OfferOutcome::Conflict { revision, .. } => {
                out.push(Action::Alarm(Alarm::Conflict { kind, revision }));
            }
            OfferOutcome::Refused(reason) => {
                out.push(Action::Alarm(Alarm::Refused { kind, reason }));
            }
            OfferOutcome::Applied
            | OfferOutcome::Same
            | OfferOutcome::Older
            | OfferOutcome::PatchMismatch => {}
        }
        if applied {
            self.on_applied(kind, from, now, out);
        }
        let held = self.stamp(kind);
        let more = match kind {
            Kind::Document => self.document.pulls.on_reply(held, now),
            Kind::Instances => self.instances.pulls.on_reply(held, now),
        };
        if let Some(to) = more {
            self.send_pull(kind, to, out);
        }
    }

    fn on_applied(
        &mut self,
        kind: Kind,
        from: Option<&InstanceId>,
        now: Instant,
        out: &mut Outbox,
    ) {
        self.view_changed = true;
        if kind == Kind::Instances {
            self.on_new_instance_list(now);
        }
        self.announce(&[], from, out);
        if self.is_stale(now) {
            // After a pause, asks the peers whether this is the newest state.
            self.ping_neighbours(now, out);
        }
    }
}
