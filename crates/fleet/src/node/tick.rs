//! What a daemon does as time goes on.

use std::time::{Duration, Instant};

use model::InstanceId;
use rand::Rng;
use rand::seq::{IndexedRandom, IteratorRandom};
use wire::control::{Body, Claim, Kind, Nack, PingRequest};

use crate::detector::{PROBE_HELPERS, PROBE_TIMEOUT, ProbeTimeout};
use crate::instances::Instance;
use crate::node::Node;
use crate::outbox::{Action, Alarm, Outbox};
use crate::overlay::Neighbours;
use crate::readers::{Role, is_reader};

/// Time between two probes of other data centres by one daemon.
const CROSS_PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// Time between two exchanges with a random listed daemon, whatever is believed about it.
const SYNC_INTERVAL: Duration = Duration::from_secs(15);

/// Time between two questions to peers while a daemon is not ready.
const STARTUP_PING_INTERVAL: Duration = Duration::from_millis(500);

/// Notes in an exchange with a random daemon.
const SYNC_NOTES: usize = 16;

/// Silence of all others after which a daemon accuses nobody: longer than the interval of
/// its probes of other data centres.
const ISOLATION_TIMEOUT: Duration = Duration::from_millis(2500);

/// Silence of all others after which a daemon looks for news at the platform.
const PLATFORM_FALLBACK_TIMEOUT: Duration = Duration::from_secs(10);

impl Node {
    /// Does what is due. To be called about ten times a second.
    pub fn tick(&mut self, now: Instant, out: &mut Outbox) {
        if let Some(gap) = self.pause.tick(self.detector.last_sequence(), now) {
            self.on_pause(gap, now, out);
        }
        self.check_failures(now, out);
        self.send_probes(now, out);
        self.synchronize(now, out);
        if self.members_changed {
            self.members_changed = false;
            self.view_changed = true;
            self.choose_neighbours();
            self.rebuild_members();
        }
        self.push_notes(out);
        self.issue_reads(now, out);
        self.update_readiness(now, out);
        if std::mem::take(&mut self.view_changed) {
            out.push(Action::ViewChanged);
        }
    }

    /// Takes note of a new instance list.
    pub(super) fn on_new_instance_list(&mut self, now: Instant) {
        let Some(held) = self.instances.replica.state() else {
            return;
        };
        let list = &held.list;
        for listed in &list.instances {
            if listed.data_centre != self.cfg.data_centre {
                self.reachability.track(&listed.data_centre, now);
            }
        }
        self.reachability
            .retain(|dc| list.instances.iter().any(|i| i.data_centre == *dc));
        self.membership.retain_listed(list);
        self.choose_neighbours();
        self.members_changed = true;
    }

    /// Records that a member answers nobody, and tells the others.
    pub(super) fn suspect(&mut self, id: &InstanceId, now: Instant) {
        if let Some(note) = self.membership.suspect(id, now) {
            self.gossip.add(note);
            self.members_changed = true;
        }
    }

    fn on_pause(&mut self, gap: Duration, now: Instant, out: &mut Outbox) {
        out.push(Action::Alarm(Alarm::Paused(gap)));
        // What stayed unanswered meanwhile says nothing about the others.
        self.detector.reset(now);
        self.membership.reset_suspicions(now);
        self.reachability.reset(now);
        self.last_heard = now;
        self.document.reader.read_soon(now, &mut self.rng);
        self.instances.reader.read_soon(now, &mut self.rng);
        self.ping_neighbours(now, out);
    }

    fn choose_neighbours(&mut self) {
        let Some(held) = self.instances.replica.state() else {
            return;
        };
        let membership = &self.membership;
        let claim = |listed: &Instance| membership.claim(&listed.id);
        let usable = |listed: &Instance| claim(listed) != Claim::Dead;
        self.neighbours =
            Neighbours::choose(&self.cfg.id, &self.cfg.data_centre, &held.list, claim);
        for (at, kind) in [Kind::Document, Kind::Instances].into_iter().enumerate() {
            let (own, data_centre) = (&self.cfg.id, &self.cfg.data_centre);
            let all = |_: &Instance| true;
            self.reader_flags.among_live[at] =
                is_reader(kind, own, data_centre, &held.list, usable);
            self.reader_flags.among_listed[at] = is_reader(kind, own, data_centre, &held.list, all);
        }
        self.detector.retain_watched(&self.neighbours.successors);
    }

    fn check_failures(&mut self, now: Instant, out: &mut Outbox) {
        for timeout in self.detector.expire_probes(now) {
            match timeout {
                ProbeTimeout::RequestIndirect { sequence, target } => {
                    self.request_indirect_probes(sequence, &target, out);
                }
                ProbeTimeout::Failed {
                    target,
                    failure_confirmed,
                } => self.on_failed(&target, failure_confirmed, now),
                ProbeTimeout::SendNack {
                    requester,
                    sequence,
                } => {
                    self.send(requester, Some(Body::Nack(Nack { sequence })), out);
                }
            }
        }
        if self.is_isolated_for(ISOLATION_TIMEOUT, now) && self.has_peers() {
            // Whoever hears nobody is more likely to be cut off than to be the only one left.
            self.membership.reset_suspicions(now);
        }
        for note in self.membership.expire_suspicions(now) {
            self.gossip.add(note);
            self.members_changed = true;
        }
        if self.reachability.update(now) {
            self.members_changed = true;
        }
    }

