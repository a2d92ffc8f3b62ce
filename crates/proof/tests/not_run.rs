//! Honest "not run": what a caller is told did not run never ran and never will.

use std::net::SocketAddr;
use std::time::Duration;

use proof::breakage::Breakage;
use proof::{CAP, Link, Rig, Send, Sender, Signal, Told, schedule, until};
use standin::Call;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const DAEMON: &str = env!("CARGO_BIN_EXE_daemon-under-test");
const SLOTS: u32 = 40;
/// Schedules under which targets are full and daemons come and go.
const SCHEDULES: u64 = 60;

/// Faults after which daemons refuse.
const REFUSING: [Breakage; 5] = [
    Breakage::Refuse,
    Breakage::Swap,
    Breakage::Pause,
    Breakage::Leave,
    Breakage::Kill,
];

fn charge(key: &str) -> Call {
    Call::new("caja", "charge", key).key(key).answer_bytes(200)
}

async fn send(to: SocketAddr, call: &Call, ticket: Option<&str>, attempt: Option<u16>) -> Told {
    let send = Send {
        call,
        ticket,
        attempt,
    };
    Sender::new(CAP).send(to, &send).await
}

/// Obtains a ticket for a call; returns it with the instance that issued it.
async fn obtain(rig: &Rig, call: &Call) -> (String, String) {
    let to = rig.node("reservas-a1").callers();
    let Told::NotRun {
        next: Some(text), ..
    } = send(to, call, None, None).await
    else {
        panic!("no ticket");
    };
    let ticket: ticket::Ticket = text.parse().unwrap();
    (text.to_string(), ticket.instance().to_string())
}

