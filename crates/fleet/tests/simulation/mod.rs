//! Discrete-event simulation of many nodes, an unreliable network and a platform.

#![allow(dead_code, reason = "each test file uses only a part")]

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use config::Document;
use fleet::{
    Action, Alarm, Instance, InstanceList, ListedState, MemberStanding, Node, NodeConfig, Outbox,
    PlatformAnswer, Read, ReadResult, Stamp,
};
use model::{Goal, InstanceId};
use prost::Message;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wire::control::{Envelope, Kind};

const FRAME_HEADER_BYTES: usize = 4;
const TICK: Duration = Duration::from_millis(100);

enum Event {
    Tick(usize),
    Deliver {
        to: usize,
        message: Box<Envelope>,
    },
    Answer {
        to: usize,
        restarts: u64,
        answer: PlatformAnswer,
    },
}

struct PendingRead {
    node: usize,
    restarts: u64,
    kind: Kind,
    after: Option<u64>,
    deadline: Instant,
    /// True if the answer is lost; the reader notices that [`ANSWER_GRACE`] after the deadline.
    is_lost: bool,
}

/// Time that a reader allows for an answer beyond the wait, as the daemon's client does.
const ANSWER_GRACE: Duration = Duration::from_secs(5);

/// Behaviour of the network.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct NetworkConditions {
    /// Probability that a message is lost.
    pub(crate) loss: f64,
    /// Probability that a message is delivered twice.
    pub(crate) duplication: f64,
    /// Maximum delay of a message; the minimum is a tenth of it.
    pub(crate) max_delay: Duration,
}

pub(crate) struct SimulatedDaemon {
    pub(crate) id: InstanceId,
    pub(crate) data_centre: usize,
    pub(crate) running: bool,
    /// True while the process is paused; its messages wait in the socket.
    pub(crate) frozen: bool,
    pub(crate) node: Node,
    pub(crate) reads: usize,
    restarts: u64,
    /// Highest document stamp held since the last restart.
    highest: Option<Stamp>,
}

/// The simulated fleet, network and platform.
pub(crate) struct Simulation {
    pub(crate) now: Instant,
    pub(crate) daemons: Vec<SimulatedDaemon>,
    pub(crate) network: NetworkConditions,
    /// Number of messages and total frame bytes sent by all nodes.
    pub(crate) sent: (usize, usize),
    pub(crate) platform_up: bool,
    /// True if the platform returns its content even if it isn't newer than requested.
    pub(crate) platform_ignores_after: bool,
    pub(crate) expected_members: usize,
    /// Identifier of nodes created from now on, in place of the listed one.
    pub(crate) id_override: Option<InstanceId>,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) alarms: Vec<Alarm>,
    /// Whether messages from one node to another are dropped, by their positions.
    pub(crate) is_cut: Box<dyn Fn(usize, usize) -> bool>,
    document: Option<Bytes>,
    list: InstanceList,
    pending_reads: Vec<PendingRead>,
    events: BinaryHeap<Reverse<(Instant, u64)>>,
    pending_events: std::collections::HashMap<u64, Event>,
    sequence: u64,
    rng: SmallRng,
}

pub(crate) fn document(revision: u64, retry_percent: u16) -> Document {
    Document {
        revision: revision.into(),
        goal: Goal::Goodput,
        retry_budget: 3,
        retry_percent,
        services: Vec::new(),
    }
}

pub(crate) fn address(at: usize) -> SocketAddr {
    SocketAddr::from((
        [
            10,
            0,
            u8::try_from(at >> 8).unwrap(),
            u8::try_from(at & 0xff).unwrap(),
        ],
        4000,
    ))
}

fn instance(at: usize, data_centre: usize) -> Instance {
    Instance {
        id: format!("i{at:03}").as_str().into(),
        service: "reservas".into(),
        data_centre: format!("dc{data_centre}").as_str().into(),
        region: "norte".into(),
        callers: address(at),
        mesh: address(at),
        control: address(at),
        state: ListedState::Live,
    }
}

impl Simulation {
    /// Starts `count` nodes at once, spread evenly over the data centres.
    pub(crate) fn new(count: usize, data_centres: usize, seed: u64) -> Self {
        let now = Instant::now();
        let instances = (0..count).map(|at| instance(at, at % data_centres));
        let mut sim = Simulation {
            now,
            daemons: Vec::new(),
            network: NetworkConditions {
                max_delay: Duration::from_millis(10),
                ..NetworkConditions::default()
            },
            sent: (0, 0),
            platform_up: true,
            platform_ignores_after: false,
            expected_members: count,
            id_override: None,
            seeds: Vec::new(),
            alarms: Vec::new(),
            is_cut: Box::new(|_, _| false),
            document: Some(document(1, 10).to_bytes().into()),
            list: InstanceList {
                version: 1,
                instances: instances.collect(),
            },
            pending_reads: Vec::new(),
            events: BinaryHeap::new(),
            pending_events: std::collections::HashMap::new(),
            sequence: 0,
            rng: SmallRng::seed_from_u64(seed),
        };
        for at in 0..count {
            let node = sim.create(at, at % data_centres);
            sim.daemons.push(SimulatedDaemon {
                id: format!("i{at:03}").as_str().into(),
                data_centre: at % data_centres,
                running: true,
                frozen: false,
                node,
                reads: 0,
                restarts: 0,
                highest: None,
            });
            sim.schedule(Duration::ZERO, Event::Tick(at));
        }
        sim
    }