    fn on_failed(&mut self, target: &InstanceId, failure_confirmed: bool, now: Instant) {
        let failures = self.detector.record_failure(target, now);
        self.members_changed = true;
        // Helpers that stay silent speak against this daemon's own links, unless they have
        // failed too: then the next probe of the target fails as well.
        let is_certain = failure_confirmed || failures > 1;
        let is_only_neighbour = self.neighbours.local().count() == 1;
        if is_certain && (is_only_neighbour || !self.is_isolated_for(ISOLATION_TIMEOUT, now)) {
            self.suspect(target, now);
        }
    }

    fn request_indirect_probes(&mut self, sequence: u64, target: &InstanceId, out: &mut Outbox) {
        let helpers: Vec<InstanceId> = self
            .neighbours
            .local()
            .filter(|id| *id != target && self.membership.claim(id) == Claim::Live)
            .cloned()
            .choose_multiple(&mut self.rng, PROBE_HELPERS);
        if helpers.is_empty() {
            self.detector.confirm_failure(sequence);
        }
        for helper in helpers {
            let request = Body::PingRequest(PingRequest {
                sequence,
                about: target.as_str().to_owned(),
            });
            if let Some(to) = self.control_address(&helper) {
                self.send(to, Some(request), out);
            }
        }
    }

    fn send_probes(&mut self, now: Instant, out: &mut Outbox) {
        // Suspects have been probed; what they hear next is the suspicion itself.
        let live = |id: &&InstanceId| self.membership.claim(id) != Claim::Suspect;
        let watched: Vec<InstanceId> = self
            .neighbours
            .successors
            .iter()
            .filter(live)
            .cloned()
            .collect();
        if let Some(target) = self.detector.next_target(&watched, now) {
            let sequence = self.detector.start_probe(&target, now);
            self.ping(&target, sequence, now, out);
            if self.is_isolated_for(PROBE_TIMEOUT, now) {
                // Any answer shows that it is the neighbours and not this daemon.
                self.ping_random(PROBE_HELPERS, now, out);
            }
        }
        if now >= self.next_cross_probe {
            self.next_cross_probe = now + CROSS_PROBE_INTERVAL;
            let chosen = self.neighbours.cross.choose(&mut self.rng).cloned();
            if let Some((_, id)) = chosen {
                let sequence = self.detector.next_sequence();
                self.ping(&id, sequence, now, out);
            }
        }
    }

    /// Exchanges state with a random daemon, so that what pushes have missed is found.
    fn synchronize(&mut self, now: Instant, out: &mut Outbox) {
        if now < self.next_sync {
            return;
        }
        self.next_sync = now + SYNC_INTERVAL.mul_f64(self.rng.random_range(0.5..1.5));
        let turn = self.rng.random_range(0..usize::from(u16::MAX));
        for note in self.membership.non_live_notes(SYNC_NOTES, turn) {
            self.gossip.repeat(note);
        }
        self.ping_random(1, now, out);
    }

    fn ping_random(&mut self, count: usize, now: Instant, out: &mut Outbox) {
        let Some(held) = self.instances.replica.state() else {
            return;
        };
        let own = &self.cfg.id;
        let others = held.list.instances.iter().filter(|i| i.id != *own);
        let chosen = others.choose_multiple(&mut self.rng, count);
        let ids: Vec<InstanceId> = chosen.into_iter().map(|i| i.id.clone()).collect();
        for id in ids {
            let sequence = self.detector.next_sequence();
            self.ping(&id, sequence, now, out);
        }
    }

    fn issue_reads(&mut self, now: Instant, out: &mut Outbox) {
        let size = self.fleet_size();
        for (at, kind) in [Kind::Document, Kind::Instances].into_iter().enumerate() {
            let role = self.role(at, now);
            let after = self.stamp(kind).map(|stamp| stamp.revision);
            let reader = match kind {
                Kind::Document => &mut self.document.reader,
                Kind::Instances => &mut self.instances.reader,
            };
            if let Some(read) = reader.tick(role, after, size, now, &mut self.rng) {
                out.push(match kind {
                    Kind::Document => Action::ReadDocument(read),
                    Kind::Instances => Action::ReadInstances(read),
                });
            }
        }
    }

    /// A daemon that hears nobody believes too many dead; its own rank means little then.
    fn role(&self, at: usize, now: Instant) -> Role {
        let is_isolated = self.has_peers() && self.is_isolated_for(PLATFORM_FALLBACK_TIMEOUT, now);
        let reader_flags = if is_isolated {
            self.reader_flags.among_listed
        } else {
            self.reader_flags.among_live
        };
        if reader_flags[at] {
            Role::Watcher
        } else if is_isolated {
            Role::Isolated
        } else {
            Role::Subscriber
        }
    }

    fn has_peers(&self) -> bool {
        let own = &self.cfg.id;
        self.list()
            .is_some_and(|list| list.instances.iter().any(|listed| listed.id != *own))
    }

    /// Looks for a first document until there is one.
    fn update_readiness(&mut self, now: Instant, out: &mut Outbox) {
        let holds = self.document.stamp().is_some();
        let answered = self.document.reader.has_answered();
        let has_peers = self.has_peers();
        if self.boot.tick(holds, answered, has_peers, now) {
            self.view_changed = true;
        }
        if !self.boot.is_ready() && now >= self.next_startup_ping {
            self.next_startup_ping = now + STARTUP_PING_INTERVAL;
            self.ping_neighbours(now, out);
        }
    }

    pub(super) fn ping_neighbours(&mut self, now: Instant, out: &mut Outbox) {
        let neighbours: Vec<InstanceId> = self.neighbours.local().cloned().collect();
        for id in neighbours {
            let sequence = self.detector.next_sequence();
            self.ping(&id, sequence, now, out);
        }
        if self.list().is_none() {
            for seed in &self.cfg.seeds {
                self.send_pull(Kind::Instances, *seed, out);
            }
        }
    }
}
