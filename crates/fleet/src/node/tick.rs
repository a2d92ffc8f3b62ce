//! Periodic work: probes, synchronization, reads and readiness.

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

/// Interval between the probes that one daemon sends to other data centres.
const CROSS_PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// Mean interval between exchanges with a random listed daemon, including dead ones.
const SYNC_INTERVAL: Duration = Duration::from_secs(15);

/// Interval between pings of all neighbours while a daemon is not ready.
const STARTUP_PING_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of notes about non-live members queued for each random exchange.
const SYNC_NOTES: usize = 16;

/// Time without any message after which a daemon suspects nobody, since its own links may
/// be at fault. Longer than [`CROSS_PROBE_INTERVAL`].
const ISOLATION_TIMEOUT: Duration = Duration::from_millis(2500);

/// Time without any message after which a daemon that is no reader polls the platform.
const PLATFORM_FALLBACK_TIMEOUT: Duration = Duration::from_secs(10);

impl Node {
    /// Performs all periodic work that is due. Call it about ten times a second.
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

    /// Updates everything that is derived from the instance list.
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

    /// Marks a member as suspect and queues a note about it.
    pub(super) fn suspect(&mut self, id: &InstanceId, now: Instant) {
        if let Some(note) = self.membership.suspect(id, now) {
            self.gossip.add(note);
            self.members_changed = true;
        }
    }

    fn on_pause(&mut self, gap: Duration, now: Instant, out: &mut Outbox) {
        out.push(Action::Alarm(Alarm::Paused(gap)));
        // Timeouts that passed during the pause are no evidence against other daemons.
        self.detector.reset(now);
        self.membership.reset_suspicions(now);
        self.reachability.reset(now);
        self.last_heard = now;
        self.document.reads.read_soon(now, &mut self.rng);
        self.instances.reads.read_soon(now, &mut self.rng);
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
            // A daemon that hears from no one is more likely cut off than the only survivor.
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
        // Without a nack from a helper this daemon's own links may be at fault. If the helpers
        // have failed too, the next probe of the target fails as well.
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
        // Suspects are not probed again: they are sent the suspicion and must refute it.
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
                // An ack from any daemon shows that the own links work.
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

    /// Exchanges stamps and notes with a random daemon, to repair missed announcements.
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
            let reads = match kind {
                Kind::Document => &mut self.document.reads,
                Kind::Instances => &mut self.instances.reads,
            };
            if let Some(read) = reads.tick(role, after, size, now, &mut self.rng) {
                out.push(match kind {
                    Kind::Document => Action::ReadDocument(read),
                    Kind::Instances => Action::ReadInstances(read),
                });
            }
        }
    }

    /// Returns how this daemon obtains new states now.
    ///
    /// An isolated daemon ranks itself among all listed daemons, because it wrongly considers
    /// many of them dead.
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

    /// Updates readiness, and pings the neighbours until the daemon is ready.
    fn update_readiness(&mut self, now: Instant, out: &mut Outbox) {
        let holds = self.document.stamp().is_some();
        let answered = self.document.reads.has_answered();
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
