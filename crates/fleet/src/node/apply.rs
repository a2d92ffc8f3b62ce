//! States that a daemon is offered by the platform and by peers.

use std::net::SocketAddr;
use std::time::Instant;

use model::InstanceId;
use wire::control::{Body, Delta, Kind, Pull, Whole};

use crate::node::Node;
use crate::outbox::{Action, Alarm, Outbox, PlatformAnswer, ReadResult};
use crate::readers::ReadEnd;
use crate::replica::Offered;
use crate::stamp::Stamp;

impl Node {
    /// Takes the answer to a read of the platform.
    pub fn on_platform(&mut self, answer: PlatformAnswer, now: Instant, out: &mut Outbox) {
        let asked = match answer.kind {
            Kind::Document => self.document.reader.asked_at(),
            Kind::Instances => self.instances.reader.asked_at(),
        };
        let end = match answer.result {
            ReadResult::Content(content) => self.on_content(answer.kind, &content, now, out),
            ReadResult::Unchanged => ReadEnd::Useful,
            ReadResult::Absent | ReadResult::Failed => ReadEnd::Useless,
        };
        if let Some(asked) = asked.filter(|_| end != ReadEnd::Useless) {
            self.pause.confirm_by_platform(asked);
        }
        let size = self.fleet_size();
        match answer.kind {
            Kind::Document => self.document.reader.end(end, size, now, &mut self.rng),
            Kind::Instances => self.instances.reader.end(end, size, now, &mut self.rng),
        }
    }

    fn on_content(
        &mut self,
        kind: Kind,
        content: &[u8],
        now: Instant,
        out: &mut Outbox,
    ) -> ReadEnd {
        let offered = match kind {
            Kind::Document => self.document.replica.offer_whole(content, None),
            Kind::Instances => self.instances.replica.offer_whole(content, None),
        };
        let end = match offered {
            Offered::Taken | Offered::Conflict { taken: true, .. } => ReadEnd::Useful,
            Offered::Same => ReadEnd::Repeated,
            Offered::Older => {
                out.push(Action::Alarm(Alarm::OlderAnswer { kind }));
                ReadEnd::Useless
            }
            Offered::Conflict { .. } | Offered::Refused(_) | Offered::Unfit => ReadEnd::Useless,
        };
        self.after_offer(kind, offered, None, now, out);
        end
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
        let offered = match kind {
            Kind::Document => self.document.replica.offer_steps(&delta.steps),
            Kind::Instances => self.instances.replica.offer_steps(&delta.steps),
        };
        if offered == Offered::Unfit {
            // Steps that do not fit are replaced by the whole state.
            let pull = Pull {
                kind: kind.into(),
                base: None,
            };
            self.send(address, Some(Body::Pull(pull)), out);
            return;
        }
        self.after_offer(kind, offered, Some(from), now, out);
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
        let offered = match kind {
            Kind::Document => self.document.replica.offer_whole(&whole.content, claimed),
            Kind::Instances => self.instances.replica.offer_whole(&whole.content, claimed),
        };
        self.after_offer(kind, offered, Some(from), now, out);
    }

    fn after_offer(
        &mut self,
        kind: Kind,
        offered: Offered,
        from: Option<&InstanceId>,
        now: Instant,
        out: &mut Outbox,
    ) {
        let taken = matches!(
            offered,
            Offered::Taken | Offered::Conflict { taken: true, .. }
        );
        match offered {
            Offered::Conflict { revision, .. } => {
                out.push(Action::Alarm(Alarm::Conflict { kind, revision }));
            }
            Offered::Refused(reason) => {
                out.push(Action::Alarm(Alarm::Refused { kind, reason }));
            }
            Offered::Taken | Offered::Same | Offered::Older | Offered::Unfit => {}
        }
        if taken {
            self.on_taken(kind, from, now, out);
        }
        let held = self.stamp(kind);
        let more = match kind {
            Kind::Document => self.document.pulls.answered(held, now),
            Kind::Instances => self.instances.pulls.answered(held, now),
        };
        if let Some(to) = more {
            self.send_pull(kind, to, out);
        }
    }

    fn on_taken(&mut self, kind: Kind, from: Option<&InstanceId>, now: Instant, out: &mut Outbox) {
        self.view_changed = true;
        if kind == Kind::Instances {
            self.on_new_list(now);
        }
        self.announce(&[], from, out);
        if self.is_stale(now) {
            // Whether this is the newest state is for the peers to say.
            self.ask_neighbours(now, out);
        }
    }
}