    fn create(&mut self, at: usize, data_centre: usize) -> Node {
        let listed = instance(at, data_centre);
        let cfg = NodeConfig {
            id: self.id_override.clone().unwrap_or(listed.id),
            data_centre: listed.data_centre,
            control: listed.control,
            seeds: self.seeds.clone(),
            expected_members: self.expected_members,
            generation: 1 + self.sequence,
            seed: self.rng.random(),
        };
        Node::new(cfg, self.now)
    }

    /// Restarts a node without state, under the same identifier and address unless
    /// `id_override` is set.
    pub(crate) fn restart(&mut self, at: usize) {
        let node = self.create(at, self.daemons[at].data_centre);
        let daemon = &mut self.daemons[at];
        daemon.node = node;
        daemon.restarts += 1;
        daemon.highest = None;
        daemon.running = true;
    }

    pub(crate) fn publish(&mut self, document: &Document) {
        self.publish_bytes(document.to_bytes());
    }

    pub(crate) fn publish_bytes(&mut self, bytes: Vec<u8>) {
        self.document = Some(bytes.into());
        self.answer_pending_reads(Kind::Document);
    }

    /// Loses the answers of all reads that are waiting now.
    pub(crate) fn lose_waiting_reads(&mut self) {
        for pending in &mut self.pending_reads {
            pending.is_lost = true;
        }
    }

    /// Changes the listed state of one instance in a new version of the list.
    pub(crate) fn set_listed_state(&mut self, at: usize, state: ListedState) {
        self.list.version += 1;
        self.list.instances[at].state = state;
        self.answer_pending_reads(Kind::Instances);
    }

    /// Number of reads of the platform so far, with each watch counted once.
    pub(crate) fn reads(&self) -> usize {
        self.daemons.iter().map(|daemon| daemon.reads).sum()
    }

