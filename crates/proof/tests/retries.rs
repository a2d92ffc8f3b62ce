//! One request's tries over its whole tree stay within its budget, whatever fails.

use std::collections::BTreeMap;
use std::time::Duration;

use config::Document;
use futures_util::future::join_all;
use model::{Class, Goal, Revision};
use proof::fleets::{calling, read, service};
use proof::{Link, NodeSpec, Rig, Signal, until};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use standin::{Call, Direction, Downstream, Faults, Plan, Reply, TargetConfig};
use tokio::net::TcpStream;

const DAEMON: &str = env!("CARGO_BIN_EXE_daemon-under-test");
const CHAIN: [&str; 4] = ["caja", "fleet", "reservas", "rutas"];
const BUDGET: u16 = 3;
const INSTANCES: usize = 2;
const SCHEDULES: u64 = 40;
const REQUESTS_IN_SCHEDULE: usize = 3;

/// Four services in a row; each but the last calls the next one twice.
fn document(retry_percent: u16, deadline_ms: u32) -> Document {
    let link = |position: usize| {
        let name = CHAIN[position];
        let operations = ["get", "list"].map(|operation| {
            let read = read(operation, Class::Standard, deadline_ms);
            match CHAIN.get(position + 1) {
                Some(next) => calling(read, &[&format!("{next}/get"), &format!("{next}/list")]),
                None => read,
            }
        });
        service(name, 1, 100, operations.to_vec())
    };
    Document {
        revision: Revision::from(1),
        goal: Goal::Goodput,
        retry_budget: BUDGET,
        retry_percent,
        services: (0..CHAIN.len()).map(link).collect(),
    }
}

fn instance(service: &str, number: usize) -> String {
    format!("{service}-{number}")
}

async fn rig(retry_percent: u16) -> Rig {
    start(document(retry_percent, 2_000)).await
}

async fn start(document: Document) -> Rig {
    let mut builder = Rig::builder(DAEMON).document(document);
    for (position, service) in CHAIN.into_iter().enumerate() {
        let calls = CHAIN.get(position + 1).map(|next| {
            ["get", "list"].map(|operation| Downstream {
                service: (*next).into(),
                operation: operation.into(),
                answer_bytes: 100,
                repeatable: true,
            })
        });
        let plan = Plan {
            answer_bytes: 100,
            calls: calls.map(Vec::from).unwrap_or_default(),
            ..Plan::default()
        };
        for number in 0..INSTANCES {
            let id = instance(service, number);
            let target = TargetConfig::new(service, &id, 20).default_plan(plan.clone());
            let spec = NodeSpec::new(service, "norte-a", &id).target(target);
            builder = builder.node(spec.through(Link::Mesh).through(Link::Target));
        }
    }
    builder.start().await.unwrap()
}

async fn send(rig: &Rig, call: &Call) -> Option<Reply> {
    let entry = rig.node(&instance(CHAIN[0], 0)).callers();
    rig.caller.send(entry, call).await.ok()
}

/// Further tries that each service's daemons made.
async fn retries(rig: &Rig) -> BTreeMap<&'static str, u64> {
    let mut counts = BTreeMap::new();
    for service in CHAIN {
        for number in 0..INSTANCES {
            let page = rig.admin(&instance(service, number), "metrics").await;
            let (_, text) = page.unwrap();
            let count = |line: &str| line.rsplit_once(' ')?.1.parse::<u64>().ok();
            let lines = text
                .lines()
                .filter(|line| line.starts_with("berylhead_retries"));
            *counts.entry(service).or_default() += lines.filter_map(count).sum::<u64>();
        }
    }
    counts
}

/// Makes all instances of a service refuse connections, and waits until they do.
async fn refuse(rig: &Rig, service: &str) {
    for number in 0..INSTANCES {
        let proxy = rig.proxy(&instance(service, number), Link::Mesh);
        proxy.set_refusing(true);
        let refused = async || TcpStream::connect(proxy.address()).await.is_err();
        until("connections are refused", refused).await;
        proxy.reset_connections();
    }
}

