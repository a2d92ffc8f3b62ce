//! Data centres cut from each other and from the platform, twice, in an overload.
//!
//! Data centre b holds one daemon, which calls nobody: the proxies in front of it are the
//! links between the two. Its own heartbeats still get out, but no state does, since a would
//! have to ask for it; so a learns of the cut from its calls alone.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use config::Document;
use futures_util::future::join_all;
use model::{Outcome, Revision};
use proof::{Habit, Link, Node, NodeSpec, Rig, Sender, Story, fleets, schedule, until};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use standin::{Call, Caller, Faults, Serving, TargetConfig};
use tokio::task::JoinHandle;

const DAEMON: &str = env!("CARGO_BIN_EXE_daemon-under-test");

/// Slots of one instance of caja.
const SLOTS: u32 = 4;
/// Callers in data centre a, more than both instances of caja have slots for.
const CROWD: u64 = 24;
/// Time that a read takes of its slot.
const HOLD: Duration = Duration::from_millis(30);
/// Answers by which a data centre shows that it serves.
const ENOUGH: u64 = 100;
/// Calls that may not be repeated, made while each state of the links lasts.
const STORIES: u64 = 12;
const PATIENCE: Duration = Duration::from_millis(500);

const IN_A: [&str; 2] = ["reservas-a1", "caja-a1"];
const IN_B: [&str; 1] = ["caja-b1"];

