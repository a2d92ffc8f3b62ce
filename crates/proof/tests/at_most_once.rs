//! At most once: whatever breaks and however often it is sent, a key runs once or not.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use futures_util::future::join_all;
use proof::breakage::EVERYTHING;
use proof::{CAP, Link, Rig, Send, Sender, Signal, Told, schedule, until};
use smol_str::SmolStr;
use standin::{Call, Caller};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

const DAEMON: &str = env!("CARGO_BIN_EXE_daemon-under-test");
const SLOTS: u32 = 40;
/// Schedules in the suite; `BERYLHEAD_SCHEDULES` asks for another number.
const SCHEDULES: u64 = 200;

fn schedules() -> u64 {
    let asked = std::env::var("BERYLHEAD_SCHEDULES").ok();
    asked.map_or(SCHEDULES, |text| text.parse().expect("a number"))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn no_schedule_of_faults_runs_a_key_twice() {
    let (stories, contradictions) = schedule::run(DAEMON, SLOTS, &EVERYTHING, schedules()).await;
    assert!(contradictions.is_empty(), "{}", contradictions.join("\n"));
    let fates = schedule::fates(&stories);
    println!("{} callers: {fates:?}", stories.len());
    assert!(
        fates.iter().all(|(_, count)| *count > 0),
        "vacuous: {fates:?}"
    );
}

/// A charge under a key.
fn charge(key: &str) -> Call {
    Call::new("caja", "charge", key).key(key).answer_bytes(200)
}

/// Sends once from a caller that waits for as long as it takes.
async fn send(
    rig: &Rig,
    entry: &str,
    call: &Call,
    ticket: Option<&str>,
    attempt: Option<u16>,
) -> Told {
    let send = Send {
        call,
        ticket,
        attempt,
    };
    let to = rig.node(entry).callers();
    Sender::new(CAP).send(to, &send).await
}

/// Obtains a ticket for a call; returns it with the instance that issued it.
async fn obtain(rig: &Rig, entry: &str, call: &Call) -> (String, String) {
    let told = send(rig, entry, call, Some("issue"), None).await;
    let Told::NotRun {
        next: Some(text), ..
    } = told
    else {
        panic!("{told:?}");
    };
    let ticket: ticket::Ticket = text.parse().unwrap();
    (text.to_string(), ticket.instance().to_string())
}

fn unknown(why: &str) -> Told {
    Told::Unknown { why: why.into() }
}

#[tokio::test]
async fn another_process_does_not_run_a_ticket() {
    let mut rig = schedule::payments(DAEMON, SLOTS).await.unwrap();
    let call = charge("a");
    let (ticket, issuer) = obtain(&rig, "reservas-a1", &call).await;
    let told = send(&rig, "reservas-b1", &call, Some(&ticket), Some(0)).await;
    assert_eq!(told, Told::Answered { own: true });

    // Another instance answers at the issuer's address.
    let other = ["caja-a1", "caja-b1"]
        .into_iter()
        .find(|id| *id != issuer)
        .unwrap();
    let mesh = rig.node(other).daemon.bound().mesh;
    rig.proxy(&issuer, Link::Mesh).set_upstream(mesh);
    rig.proxy(&issuer, Link::Mesh).reset_connections();
    let told = send(&rig, "reservas-a1", &call, Some(&ticket), Some(1)).await;
    assert!(matches!(told, Told::Unknown { .. }), "{told:?}");

    // Another process of the same instance answers there.
    rig.node(&issuer).daemon.signal(Signal::Kill).await;
    rig.restart(&issuer).await.unwrap();
    rig.until_ready(&issuer).await;
    let told = send(&rig, &issuer, &call, Some(&ticket), Some(1)).await;
    assert_eq!(told, unknown("502 superseded"));
    assert_eq!(rig.ledger.count_of_key("a"), 1);
}

#[tokio::test]
async fn a_paused_issuer_runs_late_or_never_but_once() {
    let rig = schedule::payments(DAEMON, SLOTS).await.unwrap();
    let mut call = charge("p");
    let (ticket, issuer) = obtain(&rig, "reservas-a1", &call).await;
    rig.node(&issuer).daemon.signal(Signal::Stop).await;
    call.deadline = Some(Duration::from_millis(100));
    for (attempt, entry) in (0..).zip(["reservas-a1", "reservas-b1", "reservas-a1"]) {
        let told = send(&rig, entry, &call, Some(&ticket), Some(attempt)).await;
        assert!(matches!(told, Told::Unknown { .. }), "{told:?}");
    }
    rig.node(&issuer).daemon.signal(Signal::Continue).await;
    rig.until_ready(&issuer).await;
    call.deadline = None;
    let settled = async || {
        let told = send(&rig, &issuer, &call, Some(&ticket), None).await;
        match told {
            Told::Answered { .. } => rig.ledger.count_of_key("p") == 1,
            Told::NotRun { .. } => rig.ledger.count_of_key("p") == 0,
            _ => false,
        }
    };
    until("the fate of the call", settled).await;
}

#[tokio::test]
async fn a_stale_pooled_connection_sends_nothing_twice() {
    let rig = schedule::payments(DAEMON, SLOTS).await.unwrap();
    let mut told_counts = [0; 3];
    for number in 0..30 {
        // The mesh connections that this one leaves in the pools are stale at the next.
        let key = format!("stale-{number}");
        let call = charge(&key);
        let (ticket, issuer) = obtain(&rig, "reservas-a1", &call).await;
        rig.proxy(&issuer, Link::Mesh).reset_connections();
        rig.proxy(&issuer, Link::Target).reset_connections();
        let told = send(&rig, "reservas-a1", &call, Some(&ticket), Some(0)).await;
        let runs = rig.ledger.count_of_key(&key);
        let (position, honest) = match told {
            Told::Answered { own } => (0, own && runs == 1),
            Told::NotRun { .. } => (1, runs == 0),
            _ => (2, runs <= 1),
        };
        told_counts[position] += 1;
        assert!(honest, "{key}: {told:?}, {runs} runs");
    }
    println!("answered, not run, unknown: {told_counts:?}");
    assert!(rig.ledger.repeated().is_empty());
}

#[tokio::test]
async fn a_caller_without_tickets_runs_nothing_wherever_it_repeats() {
    let rig = schedule::payments(DAEMON, SLOTS).await.unwrap();
    let entries = ["reservas-a1", "reservas-b1", "caja-a1", "caja-b1"];
    for attempt in [None, Some(0), Some(3)] {
        for entry in entries {
            let told = send(&rig, entry, &charge("n"), None, attempt).await;
            let required = matches!(&told, Told::NotRun { why, next: Some(_) } if why == "428 ticket-required");
            assert!(required, "{told:?}");
        }
    }
    assert!(rig.ledger.runs().is_empty());
}

/// In a calm fleet the owner of the key gives a caller that starts over its earlier answer.
/// That is a convenience: once the owner is gone, the new ticket runs.
#[tokio::test]
async fn a_caller_that_starts_over_runs_once_for_each_owner_of_its_key() {
    let mut rig = schedule::payments(DAEMON, SLOTS).await.unwrap();
    let call = charge("s");
    let (ticket, issuer) = obtain(&rig, "reservas-a1", &call).await;
    let (again, _) = obtain(&rig, "caja-b1", &call).await;
    assert_eq!(ticket, again);
    let told = send(&rig, "caja-a1", &call, Some(&ticket), Some(0)).await;
    assert_eq!(told, Told::Answered { own: true });
    for entry in ["reservas-a1", "reservas-b1", "caja-a1", "caja-b1"] {
        let told = send(&rig, entry, &call, None, None).await;
        assert_eq!(told, Told::Answered { own: true });
    }
    assert_eq!(rig.ledger.count_of_key("s"), 1);

    rig.remove(&issuer);
    rig.until_knows("reservas-a1", 3).await;
    let (another, _) = obtain(&rig, "reservas-a1", &call).await;
    let told = send(&rig, "reservas-a1", &call, Some(&another), Some(0)).await;
    assert_eq!(told, Told::Answered { own: true });
    assert_eq!(rig.ledger.count_of_key("s"), 2);
}

/// A target that makes its call at once, again at the same time, and again after that;
/// then it answers, and tells the id that it was given and what it was told.
async fn repeating_target(
    egress: SocketAddr,
) -> (SocketAddr, mpsc::Receiver<(SmolStr, Vec<String>)>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let (tx, rx) = mpsc::channel(1);
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await.unwrap());
        }
        let head = String::from_utf8(head).unwrap();
        let id = head
            .lines()
            .find_map(|line| line.strip_prefix("berylhead-request-id: "));
        let id = SmolStr::new(id.unwrap());
        let at_once = join_all((0..3).map(|_| from_target(egress, "own.0", Some(&id)))).await;
        let fits = |told: &String| ["200 answered", "409 unknown running"].contains(&told.as_str());
        assert!(at_once.iter().all(fits), "{at_once:?}");
        let mut told = Vec::new();
        told.push(from_target(egress, "own.0", Some(&id)).await);
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
        stream.write_all(answer).await.unwrap();
        tx.send((id, told)).await.unwrap();
    });
    (address, rx)
}

