//! Processing time and memory of one node by the number of listed instances.
//!
//! `cargo bench -p fleet --bench scale`

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use config::{Document, Operation, Service};
use fleet::{
    Action, Instance, InstanceList, ListedState, Node, NodeConfig, Outbox, PlatformAnswer,
    ReadResult,
};
use model::{Class, Goal};
use prost::Message;
use wire::control::{Envelope, Kind};

const SERVICES: usize = 530;
const OPERATIONS: usize = 6;
const DATA_CENTRES: usize = 9;
const TICK: Duration = Duration::from_millis(100);
const REVISIONS: u64 = 100;
const LIST_CHANGES: u64 = 50;

fn main() {
    println!(
        "members  list kB  doc kB  list ms  doc ms  delta B  revision ms  list change ms  RSS MB"
    );
    for members in [1_000, 4_000, 16_000] {
        measure(members);
    }
}

fn measure(members: usize) {
    let mut list = InstanceList {
        version: 1,
        instances: (0..members).map(instance).collect(),
    };
    let rss_before = rss_kb();
    let start = Instant::now();
    let mut nodes = SourceAndReceiver::new(&list, start);
    let list_bytes = serde_json::to_vec(&list).expect("a list has a text form");
    let list_time = nodes.receiver_reads(Kind::Instances, list_bytes.clone().into());
    let document_bytes = document(1).to_bytes();
    let document_time = nodes.receiver_reads(Kind::Document, document_bytes.clone().into());
    let rss = rss_kb().saturating_sub(rss_before);
    nodes.source_reads(Kind::Instances, list_bytes.clone().into());
    nodes.source_reads(Kind::Document, document_bytes.clone().into());

    let mut revision_time = Duration::ZERO;
    let mut delta_bytes = 0;
    for revision in 2..2 + REVISIONS {
        let content = document(revision).to_bytes().into();
        let (time, bytes) = nodes.replicate(Kind::Document, content);
        revision_time += time;
        delta_bytes += bytes;
    }
    let mut change_time = Duration::ZERO;
    for version in 2..2 + LIST_CHANGES {
        list.version = version;
        list.instances.remove(members / 2);
        list.instances
            .push(instance(members + usize::try_from(version).unwrap_or(0)));
        list.instances.sort_by(|a, b| a.id.cmp(&b.id));
        let content = serde_json::to_vec(&list).expect("a list has a text form");
        change_time += nodes.replicate(Kind::Instances, content.into()).0;
    }
    println!(
        "{members:7}  {:7}  {:6}  {:7.1}  {:6.1}  {:7}  {:11.2}  {:14.2}  {:6.1}",
        list_bytes.len() / 1000,
        document_bytes.len() / 1000,
        ms(list_time),
        ms(document_time),
        delta_bytes / usize::try_from(REVISIONS).unwrap_or(1),
        ms(revision_time) / 100.0,
        ms(change_time) / 50.0,
        f64::from(rss) / 1000.0,
    );
}

/// A node that reads the platform and a peer that receives states from it.
struct SourceAndReceiver {
    source: Node,
    receiver: Node,
    out: Outbox,
    now: Instant,
}

impl SourceAndReceiver {
    fn new(list: &InstanceList, now: Instant) -> Self {
        let node = |at: usize| {
            let cfg = NodeConfig {
                id: list.instances[at].id.clone(),
                data_centre: list.instances[at].data_centre.clone(),
                control: list.instances[at].control,
                seeds: Vec::new(),
                expected_members: list.instances.len(),
                generation: 1,
                seed: 1,
            };
            Node::new(cfg, now)
        };
        SourceAndReceiver {
            source: node(0),
            receiver: node(DATA_CENTRES),
            out: Outbox::default(),
            now,
        }
    }

    fn receiver_reads(&mut self, kind: Kind, content: Bytes) -> Duration {
        let result = ReadResult::Content(content);
        let begin = Instant::now();
        let answer = PlatformAnswer { kind, result };
        self.receiver.on_platform(answer, self.now, &mut self.out);
        self.now += TICK;
        self.receiver.tick(self.now, &mut self.out);
        let time = begin.elapsed();
        self.take_first_message();
        time
    }

    fn source_reads(&mut self, kind: Kind, content: Bytes) -> Option<Envelope> {
        let result = ReadResult::Content(content);
        let answer = PlatformAnswer { kind, result };
        self.source.on_platform(answer, self.now, &mut self.out);
        self.take_first_message()
    }

    /// Replicates a state from the source to the receiver. Returns the receiver's processing
    /// time and the encoded size of the delta in bytes.
    fn replicate(&mut self, kind: Kind, content: Bytes) -> (Duration, usize) {
        let announcement = self.source_reads(kind, content).expect("an announcement");
        let begin = Instant::now();
        self.receiver
            .on_message(announcement, self.now, &mut self.out);
        let mut time = begin.elapsed();
        let pull = self.take_first_message().expect("a pull");
        self.source.on_message(pull, self.now, &mut self.out);
        let delta = self.take_first_message().expect("a delta");
        let bytes = delta.encoded_len();
        let begin = Instant::now();
        self.receiver.on_message(delta, self.now, &mut self.out);
        self.now += TICK;
        self.receiver.tick(self.now, &mut self.out);
        time += begin.elapsed();
        self.take_first_message();
        (time, bytes)
    }

    /// Returns the first message sent since the last call and discards the others.
    fn take_first_message(&mut self) -> Option<Envelope> {
        let mut messages = self.out.drain().filter_map(|action| match action {
            Action::Send { message, .. } => Some(*message),
            _ => None,
        });
        let first = messages.next();
        messages.for_each(drop);
        first
    }
}

fn instance(at: usize) -> Instance {
    let [_, b, c, d] = u32::try_from(at).unwrap_or(u32::MAX).to_be_bytes();
    let address = SocketAddr::from(([10, b, c, d], 4000));
    let service = format!("service{:03}", at % SERVICES);
    let data_centre = format!("dc{}", at % DATA_CENTRES);
    Instance {
        // Consecutive instances belong to different data centres.
        id: format!("{at:05}-{service}").as_str().into(),
        service: service.as_str().into(),
        data_centre: data_centre.as_str().into(),
        region: "norte".into(),
        callers: address,
        mesh: address,
        control: address,
        state: ListedState::Live,
    }
}

/// Returns a document in which a different service has fewer slots in each revision.
fn document(revision: u64) -> Document {
    let name = |service: usize| format!("service{service:03}");
    let operation = |service: usize, number: usize| Operation {
        name: format!("operation{number}").as_str().into(),
        class: Class::Standard,
        worth: 10,
        repeatable: true,
        entry: true,
        deadline_ms: 2000,
        objective_permille: 990,
        // Limits call chains to 20 services.
        calls: (service + 1..service + 3)
            .filter(|callee| *callee < SERVICES && callee / 20 == service / 20)
            .map(|callee| format!("{}/operation{number}", name(callee)))
            .collect(),
    };
    let changed = usize::try_from(revision).unwrap_or(0) % SERVICES;
    let service = |at: usize| Service {
        name: name(at).as_str().into(),
        slots: if at == changed { 80 } else { 160 },
        connections: 1000,
        refusal_means_not_run: false,
        operations: (0..OPERATIONS)
            .map(|number| operation(at, number))
            .collect(),
    };
    Document {
        revision: revision.into(),
        goal: Goal::Goodput,
        retry_budget: 3,
        retry_percent: 10,
        services: (0..SERVICES).map(service).collect(),
    }
}

fn ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}

fn rss_kb() -> u32 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|text| text.parse().ok()).unwrap_or(0)
}