    /// Runs the simulation for the given time.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(Reverse((at, key))) = self.events.peek().copied() {
            if at > end {
                break;
            }
            self.events.pop();
            self.now = at;
            let event = self.pending_events.remove(&key).unwrap();
            self.handle_event(event);
        }
        self.now = end;
    }

    /// Runs until `done` returns true, for at most `max_time`. Returns the time it took, or
    /// `None` if it didn't happen.
    pub(crate) fn run_until(
        &mut self,
        max_time: Duration,
        done: impl Fn(&Simulation) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while self.now - start < max_time {
            if done(self) {
                return Some(self.now - start);
            }
            self.run(TICK);
        }
        done(self).then_some(max_time)
    }

    /// True if all running nodes hold the given document revision.
    pub(crate) fn all_at_revision(&self, revision: u64) -> bool {
        let mut running = self.daemons.iter().filter(|daemon| daemon.running);
        let held =
            |daemon: &SimulatedDaemon| daemon.node.document_stamp().map(|stamp| stamp.revision);
        running.all(|daemon| held(daemon) == Some(revision))
    }

    /// True if all nodes hold a document with the same stamp.
    pub(crate) fn all_agree(&self) -> bool {
        let first = self.daemons[0].node.document_stamp();
        self.daemons
            .iter()
            .all(|daemon| daemon.node.document_stamp() == first)
    }

    /// Number of other running, unfrozen nodes that assign one of `standings` to `about`.
    pub(crate) fn count_with_standing(&self, about: usize, standings: &[MemberStanding]) -> usize {
        let id = &self.daemons[about].id;
        let others = self.daemons.iter().enumerate();
        others
            .filter(|(at, daemon)| *at != about && daemon.running && !daemon.frozen)
            .filter_map(|(_, daemon)| daemon.node.standing(id))
            .filter(|standing| standings.contains(standing))
            .count()
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((self.now + after, self.sequence)));
        self.pending_events.insert(self.sequence, event);
    }

    fn handle_event(&mut self, event: Event) {
        let mut out = Outbox::default();
        match event {
            Event::Tick(at) => {
                self.schedule(TICK, Event::Tick(at));
                self.expire_watches(at);
                let daemon = &mut self.daemons[at];
                if daemon.running && !daemon.frozen {
                    daemon.node.tick(self.now, &mut out);
                }
                self.perform(at, out);
            }
            Event::Deliver { to, message } => {
                let daemon = &mut self.daemons[to];
                if daemon.frozen {
                    // Messages to a frozen node wait in its socket.
                    self.schedule(TICK, Event::Deliver { to, message });
                } else if daemon.running {
                    daemon.node.on_message(*message, self.now, &mut out);
                    self.perform(to, out);
                }
            }
            Event::Answer {
                to,
                restarts,
                answer,
            } => {
                let daemon = &mut self.daemons[to];
                if daemon.frozen {
                    self.schedule(
                        TICK,
                        Event::Answer {
                            to,
                            restarts,
                            answer,
                        },
                    );
                } else if daemon.running && daemon.restarts == restarts {
                    daemon.node.on_platform(answer, self.now, &mut out);
                    self.perform(to, out);
                }
            }
        }
    }

    pub(crate) fn perform(&mut self, at: usize, mut out: Outbox) {
        for action in out.drain() {
            match action {
                Action::Send { to, message } => self.transmit(at, to, &message),
                Action::ReadDocument(read) => self.read(at, Kind::Document, read),
                Action::ReadInstances(read) => self.read(at, Kind::Instances, read),
                Action::Alarm(alarm) => self.alarms.push(alarm),
                Action::ViewChanged => {}
            }
        }
        let daemon = &mut self.daemons[at];
        let held = daemon.node.document_stamp();
        assert!(
            held >= daemon.highest,
            "{}: document stamp decreased",
            daemon.id
        );
        daemon.highest = held;
    }

    /// Mean number of messages and bytes sent per node and second since `begin`.
    #[allow(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
    pub(crate) fn sent_rate_since(&self, begin: (usize, usize), seconds: f64) -> (f64, f64) {
        let rate = |count: usize| count as f64 / self.daemons.len() as f64 / seconds;
        (rate(self.sent.0 - begin.0), rate(self.sent.1 - begin.1))
    }

    fn transmit(&mut self, from: usize, to: SocketAddr, message: &Envelope) {
        self.sent.0 += 1;
        self.sent.1 += FRAME_HEADER_BYTES + message.encoded_len();
        let to = (0..self.daemons.len())
            .find(|at| address(*at) == to)
            .unwrap();
        if (self.is_cut)(from, to) || self.rng.random_bool(self.network.loss) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.network.duplication));
        for _ in 0..copies {
            let delay = self
                .network
                .max_delay
                .mul_f64(self.rng.random_range(0.1..1.0));
            let message = Box::new(message.clone());
            self.schedule(delay, Event::Deliver { to, message });
        }
    }

    fn read(&mut self, node: usize, kind: Kind, read: Read) {
        self.daemons[node].reads += 1;
        let restarts = self.daemons[node].restarts;
        self.pending_reads.push(PendingRead {
            node,
            restarts,
            kind,
            after: read.after,
            deadline: self.now + read.wait,
            is_lost: false,
        });
        self.answer_pending_reads(kind);
    }

    fn content(&self, kind: Kind) -> (u64, Bytes) {
        match kind {
            Kind::Instances => {
                let bytes = serde_json::to_vec(&self.list).unwrap();
                (self.list.version, bytes.into())
            }
            Kind::Document => {
                let bytes = self.document.clone().unwrap();
                // Invalid content has a revision too, in the platform's header.
                let revision = Document::parse(&bytes).map_or(u64::MAX, |d| d.revision.into());
                (revision, bytes)
            }
        }
    }

    fn answer_pending_reads(&mut self, kind: Kind) {
        let (revision, bytes) = self.content(kind);
        for pending in std::mem::take(&mut self.pending_reads) {
            let result = if !self.platform_up
                || pending.is_lost && pending.deadline + ANSWER_GRACE <= self.now
            {
                ReadResult::Failed
            } else if pending.is_lost {
                self.pending_reads.push(pending);
                continue;
            } else if pending.kind == kind
                && (self.platform_ignores_after || pending.after < Some(revision))
            {
                ReadResult::Content(bytes.clone())
            } else if pending.deadline <= self.now {
                ReadResult::Unchanged
            } else {
                self.pending_reads.push(pending);
                continue;
            };
            self.answer(&pending, result);
        }
    }

    fn expire_watches(&mut self, node: usize) {
        if self
            .pending_reads
            .iter()
            .any(|read| read.node == node && read.deadline <= self.now)
        {
            self.answer_pending_reads(Kind::Document);
        }
    }

    fn answer(&mut self, pending: &PendingRead, result: ReadResult) {
        let kind = pending.kind;
        let answer = PlatformAnswer { kind, result };
        let (to, restarts) = (pending.node, pending.restarts);
        self.schedule(
            Duration::from_millis(3),
            Event::Answer {
                to,
                restarts,
                answer,
            },
        );
    }
}