/// Waits until no target runs anything, so that the ledger is whole.
async fn until_idle(rig: &Rig) {
    let idle = async || rig.nodes().iter().all(|node| node.target.in_flight() == 0);
    until("all targets are idle", idle).await;
}

/// Most runs of one call of one request: a token names a call by its place in the tree.
fn most_runs(rig: &Rig, token: &str) -> usize {
    let mut counts: BTreeMap<_, usize> = BTreeMap::new();
    for run in rig.ledger.runs() {
        if run.token.split('.').next() == Some(token) {
            *counts.entry((run.token, run.operation)).or_default() += 1;
        }
    }
    counts.into_values().max().unwrap_or(0)
}

fn random_faults(rng: &mut SmallRng) -> Faults {
    let mut faults = Faults::default();
    match rng.random_range(0..4) {
        0 => faults.black_hole = true,
        1 => faults.truncate_after = Some(rng.random_range(0..200)),
        2 => faults.frozen = true,
        _ => faults.latency = Duration::from_millis(rng.random_range(1..20)),
    }
    faults
}

/// Breaks some links, at random; returns a daemon that was killed.
async fn break_some(rig: &Rig, rng: &mut SmallRng) -> Option<String> {
    for node in rig.nodes() {
        let link = [Link::Mesh, Link::Target][rng.random_range(0..2)];
        let proxy = rig.proxy(node.spec.id(), link);
        match rng.random_range(0..6) {
            0 => proxy.set_refusing(true),
            1 => proxy.set(Direction::Request, random_faults(rng)),
            2 => proxy.set(Direction::Response, random_faults(rng)),
            _ => {}
        }
        if rng.random() {
            proxy.reset_connections();
        }
    }
    let killed = rng.random_bool(0.3).then(|| {
        let service = CHAIN[rng.random_range(1..CHAIN.len())];
        instance(service, rng.random_range(0..INSTANCES))
    })?;
    rig.node(&killed).daemon.signal(Signal::Kill).await;
    Some(killed)
}

async fn mend(rig: &mut Rig, killed: Option<String>) {
    for node in rig.nodes() {
        for link in [Link::Mesh, Link::Target] {
            let proxy = rig.proxy(node.spec.id(), link);
            proxy.heal();
            proxy.reset_connections();
        }
    }
    if let Some(id) = killed {
        rig.restart(&id).await.unwrap();
        rig.until_ready(&id).await;
    }
}

#[tokio::test]
async fn tries_of_a_tree_stay_within_its_budget_under_faults() {
    let mut rig = rig(100).await;
    let mut retried = 0;
    for seed in 0..SCHEDULES {
        let mut rng = SmallRng::seed_from_u64(seed);
        let before: u64 = retries(&rig).await.into_values().sum();
        let killed = break_some(&rig, &mut rng).await;
        let tokens: Vec<String> = (0..REQUESTS_IN_SCHEDULE)
            .map(|n| format!("s{seed}-{n}"))
            .collect();
        let calls = tokens.iter().map(async |token| {
            let mut call = Call::new(CHAIN[0], "get", token).answer_bytes(100);
            call.deadline = Some(Duration::from_millis(150));
            send(&rig, &call).await
        });
        join_all(calls).await;
        // A daemon that was killed can no longer tell how often it tried.
        let counted = killed.is_none();
        mend(&mut rig, killed).await;
        until_idle(&rig).await;
        if counted {
            let after: u64 = retries(&rig).await.into_values().sum();
            let budget = u64::from(BUDGET) * REQUESTS_IN_SCHEDULE as u64;
            assert!(
                after - before <= budget,
                "seed {seed}: {} retries",
                after - before
            );
            retried += after - before;
        }
        for token in &tokens {
            let runs = most_runs(&rig, token);
            assert!(
                runs <= 1 + usize::from(BUDGET),
                "seed {seed}: {token} ran {runs} times"
            );
        }
    }
    assert!(retried > 0, "no call was tried again");
}

