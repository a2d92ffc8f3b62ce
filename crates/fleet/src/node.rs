//! The state machine of one daemon, which combines all other modules.

mod apply;
mod receive;
mod send;
mod tick;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use model::{DataCentre, InstanceId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wire::control::{Claim, Kind};

use crate::boot::Boot;
use crate::detector::{Detector, HEARTBEAT_INTERVAL};
use crate::document::{self, HeldDocument};
use crate::gossip::Gossip;
use crate::instances::{self, HeldInstances, Instance, InstanceList, ListedState};
use crate::membership::Membership;
use crate::outbox::Outbox;
use crate::overlay::Neighbours;
use crate::pause::Pause;
use crate::pulls::Pulls;
use crate::reachability::Reachability;
use crate::readers::ReadScheduler;
use crate::replica::Replica;
use crate::stamp::Stamp;
use crate::view::{Member, MemberStanding, View};

/// Configuration of a [`Node`].
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// Identifier of the daemon's own instance.
    pub id: InstanceId,
    /// Data centre of the own instance.
    pub data_centre: DataCentre,
    /// Advertised control address of the daemon.
    pub control: SocketAddr,
    /// Control addresses to pull from before any instance list is known.
    pub seeds: Vec<SocketAddr>,
    /// Size of the fleet to assume before any instance list is known.
    pub expected_members: usize,
    /// Start time of the process in milliseconds since the Unix epoch. A process that is
    /// restarted under the same identifier has a greater one, or raises its own above its
    /// predecessor's when it learns of that.
    pub generation: u64,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// One kind of replicated state, with its scheduled reads and outstanding pulls.
#[derive(Debug)]
struct ReplicatedState<T> {
    replica: Replica<T>,
    reads: ReadScheduler,
    pulls: Pulls,
}

impl<T> ReplicatedState<T> {
    fn stamp(&self) -> Option<Stamp> {
        self.replica.stamp()
    }
}

/// Whether this daemon ranks among the readers of its data centre, for each kind of state.
#[derive(Clone, Copy, Debug, Default)]
struct ReaderFlags {
    /// Among the daemons that aren't claimed dead.
    among_live: [bool; 2],
    /// Among all listed daemons.
    among_listed: [bool; 2],
}

/// The state machine of one daemon.
///
/// It does no I/O and reads no clock: its inputs are messages, answers of the platform and
/// the current time, and its outputs are [`Action`](crate::Action)s.
#[derive(Debug)]
pub struct Node {
    cfg: NodeConfig,
    generation: u64,
    leaving: bool,
    rng: SmallRng,
    document: ReplicatedState<HeldDocument>,
    instances: ReplicatedState<HeldInstances>,
    membership: Membership,
    gossip: Gossip,
    detector: Detector,
    reachability: Reachability,
    neighbours: Neighbours,
    reader_flags: ReaderFlags,
    members: Arc<Vec<Member>>,
    pause: Pause,
    boot: Boot,
    last_heard: Instant,
    next_cross_probe: Instant,
    next_sync: Instant,
    next_startup_ping: Instant,
    members_changed: bool,
    view_changed: bool,
}

impl Node {
    /// Creates a node that holds no document and no instance list yet.
    #[must_use]
    pub fn new(cfg: NodeConfig, now: Instant) -> Self {
        let mut rng = SmallRng::seed_from_u64(cfg.seed);
        let size = cfg.expected_members;
        let first = HEARTBEAT_INTERVAL.mul_f64(rng.random_range(0.0..1.0));
        Node {
            generation: cfg.generation,
            leaving: false,
            document: ReplicatedState {
                replica: Replica::new(document::codec()),
                reads: ReadScheduler::new(size, now, &mut rng),
                pulls: Pulls::default(),
            },
            instances: ReplicatedState {
                replica: Replica::new(instances::codec()),
                reads: ReadScheduler::new(size, now, &mut rng),
                pulls: Pulls::default(),
            },
            membership: Membership::default(),
            gossip: Gossip::default(),
            detector: Detector::new(now + first),
            reachability: Reachability::default(),
            neighbours: Neighbours::default(),
            reader_flags: ReaderFlags::default(),
            members: Arc::default(),
            pause: Pause::new(now),
            boot: Boot::default(),
            last_heard: now,
            next_cross_probe: now + first,
            next_sync: now + first,
            next_startup_ping: now,
            members_changed: false,
            view_changed: false,
            rng,
            cfg,
        }
    }