fn why(told: &Told) -> String {
    match told {
        Told::Answered { own } => format!("answered, own {own}"),
        Told::NotRun { why, next: None } => format!("not-run {why}"),
        Told::NotRun { why, .. } => format!("not-run {why}, with a ticket"),
        Told::Unknown { why } => format!("unknown {why}"),
        Told::NotSent | Told::Lost => format!("{told:?}"),
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn what_was_told_not_run_never_ran() {
    let (stories, contradictions) = schedule::run(DAEMON, 2, &REFUSING, SCHEDULES).await;
    assert!(contradictions.is_empty(), "{}", contradictions.join("\n"));
    let fates = schedule::fates(&stories);
    println!("{} callers: {fates:?}", stories.len());
    assert!(
        fates.iter().all(|(_, count)| *count > 0),
        "vacuous: {fates:?}"
    );
}

/// Only the issuer knows what became of a ticket; others refuse a send of it.
#[tokio::test]
async fn a_daemon_that_did_not_issue_a_ticket_does_not_say_that_it_was_not_run() {
    let rig = schedule::payments(DAEMON, SLOTS).await.unwrap();
    let call = charge("r");
    let (ticket, issuer) = obtain(&rig, &call).await;
    let entry = rig.node("reservas-a1").callers();
    let told = send(entry, &call, Some(&ticket), Some(0)).await;
    assert_eq!(told, Told::Answered { own: true });

    let mut lines = Vec::new();
    let mut late = call.clone();
    late.deadline = Some(Duration::ZERO);
    let gone = Call::new("caja", "gone", "r").key("r");
    for (what, call) in [("late", &late), ("unknown operation", &gone)] {
        let told = send(entry, call, Some(&ticket), Some(1)).await;
        lines.push(format!("{what}: {}", why(&told)));
    }
    for (what, head) in [
        ("body over the limit", "content-length: 99999999999"),
        (
            "contradictory body",
            "content-length: 1\r\ntransfer-encoding: chunked",
        ),
        ("two keys", "content-length: 0\r\nidempotency-key: other"),
        (
            "unreadable deadline",
            "content-length: 0\r\nberylhead-deadline-ms: soon",
        ),
    ] {
        let told = send_raw(entry, &ticket, head).await;
        lines.push(format!("{what}: {told}"));
    }
    rig.node(&issuer).daemon.signal(Signal::Kill).await;
    let told = send(entry, &call, Some(&ticket), Some(1)).await;
    assert!(matches!(told, Told::Unknown { .. }), "{told:?}");
    insta::assert_snapshot!(lines.join("\n"), @r"
    late: unknown 502 unreachable
    unknown operation: unknown 404 invalid
    body over the limit: unknown 413 invalid
    contradictory body: none 400 none
    two keys: unknown 400 invalid
    unreadable deadline: unknown 400 invalid
    ");
    assert_eq!(rig.ledger.count_of_key("r"), 1);
}

/// Sends a charge by hand; returns status, outcome and reason.
async fn send_raw(to: SocketAddr, ticket: &str, head: &str) -> String {
    let mut stream = TcpStream::connect(to).await.unwrap();
    let text = format!(
        "POST /caja/charge?token=r HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
        idempotency-key: r\r\nberylhead-ticket: {ticket}\r\n{head}\r\n\r\n"
    );
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    let answer = String::from_utf8_lossy(&answer).into_owned();
    let header = |name: &str| {
        let line = answer.lines().find_map(|line| line.strip_prefix(name));
        line.unwrap_or(": none").trim_start_matches(": ").to_owned()
    };
    let status = answer.split(' ').nth(1).unwrap_or("none").to_owned();
    let (outcome, reason) = (header("berylhead-outcome"), header("berylhead-reason"));
    format!("{outcome} {status} {reason}")
}

#[tokio::test]
async fn a_daemon_that_is_not_ready_says_nothing_of_a_ticket() {
    let unready = Rig::builder(DAEMON)
        .node(proof::NodeSpec::new("caja", "norte-a", "caja-a1"))
        .start_unready()
        .await
        .unwrap();
    let rig = schedule::payments(DAEMON, SLOTS).await.unwrap();
    let call = charge("u");
    let (ticket, _) = obtain(&rig, &call).await;
    let entry = unready.node("caja-a1").callers();
    let mut lines = Vec::new();
    for attempt in [Some(0), Some(1), None] {
        let told = send(entry, &call, Some(&ticket), attempt).await;
        lines.push(format!("{attempt:?}: {}", why(&told)));
    }
    insta::assert_snapshot!(lines.join("\n"), @r"
    Some(0): not-run 503 not-ready
    Some(1): unknown 502 unreachable
    None: unknown 502 unreachable
    ");
}

/// A refused ticket is closed, and the refusal carries the next one.
#[tokio::test]
async fn a_refused_ticket_never_runs_and_its_successor_does() {
    let rig = schedule::payments(DAEMON, 1).await.unwrap();
    let mut call = charge("c");
    let (ticket, issuer) = obtain(&rig, &call).await;
    let entry = rig.node("reservas-b1").callers();

    // The only slot is taken, so that the call waits until its deadline.
    rig.node(&issuer).target.hold();
    let occupant = Call::new("caja", "balance", "o");
    let to = rig.node(&issuer).callers();
    let occupied = tokio::spawn(async move { send_read(to, &occupant).await });
    let runs = async || !rig.ledger.runs_of("caja", "balance").is_empty();
    until("a taken slot", runs).await;
    call.deadline = Some(Duration::from_millis(200));
    let refused = send(to, &call, Some(&ticket), Some(0)).await;
    call.deadline = None;
    rig.node(&issuer).target.release();
    occupied.await.unwrap();

    let Told::NotRun {
        next: Some(next), ..
    } = &refused
    else {
        panic!("{refused:?}");
    };
    let again = send(entry, &call, Some(&ticket), Some(1)).await;
    let Told::NotRun {
        why,
        next: Some(offered),
    } = &again
    else {
        panic!("{again:?}");
    };
    assert_eq!((why.as_str(), offered), ("409 ticket-foreign", next));
    assert_eq!(rig.ledger.count_of_key("c"), 0);
    let told = send(entry, &call, Some(next), Some(0)).await;
    assert_eq!(told, Told::Answered { own: true });
    // The closed ticket stands for the same call, which has run by now.
    let told = send(entry, &call, Some(&ticket), Some(1)).await;
    assert_eq!(told, Told::Answered { own: true });
    assert_eq!(rig.ledger.count_of_key("c"), 1);
}

async fn send_read(to: SocketAddr, call: &Call) {
    let reply = standin::Caller::unpooled().send(to, call).await.unwrap();
    assert!(reply.status.is_success(), "{}", reply.summary());
}

/// A leaving issuer refuses, by its own record, and what it refused never runs.
#[tokio::test]
async fn a_leaving_issuer_closes_what_it_refuses() {
    let rig = schedule::payments(DAEMON, SLOTS).await.unwrap();
    let (first, second) = (charge("l-0"), charge("l-1"));
    let (held, issuer) = obtain(&rig, &first).await;
    let entry = rig.node("reservas-b1").callers();
    let mut call = second;
    let (mut ticket, mut owner) = obtain(&rig, &call).await;
    for number in 2.. {
        if owner == issuer {
            break;
        }
        call = charge(&format!("l-{number}"));
        (ticket, owner) = obtain(&rig, &call).await;
    }
    // A run in flight keeps the issuer from ending at once.
    rig.node(&issuer).target.hold();
    let running = tokio::spawn(async move { send(entry, &first, Some(&held), Some(0)).await });
    let runs = async || rig.ledger.count_of_key("l-0") == 1;
    until("a run in flight", runs).await;
    rig.node(&issuer).daemon.signal(Signal::Terminate).await;
    let leaves = async || {
        let status = rig.status(&issuer).await;
        status.is_some_and(|status| status["leaving"] == true)
    };
    until("the issuer leaves", leaves).await;
    let direct = rig.node(&issuer).callers();
    let told = send(direct, &call, Some(&ticket), None).await;
    assert_eq!(why(&told), "not-run 503 leaving");
    let told = send(direct, &call, Some(&ticket), None).await;
    assert_eq!(why(&told), "not-run 409 ticket-foreign");
    rig.node(&issuer).target.release();
    assert_eq!(running.await.unwrap(), Told::Answered { own: true });
    assert_eq!(rig.ledger.count_of_key(call.key.as_deref().unwrap()), 0);
}

/// No byte reaches a target that takes no connection; the issuer knows that.
#[tokio::test]
async fn a_target_that_takes_no_connection_is_not_run() {
    let rig = schedule::payments(DAEMON, SLOTS).await.unwrap();
    let call = charge("t");
    let (ticket, issuer) = obtain(&rig, &call).await;
    let proxy = rig.proxy(&issuer, Link::Target);
    proxy.set_refusing(true);
    proxy.reset_connections();
    let entry = rig.node("reservas-a1").callers();
    let told = send(entry, &call, Some(&ticket), None).await;
    assert_eq!(why(&told), "not-run 503 no-instance, with a ticket");
    proxy.heal();
    let told = send(entry, &call, Some(&ticket), None).await;
    assert_eq!(why(&told), "not-run 409 ticket-foreign, with a ticket");
    assert_eq!(rig.ledger.count_of_key("t"), 0);
}