/// How links are cut.
#[derive(Clone, Copy)]
enum Cut {
    /// Connections are reset and refused.
    Refused,
    /// Bytes vanish.
    Silent,
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_side_serves_and_all_agree_after_healing() {
    let rig = start().await;
    let crowd = Callers::start(rig.node("reservas-a1").callers(), "a", CROWD);
    let own = Callers::start(rig.node("caja-b1").callers(), "b", 1);
    let mut stories = Vec::new();
    until_spilled(&rig).await;

    // The platform stays with a.
    cut(&rig, Cut::Refused, &IN_B);
    publish(&rig, 2);
    until_at(&rig, &IN_A, 2).await;
    until_held_apart(&rig).await;
    until_each_serves(&crowd, &own).await;
    stories.extend(play(&rig, 1).await);
    assert_eq!(revision(&rig, "caja-b1").await, Some(1));
    heal(&rig, Link::Control, &IN_B);
    until_at(&rig, &IN_B, 2).await;
    stories.extend(play(&rig, 2).await);
    heal(&rig, Link::Mesh, &IN_B);
    heal(&rig, Link::Platform, &IN_B);
    until_spilled(&rig).await;

    // The platform stays with b.
    cut(&rig, Cut::Silent, &IN_A);
    publish(&rig, 3);
    until_at(&rig, &IN_B, 3).await;
    until_held_apart(&rig).await;
    until_each_serves(&crowd, &own).await;
    stories.extend(play(&rig, 3).await);
    for id in IN_A {
        assert_eq!(revision(&rig, id).await, Some(2), "{id}");
    }
    heal(&rig, Link::Mesh, &IN_B);
    stories.extend(play(&rig, 4).await);
    heal(&rig, Link::Control, &IN_B);
    until_at(&rig, &IN_A, 3).await;
    // The platform that a comes back to is behind.
    rig.platform.serve(Serving::Reverted(Revision::from(1)));
    heal(&rig, Link::Platform, &IN_A);
    until_older_is_refused(&rig, &IN_A).await;
    until_spilled(&rig).await;
    until_each_serves(&crowd, &own).await;

    let unknown = own.stop().await;
    crowd.stop().await;
    assert_eq!(unknown, 0, "callers of b at b");
    assert_eq!(
        rig.node("caja-b1").target.shed_count(),
        0,
        "runs beyond slots"
    );
    let found = schedule::contradictions(&rig, &stories);
    assert!(found.is_empty(), "{}", found.join("\n"));
    let fates = schedule::fates(&stories);
    assert!(fates[0].1 > 0, "vacuous: {fates:?}");
    for node in rig.nodes() {
        assert_eq!(in_force(node), [1, 2, 3], "{}", node.spec.id());
    }
}

async fn start() -> Rig {
    let node = |service: &str, data_centre: &str, id: &str| {
        let target = TargetConfig::new(service, id, SLOTS as usize);
        let spec = NodeSpec::new(service, data_centre, id).target(target);
        [Link::Mesh, Link::Control, Link::Platform]
            .into_iter()
            .fold(spec, NodeSpec::through)
    };
    let builder = Rig::builder(DAEMON)
        .document(fleets::payments(SLOTS))
        .node(node("reservas", "norte-a", "reservas-a1"))
        .node(node("caja", "norte-a", "caja-a1"))
        .node(node("caja", "norte-b", "caja-b1"));
    builder.start().await.unwrap()
}

/// Cuts the data centres from each other, and one of them from the platform.
fn cut(rig: &Rig, how: Cut, without_platform: &[&str]) {
    let mesh = IN_B.iter().map(|id| (id, Link::Mesh));
    let control = IN_B.iter().map(|id| (id, Link::Control));
    let platform = without_platform.iter().map(|id| (id, Link::Platform));
    for (id, link) in mesh.chain(control).chain(platform) {
        let proxy = rig.proxy(id, link);
        match how {
            Cut::Refused => {
                proxy.set_refusing(true);
                proxy.reset_connections();
            }
            Cut::Silent => proxy.set_both(Faults {
                black_hole: true,
                ..Faults::default()
            }),
        }
    }
}

fn heal(rig: &Rig, link: Link, ids: &[&str]) {
    for id in ids {
        rig.proxy(id, link).heal();
    }
}

fn publish(rig: &Rig, revision: u64) {
    rig.platform.publish(&Document {
        revision: Revision::from(revision),
        ..fleets::payments(SLOTS)
    });
}

async fn revision(rig: &Rig, id: &str) -> Option<u64> {
    rig.status(id).await?["revision"].as_u64()
}

async fn until_at(rig: &Rig, ids: &[&str], expected: u64) {
    for id in ids {
        let what = format!("{id} has revision {expected} in force");
        until(&what, async || revision(rig, id).await == Some(expected)).await;
    }
}

async fn until_older_is_refused(rig: &Rig, ids: &[&str]) {
    for id in ids {
        let daemon = &rig.node(id).daemon;
        let refused = async || daemon.logged("platform answered with an older");
        until(&format!("{id} refuses what is older"), refused).await;
    }
}

/// Waits until b holds a for cut off.
async fn until_held_apart(rig: &Rig) {
    let apart = async || {
        let status = rig.status("caja-b1").await.unwrap_or_default();
        let members = status["members"].as_array().cloned().unwrap_or_default();
        let suspect = |id: &str| {
            let mut known = members.iter();
            known.any(|member| member["id"] == id && member["standing"] == "suspect")
        };
        IN_A.into_iter().all(suspect)
    };
    until("caja-b1 holds data centre a for suspect", apart).await;
}

/// Waits for further calls of the crowd that run in b.
async fn until_spilled(rig: &Rig) {
    let spilled = || {
        let runs = rig.ledger.runs_of("caja", "balance");
        let of_crowd =
            |run: &&standin::Run| run.instance == "caja-b1" && run.token.starts_with('a');
        runs.iter().filter(of_crowd).count()
    };
    let before = spilled();
    until("calls spill over from a to b", async || spilled() > before).await;
}

async fn until_each_serves(crowd: &Callers, own: &Callers) {
    for (callers, side) in [(crowd, "a"), (own, "b")] {
        let goal = callers.answered() + ENOUGH;
        let served = async || callers.answered() >= goal;
        until(&format!("{side} serves its own callers"), served).await;
    }
}

/// Calls that may not be repeated, by callers of all habits at daemons of both sides.
async fn play(rig: &Rig, seed: u64) -> Vec<Story> {
    let habits = [Habit::Keeps, Habit::Floods, Habit::Ignores, Habit::Restarts];
    let sender = Sender::new(PATIENCE);
    let entries: Vec<SocketAddr> = rig.nodes().iter().map(Node::callers).collect();
    let stories = (0..STORIES).zip(habits.into_iter().cycle());
    let played = stories.map(async |(number, habit)| {
        let key = format!("{seed}-{number}");
        let mut call = Call::new("caja", "charge", &key)
            .key(&key)
            .answer_bytes(200);
        call.deadline = Some(PATIENCE);
        let mut story = Story::new(seed, habit, call);
        let mut rng = SmallRng::seed_from_u64(seed * STORIES + number);
        story.play(&sender, &entries, &mut rng).await;
        story
    });
    join_all(played).await
}

/// The revisions that a daemon had in force, one after the other.
fn in_force(node: &Node) -> Vec<u64> {
    let number = |line: &String| {
        let (_, rest) = line.split_once("\"revision ")?;
        rest.split_once(" is in force")?.0.parse().ok()
    };
    node.daemon.log().iter().filter_map(number).collect()
}

/// Callers that read one after the other for as long as they are let.
struct Callers {
    shared: Arc<Shared>,
    tasks: Vec<JoinHandle<()>>,
}

#[derive(Default)]
struct Shared {
    stop: AtomicBool,
    answered: AtomicU64,
    unknown: AtomicU64,
}

impl Callers {
    fn start(entry: SocketAddr, name: &'static str, count: u64) -> Self {
        let shared = Arc::<Shared>::default();
        let caller = Caller::new();
        let call = |number: u64| {
            let (shared, caller) = (Arc::clone(&shared), caller.clone());
            tokio::spawn(async move { shared.read(&caller, entry, name, number).await })
        };
        let tasks = (0..count).map(call).collect();
        Callers { shared, tasks }
    }

    fn answered(&self) -> u64 {
        self.shared.answered.load(Ordering::Relaxed)
    }

    /// Ends them; returns the calls whose fate they don't know.
    async fn stop(self) -> u64 {
        self.shared.stop.store(true, Ordering::Relaxed);
        for task in self.tasks {
            task.await.unwrap();
        }
        self.shared.unknown.load(Ordering::Relaxed)
    }
}

impl Shared {
    async fn read(&self, caller: &Caller, entry: SocketAddr, name: &str, number: u64) {
        let mut sent = 0;
        while !self.stop.load(Ordering::Relaxed) {
            sent += 1;
            let token = format!("{name}-{number}-{sent}");
            let call = Call::new("caja", "balance", &token).answer_bytes(64);
            let told = caller.send(entry, &call.hold(HOLD)).await;
            match told.ok().and_then(|reply| reply.outcome()) {
                Some(Outcome::Answered) => self.answered.fetch_add(1, Ordering::Relaxed),
                Some(Outcome::NotRun) => {
                    // A polite caller comes back a little later.
                    tokio::time::sleep(HOLD).await;
                    continue;
                }
                Some(Outcome::Unknown) | None => self.unknown.fetch_add(1, Ordering::Relaxed),
            };
        }
    }
}
