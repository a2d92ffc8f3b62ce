//! Whole answers to their own callers: byte for byte or an error, whatever breaks.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use http_body_util::BodyExt;
use proof::{Link, Rig, Signal, until};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use standin::{
    Call, Caller, Direction, Downstream, FaultProxy, Faults, Plan, RunEnd, TargetConfig,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const DAEMON: &str = env!("CARGO_BIN_EXE_daemon-under-test");
const FAULT_SCHEDULES: u64 = 24;
const CALLS_IN_SCHEDULE: usize = 24;
const LARGE_BYTES: usize = 300_000;
const PACK_BYTES: usize = 24 * 1024 * 1024;
const SLOW_READERS: usize = 40;
const MEMORY_FOR_READERS: u64 = 16 * 1024 * 1024;
const LINKS: [Link; 3] = [Link::Callers, Link::Mesh, Link::Target];

/// Route packs at rutas, entered there or at reservas, with a proxy on each link.
async fn rig() -> Rig {
    Rig::pair(DAEMON, ["rutas", "reservas"], &LINKS, |target| target)
        .await
        .unwrap()
}

fn entries(rig: &Rig) -> Vec<SocketAddr> {
    rig.nodes().iter().map(proof::Node::callers).collect()
}

fn random_call(rng: &mut SmallRng, token: &str) -> Call {
    let most = if rng.random_bool(0.3) {
        LARGE_BYTES
    } else {
        2_000
    };
    let call = Call::new("rutas", "pack", token)
        .answer_bytes(rng.random_range(1..most))
        .hold(Duration::from_millis(rng.random_range(0..20)));
    if rng.random() { call.chunked() } else { call }
}

/// Sends all calls at once; returns how many were answered whole.
async fn send_all(caller: &Caller, entries: &[SocketAddr], calls: &[Call]) -> usize {
    let sent = calls.iter().enumerate().map(async |(position, call)| {
        let entry = entries[position % entries.len()];
        let Ok(reply) = caller.send(entry, call).await else {
            return false;
        };
        let whole = reply.answers(call);
        assert!(
            whole || !reply.is_complete_success(),
            "not its own whole answer: {call:?}"
        );
        whole
    });
    join_all(sent)
        .await
        .into_iter()
        .filter(|whole| *whole)
        .count()
}

#[tokio::test]
async fn concurrent_callers_get_their_own_answers() {
    let rig = rig().await;
    let mut rng = SmallRng::seed_from_u64(1);
    let calls: Vec<Call> = (0..150)
        .map(|n| random_call(&mut rng, &format!("t{n}")))
        .collect();
    let whole = send_all(&rig.caller, &entries(&rig), &calls).await;
    assert_eq!(whole, calls.len());
}

#[tokio::test]
async fn under_faults_an_answer_is_whole_or_an_error() {
    let rig = rig().await;
    let mut broken = 0;
    for seed in 0..FAULT_SCHEDULES {
        let mut rng = SmallRng::seed_from_u64(seed);
        let calls: Vec<Call> = (0..CALLS_IN_SCHEDULE)
            .map(|n| random_call(&mut rng, &format!("s{seed}-{n}")))
            .collect();
        let entries = entries(&rig);
        let (whole, ()) = tokio::join!(
            send_all(&rig.caller, &entries, &calls),
            break_links(&rig, &mut rng)
        );
        broken += calls.len() - whole;
    }
    assert!(broken > 0, "no fault was met");
    // Nothing that an earlier schedule left behind may reach a later caller.
    let call = Call::new("rutas", "pack", "last").answer_bytes(LARGE_BYTES);
    let answered = async || {
        send_all(
            &Caller::unpooled(),
            &entries(&rig),
            std::slice::from_ref(&call),
        )
        .await
            == 1
    };
    until("an answer after the last fault", answered).await;
}

/// A target holds the answers that it gets through its daemon against what it asked for.
#[tokio::test]
async fn under_faults_a_target_gets_its_own_answers_from_others() {
    let balance = Downstream {
        service: "caja".into(),
        operation: "balance".into(),
        answer_bytes: 40_000,
        repeatable: true,
    };
    let calls = Plan {
        calls: vec![balance.clone(), balance],
        ..Plan::default()
    };
    let plan = |target: TargetConfig| target.plan("quote", calls.clone());
    let rig = Rig::pair(DAEMON, ["reservas", "caja"], &LINKS, plan)
        .await
        .unwrap();
    let mut answered = 0;
    for seed in 0..FAULT_SCHEDULES {
        let mut rng = SmallRng::seed_from_u64(seed);
        let calls: Vec<Call> = (0..CALLS_IN_SCHEDULE)
            .map(|n| Call::new("reservas", "quote", &format!("q{seed}-{n}")).answer_bytes(500))
            .collect();
        let entries = entries(&rig);
        let (whole, ()) = tokio::join!(
            send_all(&rig.caller, &entries, &calls),
            break_links(&rig, &mut rng)
        );
        answered += whole;
    }
    let asked = usize::try_from(FAULT_SCHEDULES).unwrap() * CALLS_IN_SCHEDULE;
    assert!(0 < answered && answered < asked, "{answered} of {asked}");
    assert_eq!(rig.ledger.mismatches(), Vec::<String>::new());
}

/// Breaks links at random for as long as the callers of one schedule may run.
async fn break_links(rig: &Rig, rng: &mut SmallRng) {
    for _ in 0..6 {
        let node = &rig.nodes()[rng.random_range(0..2)];
        let link = LINKS[rng.random_range(0..LINKS.len())];
        let proxy = rig.proxy(node.spec.id(), link);
        proxy.set_both(random_faults(rng));
        tokio::time::sleep(Duration::from_millis(rng.random_range(1..15))).await;
        if rng.random() {
            proxy.reset_connections();
        }
    }
    // Thawed and healed, so that the schedule ends; lost bytes end as resets.
    for node in rig.nodes() {
        for link in LINKS {
            rig.proxy(node.spec.id(), link).heal();
        }
    }
}

fn random_faults(rng: &mut SmallRng) -> Faults {
    let mut faults = Faults {
        latency: Duration::from_millis(rng.random_range(0..5)),
        jitter: Duration::from_millis(rng.random_range(0..5)),
        ..Faults::default()
    };
    match rng.random_range(0..4) {
        0 => faults.truncate_after = Some(rng.random_range(1..100_000)),
        1 => faults.throttle = Some(rng.random_range(500_000..5_000_000)),
        2 => faults.frozen = true,
        _ => faults.black_hole = true,
    }
    faults
}

#[tokio::test]
async fn an_answer_cut_anywhere_never_passes_for_whole() {
    let rig = rig().await;
    let cuts = [
        1, 17, 120, 200, 260, 320, 400, 16_000, 16_384, 20_000, 32_768, 49_000,
    ];
    for link in LINKS {
        for (number, cut) in cuts.into_iter().enumerate() {
            let proxy = rig.proxy("rutas-a1", link);
            let truncate_after = Some(cut);
            proxy.set(
                Direction::Response,
                Faults {
                    truncate_after,
                    ..Faults::default()
                },
            );
            proxy.reset_connections();
            let call =
                Call::new("rutas", "pack", &format!("{link:?}-{number}")).answer_bytes(50_000);
            let calls = [call.clone(), call.chunked()];
            let whole = send_all(&Caller::unpooled(), &entries(&rig)[..1], &calls).await;
            assert!(whole == 0 || link == Link::Mesh, "{link:?} cut after {cut}");
            proxy.heal();
        }
    }
}

#[tokio::test]
async fn a_late_answer_reaches_nobody_else() {
    let rig = rig().await;
    let calls: Vec<Call> = (0..60)
        .map(|n| {
            let mut call = Call::new("rutas", "pack", &format!("t{n}")).answer_bytes(1_000 + n);
            if n % 2 == 0 {
                call = call.hold(Duration::from_millis(200));
                call.deadline = Some(Duration::from_millis(50));
            }
            call
        })
        .collect();
    let (late, prompt): (Vec<Call>, Vec<Call>) =
        calls.into_iter().partition(|call| call.deadline.is_some());
    let entries = entries(&rig);
    for prompt in prompt.chunks(10) {
        let (of_late, of_prompt) = tokio::join!(
            send_all(&rig.caller, &entries, &late),
            send_all(&rig.caller, &entries, prompt)
        );
        assert_eq!((of_late, of_prompt), (0, prompt.len()));
    }
}

#[tokio::test]
async fn slow_readers_of_packs_do_not_fill_the_daemons() {
    let rig = rig().await;
    let rutas = &rig.node("rutas-a1").daemon;
    let reservas = &rig.node("reservas-a1").daemon;
    let before = [
        rutas.resident_bytes().unwrap(),
        reservas.resident_bytes().unwrap(),
    ];
    let mut open = Vec::new();
    for number in 0..SLOW_READERS {
        let call = Call::new("rutas", "pack", &format!("p{number}")).answer_bytes(PACK_BYTES);
        let entry = entries(&rig)[number % 2];
        let mut response = rig.caller.open(entry, &call).await.unwrap();
        let first = response.body_mut().frame().await.unwrap().unwrap();
        open.push((call, first.into_data().unwrap().to_vec(), response));
    }
    let after = [
        rutas.resident_bytes().unwrap(),
        reservas.resident_bytes().unwrap(),
    ];
    for (before, after) in before.into_iter().zip(after) {
        let grown = after.saturating_sub(before);
        assert!(grown < MEMORY_FOR_READERS, "grown by {grown} bytes");
    }
    let (call, mut body, response) = open.pop().unwrap();
    let rest = response.into_body().collect().await.unwrap().to_bytes();
    body.extend_from_slice(&rest);
    assert!(body == call.expected());
    drop(open);
    let target = &rig.node("rutas-a1").target;
    until("the other packs are cancelled", async || {
        target.in_flight() == 0
    })
    .await;
    let cancelled =
        |run: &&standin::Run| run.ended.is_some_and(|(_, end)| end == RunEnd::Cancelled);
    assert!(rig.ledger.runs().iter().filter(cancelled).count() > 0);
}

#[tokio::test]
async fn a_caller_that_leaves_during_the_body_cancels_the_run() {
    let rig = rig().await;
    let proxy = rig.proxy("rutas-a1", Link::Target);
    let target = &rig.node("rutas-a1").target;
    for stalled in [false, true] {
        for entry in entries(&rig) {
            proxy.set(Direction::Response, throttled());
            let mut stream = ask_for_pack(entry).await;
            proxy.set(
                Direction::Response,
                Faults {
                    frozen: stalled,
                    ..throttled()
                },
            );
            stream.set_zero_linger().unwrap();
            stream.read_exact(&mut [0; 100]).await.unwrap();
            drop(stream);
            until("the run is cancelled", async || target.in_flight() == 0).await;
        }
    }
}

#[tokio::test]
async fn an_entry_daemon_that_dies_during_a_stalled_body_cancels_the_run() {
    let rig = rig().await;
    let proxy = rig.proxy("rutas-a1", Link::Target);
    proxy.set(Direction::Response, throttled());
    let entry = rig.node("reservas-a1");
    let _stream = ask_for_pack(entry.callers()).await;
    let frozen = Faults {
        frozen: true,
        ..Faults::default()
    };
    proxy.set(Direction::Response, frozen);
    entry.daemon.signal(Signal::Kill).await;
    let target = &rig.node("rutas-a1").target;
    until("the run is cancelled", async || target.in_flight() == 0).await;
}

fn throttled() -> Faults {
    Faults {
        throttle: Some(1_000_000),
        ..Faults::default()
    }
}

/// Asks for a pack, and returns when the first part of its answer is there.
async fn ask_for_pack(to: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(to).await.unwrap();
    let req = format!("GET /rutas/pack?token=p&bytes={PACK_BYTES} HTTP/1.1\r\nhost: a\r\n\r\n");
    stream.write_all(req.as_bytes()).await.unwrap();
    stream.read_exact(&mut [0; 1_000]).await.unwrap();
    stream
}

/// The proxies are the instrument of these proofs; they must be met at all.
#[tokio::test]
async fn every_link_goes_through_its_proxy() {
    let rig = rig().await;
    let call = Call::new("rutas", "pack", "t").answer_bytes(10);
    let whole = send_all(&rig.caller, &entries(&rig), &[call.clone(), call]).await;
    assert_eq!(whole, 2);
    let opened = |id, link| FaultProxy::opened(rig.proxy(id, link));
    let met = LINKS.map(|link| opened("rutas-a1", link) > 0);
    assert_eq!(met, [true; 3]);
}
