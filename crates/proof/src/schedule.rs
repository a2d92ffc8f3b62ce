//! Seeded schedules: callers with their habits at daemons that break under them.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use standin::{Call, Downstream, Plan, TargetConfig};

use crate::breakage::{Breakage, LINKS, break_rig, mend};
use crate::fleets;
use crate::node::{Node, NodeSpec};
use crate::rig::Rig;
use crate::sender::Sender;
use crate::story::{Fate, Habit, Story};

/// Longest time that a caller waits for one answer.
const PATIENCE: Duration = Duration::from_millis(500);
/// Shortest and longest time in which a call is of use, in milliseconds.
const DEADLINE_MS: std::ops::Range<u64> = 50..400;
/// Longest time that a target runs, in milliseconds.
const MAX_HOLD_MS: u64 = 40;
const MAX_ANSWER_BYTES: usize = 4_000;
const MAX_BODY_BYTES: usize = 1_500;
const STORIES: u64 = 8;
const TARGET_SLOTS: usize = 160;

const OPERATIONS: [(&str, &str); 4] = [
    ("reservas", "deposit"),
    ("caja", "charge"),
    ("caja", "pledge"),
    ("caja", "invoice"),
];

/// Habits of callers, the likely one first.
const HABITS: [Habit; 6] = [
    Habit::Keeps,
    Habit::Keeps,
    Habit::Keeps,
    Habit::Floods,
    Habit::Ignores,
    Habit::Restarts,
];

/// Rigs among which schedules are shared out.
const RIGS: u64 = 4;
/// Time in which a daemon that is told to stop ends its work.
const GRACE: Duration = Duration::from_secs(1);

/// One instance each of reservas and caja in two data centres, with a proxy on each link.
///
/// # Errors
///
/// If a process or stand-in does not start.
pub async fn payments(program: &str, slots: u32) -> anyhow::Result<Rig> {
    let mut builder = Rig::builder(program).document(fleets::payments(slots));
    for letter in ["a", "b"] {
        for service in ["reservas", "caja"] {
            let id = format!("{service}-{letter}1");
            let spec = NodeSpec::new(service, &format!("norte-{letter}"), &id);
            let spec = LINKS.into_iter().fold(spec, NodeSpec::through);
            builder = builder.node(spec.grace(GRACE).target(target(service, &id)));
        }
    }
    builder.start().await
}

/// A deposit charges.
fn target(service: &str, id: &str) -> TargetConfig {
    let charge = Downstream {
        service: "caja".into(),
        operation: "charge".into(),
        answer_bytes: 300,
        repeatable: false,
    };
    let deposit = Plan {
        calls: vec![charge],
        ..Plan::default()
    };
    TargetConfig::new(service, id, TARGET_SLOTS).plan("deposit", deposit)
}

/// Plays so many schedules, and tells what contradicts the record of runs.
///
/// # Panics
///
/// If a rig does not start.
pub async fn run(
    program: &str,
    slots: u32,
    kinds: &[Breakage],
    schedules: u64,
) -> (Vec<Story>, Vec<String>) {
    let share = schedules.div_ceil(RIGS);
    let rigs = (0..RIGS).map(async |number| {
        let mut rig = payments(program, slots).await.expect("a rig that starts");
        let stories = play(&mut rig, kinds, number * share..(number + 1) * share).await;
        let found = contradictions(&rig, &stories);
        (stories, found)
    });
    let (stories, found): (Vec<_>, Vec<_>) = join_all(rigs).await.into_iter().unzip();
    (stories.concat(), found.concat())
}

/// Plays the schedules of these seeds one after another on one rig.
pub async fn play(rig: &mut Rig, kinds: &[Breakage], seeds: std::ops::Range<u64>) -> Vec<Story> {
    let mut stories = Vec::new();
    for seed in seeds {
        stories.extend(play_one(rig, kinds, seed).await);
    }
    stories
}

/// What contradicts the record of runs; judged after the last schedule, so that what
/// runs late is seen.
#[must_use]
pub fn contradictions(rig: &Rig, stories: &[Story]) -> Vec<String> {
    let judged = stories.iter().map(|s| s.contradictions(&rig.ledger));
    judged.flatten().collect()
}

/// How many callers were told each outcome in the end.
#[must_use]
pub fn fates(stories: &[Story]) -> [(Fate, usize); 3] {
    [Fate::Answered, Fate::NotRun, Fate::Unknown]
        .map(|fate| (fate, stories.iter().filter(|s| s.fate == fate).count()))
}

async fn play_one(rig: &mut Rig, kinds: &[Breakage], seed: u64) -> Vec<Story> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let entries: Vec<SocketAddr> = rig.nodes().iter().map(Node::callers).collect();
    let sender = Sender::new(PATIENCE);
    let mut stories: Vec<Story> = (0..STORIES).map(|n| random(seed, n, &mut rng)).collect();
    let mut playing: Vec<SmallRng> = stories
        .iter()
        .map(|_| SmallRng::seed_from_u64(rng.random()))
        .collect();
    let played = stories
        .iter_mut()
        .zip(&mut playing)
        .map(|(story, rng)| story.play(&sender, &entries, rng));
    let (ending, _) = tokio::join!(break_rig(rig, kinds, &mut rng), join_all(played));
    mend(rig, &ending).await;
    let settled = stories
        .iter_mut()
        .map(|story| story.settle(&sender, entries[rng.random_range(0..entries.len())]));
    join_all(settled).await;
    stories
}

fn random(seed: u64, number: u64, rng: &mut SmallRng) -> Story {
    let (service, operation) = OPERATIONS[rng.random_range(0..OPERATIONS.len())];
    let key = format!("{seed}-{number}");
    let mut call = Call::new(service, operation, &key)
        .key(&key)
        .answer_bytes(rng.random_range(1..MAX_ANSWER_BYTES))
        .hold(Duration::from_millis(rng.random_range(0..MAX_HOLD_MS)));
    call.deadline = Some(Duration::from_millis(rng.random_range(DEADLINE_MS)));
    call.body = vec![b'x'; rng.random_range(0..MAX_BODY_BYTES)].into();
    Story::new(seed, HABITS[rng.random_range(0..HABITS.len())], call)
}