async fn from_target(egress: SocketAddr, key: &str, id: Option<&str>) -> String {
    let mut call = charge(key).hold(Duration::from_millis(100));
    call.request_id = id.map(SmolStr::new);
    let reply = Caller::unpooled().send(egress, &call).await.unwrap();
    reply.summary()
}

#[tokio::test]
async fn a_target_that_repeats_its_own_call_makes_it_once() {
    let rig = schedule::payments(DAEMON, SLOTS).await.unwrap();
    let call = Call::new("reservas", "deposit", "own").key("own");
    let (ticket, issuer) = obtain(&rig, "caja-a1", &call).await;
    let egress = rig.node(&issuer).daemon.bound().local;
    let (target, mut rx) = repeating_target(egress).await;
    rig.proxy(&issuer, Link::Target).set_upstream(target);
    let told = send(&rig, "caja-a1", &call, Some(&ticket), Some(0)).await;
    assert!(matches!(told, Told::Answered { .. }), "{told:?}");
    let (id, mut told) = rx.recv().await.unwrap();

    // The execution has ended, and with it the record of its calls.
    let ended = async || {
        let status = rig.status(&issuer).await;
        status.is_some_and(|status| status["in_flight"] == 0)
    };
    until("the end of the execution", ended).await;
    let made_up = format!("{}.{:016x}", "0".repeat(32), 1);
    for id in [Some(id.as_str()), Some(&made_up), Some("no id"), None] {
        told.push(from_target(egress, "own.0", id).await);
        told.push(from_target(egress, "own.1", id).await);
    }
    insta::assert_snapshot!(told.join("\n"), @r"
    200 answered
    502 unknown execution-ended
    502 unknown execution-ended
    502 unknown execution-ended
    502 unknown execution-ended
    400 not-run invalid
    400 not-run invalid
    400 not-run invalid
    400 not-run invalid
    ");
    assert_eq!(rig.ledger.count_of_key("own.0"), 1);
    assert_eq!(rig.ledger.count_of_key("own.1"), 0);
}