#[tokio::test]
async fn only_the_hop_next_to_the_failure_tries_again() {
    let rig = rig(100).await;
    let call = |token: &str| Call::new(CHAIN[0], "get", token).answer_bytes(100);
    assert!(
        send(&rig, &call("warm"))
            .await
            .unwrap()
            .answers(&call("warm"))
    );
    refuse(&rig, CHAIN[3]).await;
    let reply = send(&rig, &call("refused")).await.unwrap();
    assert_eq!(reply.summary(), "424 answered");
    let runs: Vec<_> = CHAIN
        .map(|service| {
            let runs = rig.ledger.runs_of(service, "get");
            runs.iter()
                .filter(|run| run.token.starts_with("refused"))
                .count()
        })
        .into();
    insta::assert_snapshot!(format!("tries again {:?}, runs {runs:?}", retries(&rig).await), @r#"tries again {"caja": 0, "fleet": 0, "reservas": 1, "rutas": 0}, runs [1, 1, 1, 0]"#);
}

#[tokio::test]
async fn a_target_that_loses_its_answers_is_tried_again_elsewhere() {
    let rig = rig(100).await;
    let mut told = Vec::new();
    for losing in [1, INSTANCES] {
        let lossy = Faults {
            truncate_after: Some(10),
            ..Faults::default()
        };
        for number in 0..losing {
            let proxy = rig.proxy(&instance(CHAIN[3], number), Link::Target);
            proxy.set(Direction::Response, lossy);
        }
        let before = retries(&rig).await[CHAIN[2]];
        // The choice of the first instance is random.
        let mut worst = 0;
        for n in 0..10 {
            let call = Call::new(CHAIN[2], "get", &format!("lost-{losing}-{n}")).answer_bytes(100);
            let entry = rig.node(&instance(CHAIN[2], 0)).callers();
            let reply = rig.caller.send(entry, &call).await.unwrap();
            told.push(reply.summary());
            worst = worst.max(most_runs(&rig, &call.token));
        }
        let tried = retries(&rig).await[CHAIN[2]] > before;
        told.dedup();
        told.push(format!(
            "{losing} losing: tried again {tried}, runs at most {worst}"
        ));
    }
    insta::assert_snapshot!(told.join("\n"), @r"
    200 answered
    1 losing: tried again true, runs at most 2
    424 answered
    2 losing: tried again true, runs at most 2
    ");
}

#[tokio::test]
async fn a_second_try_that_is_refused_does_not_make_the_first_not_run() {
    let rig = rig(100).await;
    let lossy = Faults {
        truncate_after: Some(10),
        ..Faults::default()
    };
    let [losing, unreachable] = [0, 1].map(|number| instance(CHAIN[3], number));
    rig.proxy(&losing, Link::Target)
        .set(Direction::Response, lossy);
    rig.proxy(&unreachable, Link::Target).set_refusing(true);
    let mut told = BTreeMap::new();
    for n in 0..20 {
        let call = Call::new(CHAIN[3], "get", &format!("both-{n}")).answer_bytes(100);
        let reply = send(&rig, &call).await.unwrap();
        let ran = most_runs(&rig, &call.token) > 0;
        *told.entry((reply.summary(), ran)).or_insert(0) += 1;
    }
    let told: Vec<_> = told.into_keys().collect();
    insta::assert_snapshot!(format!("{told:?}"), @r#"[("502 unknown broken", true)]"#);
}

#[tokio::test]
async fn a_refusal_for_overload_climbs_without_more_tries() {
    let rig = rig(100).await;
    let last: Vec<_> = (0..INSTANCES)
        .map(|n| rig.node(&instance(CHAIN[3], n)))
        .collect();
    for node in &last {
        node.target.hold();
    }
    // Each daemon runs as many as it has slots and lets eight wait.
    let (told, ()) = tokio::join!(
        join_all((0..60).map(async |n| {
            let mut call = Call::new(CHAIN[3], "get", &format!("f{n}")).answer_bytes(100);
            call.deadline = Some(Duration::from_secs(20));
            let entry = last[n % INSTANCES].callers();
            rig.caller.send(entry, &call).await.unwrap().summary()
        })),
        async {
            until("the queues are full", async || {
                let mut full = 0;
                for node in &last {
                    let status = rig.status(node.spec.id()).await;
                    full += usize::from(status.is_some_and(|status| status["queued"] == 8));
                }
                full == last.len()
            })
            .await;
            let mut call = Call::new(CHAIN[0], "get", "climbs").answer_bytes(100);
            // A repeat ranks below every first try that waits.
            call.attempt = Some(1);
            let reply = send(&rig, &call).await.unwrap();
            let body = String::from_utf8(reply.body.unwrap().to_vec()).unwrap();
            assert_eq!(
                (reply.status.as_u16(), body.as_str()),
                (424, "424 answered")
            );
            for node in &last {
                node.target.release();
            }
        }
    );
    assert!(told.iter().any(|told| told == "429 not-run overloaded"));
    insta::assert_snapshot!(format!("{:?}", retries(&rig).await), @r#"{"caja": 0, "fleet": 0, "reservas": 0, "rutas": 0}"#);
}

#[tokio::test]
async fn an_edge_adds_no_more_than_its_share() {
    const FIRST_TRIES: u64 = 100;
    let rig = rig(10).await;
    refuse(&rig, CHAIN[1]).await;
    for n in 0..FIRST_TRIES {
        let call = Call::new(CHAIN[1], "get", &format!("e{n}")).answer_bytes(100);
        let reply = send(&rig, &call).await.unwrap();
        assert_eq!(reply.summary(), "503 not-run no-instance");
    }
    let made = retries(&rig).await[CHAIN[0]];
    assert!((1..=FIRST_TRIES / 10 + 1).contains(&made), "{made} retries");
}

#[tokio::test]
async fn an_edge_that_sheds_carries_no_retries() {
    // What fills the instance must not run out of time before the proof is through.
    let rig = start(document(100, 60_000)).await;
    let [full, alone] = [0, 1].map(|number| instance(CHAIN[1], number));
    let target = &rig.node(&full).target;
    target.hold();
    let filling = join_all((0..9).map(async |n| {
        let call = Call::new(CHAIN[1], "get", &format!("f{n}")).answer_bytes(100);
        rig.caller.send(rig.node(&full).callers(), &call).await
    }));
    let repeat = async |n: usize| {
        let mut call = Call::new(CHAIN[1], "get", &format!("r{n}")).answer_bytes(100);
        call.attempt = Some(1);
        send(&rig, &call).await.unwrap().summary()
    };
    let sheds = async {
        until("the queue is full", async || {
            let status = rig.status(&full).await;
            status.is_some_and(|status| status["queued"] == 8)
        })
        .await;
        let sheds = async || repeat(0).await == "429 not-run overloaded";
        until("the edge sheds", sheds).await;
        let before = retries(&rig).await[CHAIN[0]];
        // Reading the counts took longer than an edge remembers that it sheds.
        until("the edge sheds", sheds).await;
        // The other daemon lives, and refuses for want of its target: not run, and tried
        // again elsewhere unless the edge sheds.
        let refused = rig.proxy(&alone, Link::Target);
        refused.set_refusing(true);
        refused.reset_connections();
        until("a call ends there", async || {
            repeat(0).await == "503 not-run no-instance"
        })
        .await;
        assert_eq!(retries(&rig).await[CHAIN[0]], before);
        target.release();
    };
    tokio::join!(filling, sheds);
}

#[tokio::test]
async fn a_call_without_a_known_parent_is_not_tried_again() {
    let rig = rig(100).await;
    refuse(&rig, CHAIN[1]).await;
    let local = rig.node(&instance(CHAIN[0], 0)).daemon.bound().local;
    let call = Call::new(CHAIN[1], "get", "orphan").answer_bytes(100);
    let reply = rig.caller.send(local, &call).await.unwrap();
    assert_eq!(reply.summary(), "503 not-run no-instance");
    assert_eq!(retries(&rig).await[CHAIN[0]], 0);
}

#[tokio::test]
async fn calls_made_at_once_share_one_budget() {
    let rig = rig(100).await;
    let node = rig.node(&instance(CHAIN[0], 0));
    node.target.hold();
    refuse(&rig, CHAIN[1]).await;
    let root = Call::new(CHAIN[0], "get", "fan").answer_bytes(100);
    let fan_out = async {
        until("the run has begun", async || node.target.in_flight() == 1).await;
        until("it is in the ledger", async || {
            !rig.ledger.runs().is_empty()
        })
        .await;
        let root = rig.ledger.runs()[0].root.clone().unwrap();
        let children = (0..12).map(async |n| {
            let operation = ["get", "list"][n % 2];
            let mut call = Call::new(CHAIN[1], operation, &format!("c{n}"));
            // The first run of a daemon has the first number.
            call.request_id = Some(format!("{root}.{:016x}", 1).into());
            let local = node.daemon.bound().local;
            rig.caller.send(local, &call).await.unwrap().summary()
        });
        let told = join_all(children).await;
        assert!(
            told.iter().all(|told| told == "503 not-run no-instance"),
            "{told:?}"
        );
        node.target.release();
    };
    tokio::join!(send(&rig, &root), fan_out);
    assert_eq!(retries(&rig).await[CHAIN[0]], u64::from(BUDGET));
}

#[tokio::test]
async fn repeats_of_callers_wait_behind_first_tries() {
    let rig = rig(100).await;
    let node = rig.node(&instance(CHAIN[3], 0));
    node.target.hold();
    let offer = async |token: &str, attempt| {
        let mut call = Call::new(CHAIN[3], "get", token).answer_bytes(100);
        call.attempt = attempt;
        rig.caller.send(node.callers(), &call).await.unwrap()
    };
    let waiting = async |count: u64| {
        let queued = async || {
            rig.status(node.spec.id())
                .await
                .is_some_and(|s| s["queued"] == count)
        };
        until("calls wait", queued).await;
    };
    tokio::join!(offer("running", Some(0)), async {
        until("one runs", async || node.target.in_flight() == 1).await;
        tokio::join!(offer("repeat", Some(1)), async {
            waiting(1).await;
            tokio::join!(offer("first-try", Some(0)), async {
                waiting(2).await;
                node.target.release();
            })
        })
    });
    let order: Vec<_> = rig.ledger.runs().into_iter().map(|run| run.token).collect();
    insta::assert_snapshot!(order.join(", "), @"running, first-try, repeat");
}

#[tokio::test]
async fn refused_callers_are_asked_to_come_back_at_different_times() {
    let rig = rig(100).await;
    let node = rig.node(&instance(CHAIN[3], 0));
    let call = |n: usize| Call::new(CHAIN[3], "get", &format!("j{n}")).answer_bytes(100);
    // The drain time comes from measured runs.
    let slow = call(0).hold(Duration::from_millis(100));
    rig.caller.send(node.callers(), &slow).await.unwrap();
    node.target.hold();
    let calls = (1..60).map(async |n| {
        let reply = rig.caller.send(node.callers(), &call(n)).await.unwrap();
        let refused = reply.reason() == "overloaded";
        refused.then(|| reply.retry_after().unwrap())
    });
    let release = async {
        until("the queue is full", async || {
            rig.status(node.spec.id())
                .await
                .is_some_and(|s| s["queued"] == 8)
        })
        .await;
        node.target.release();
    };
    let (told, ()) = tokio::join!(join_all(calls), release);
    let mut told: Vec<Duration> = told.into_iter().flatten().collect();
    told.sort();
    let least = *told.first().unwrap();
    let most = *told.last().unwrap();
    told.dedup();
    assert!(told.len() >= 20, "{told:?}");
    // From half to one and a half of the time in which nine calls of 100 ms end in one slot.
    assert!(least >= Duration::from_millis(450), "{least:?}");
    assert!(
        most <= 3 * least + Duration::from_millis(3),
        "{least:?} to {most:?}"
    );
}