    /// Announces that this instance is stopping and accepts no new calls.
    pub fn leave(&mut self, out: &mut Outbox) {
        if self.leaving {
            return;
        }
        self.leaving = true;
        self.members_changed = true;
        self.gossip.add(self.own_note());
        self.push_notes(out);
    }

    /// True if the process was paused and its view has not been confirmed since.
    #[must_use]
    pub fn is_stale(&self, now: Instant) -> bool {
        self.pause.is_stale(now)
    }

    /// Returns the stamp of the document held.
    #[must_use]
    pub fn document_stamp(&self) -> Option<Stamp> {
        self.document.stamp()
    }

    /// Returns the stamp of the instance list held.
    #[must_use]
    pub fn instances_stamp(&self) -> Option<Stamp> {
        self.instances.stamp()
    }

    /// Returns the believed state of a listed instance, or `None` if it isn't listed.
    #[must_use]
    pub fn standing(&self, id: &InstanceId) -> Option<MemberStanding> {
        self.list()?.get(id).map(|listed| self.standing_of(listed))
    }

    /// Returns the view for the data path.
    ///
    /// It contains no document until the daemon is ready; see [`boot`](crate::boot).
    #[must_use]
    pub fn view(&self) -> View {
        let held = self.document.replica.state();
        View {
            index: held
                .filter(|_| self.boot.is_ready())
                .map(|held| Arc::clone(&held.index)),
            members: Arc::clone(&self.members),
        }
    }

    fn list(&self) -> Option<&InstanceList> {
        self.instances.replica.state().map(|held| &held.list)
    }

    /// Size of the fleet that the intervals of reads are derived from.
    fn fleet_size(&self) -> usize {
        let listed = self.list().map_or(0, |list| list.instances.len());
        listed.max(self.cfg.expected_members)
    }

    fn rebuild_members(&mut self) {
        let listed = self.list().map_or(&[][..], |list| &list.instances);
        self.members = Arc::new(listed.iter().map(|i| self.member(i)).collect());
    }

    fn member(&self, listed: &Instance) -> Member {
        Member {
            id: listed.id.clone(),
            service: listed.service.clone(),
            data_centre: listed.data_centre.clone(),
            region: listed.region.clone(),
            callers: listed.callers,
            mesh: listed.mesh,
            control: listed.control,
            standing: self.standing_of(listed),
        }
    }

    fn standing_of(&self, listed: &Instance) -> MemberStanding {
        if listed.id == self.cfg.id {
            let leaving = self.leaving || listed.state == ListedState::Leaving;
            return if leaving {
                MemberStanding::Leaving
            } else {
                MemberStanding::Live
            };
        }
        let unreachable = self.detector.is_unreachable(&listed.id)
            || self.reachability.is_unreachable(&listed.data_centre);
        match self.membership.claim(&listed.id) {
            Claim::Dead => MemberStanding::Dead,
            Claim::Leaving => MemberStanding::Leaving,
            _ if listed.state == ListedState::Leaving => MemberStanding::Leaving,
            Claim::Suspect => MemberStanding::Suspect,
            Claim::Live if unreachable => MemberStanding::Suspect,
            Claim::Live => MemberStanding::Live,
        }
    }

    /// True if no message from another daemon has arrived for the given time.
    fn is_isolated_for(&self, time: Duration, now: Instant) -> bool {
        now.duration_since(self.last_heard) >= time
    }

    fn stamp(&self, kind: Kind) -> Option<Stamp> {
        match kind {
            Kind::Document => self.document.stamp(),
            Kind::Instances => self.instances.stamp(),
        }
    }
}
