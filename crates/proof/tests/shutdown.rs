//! A planned stop of a daemon ends every request in flight whole, and takes no new work.

use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::BodyExt;
use model::Outcome;
use proof::{NodeSpec, Rig, Signal, fleets, until};
use standin::{Call, Caller, Downstream, Plan, Reply, TargetConfig};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinHandle;

const DAEMON: &str = env!("CARGO_BIN_EXE_daemon-under-test");
const PACK_BYTES: usize = 24 * 1024 * 1024;
/// Longer than a daemon without requests in flight lingers.
const HELD_AFTER_SIGNAL: Duration = Duration::from_millis(2_500);
const LEAST_UNREAD_BYTES: usize = 64 * 1024;
const STEP_BYTES: usize = 32 * 1024;
const SMALL_BUFFER_BYTES: u32 = 4 * 1024;
const IN_FLIGHT: usize = 20;
const SHORT_GRACE: Duration = Duration::from_millis(300);

/// One rutas instance and one of reservas, which forwards to it.
async fn rig(grace: Duration) -> Rig {
    let node = |service, id| NodeSpec::new(service, "norte-a", id).grace(grace);
    Rig::builder(DAEMON)
        .document(fleets::arriaga())
        .node(node("rutas", "rutas-a1"))
        .node(node("reservas", "reservas-a1"))
        .start()
        .await
        .unwrap()
}

fn send(to: SocketAddr, call: Call) -> JoinHandle<Result<Reply, standin::caller::CallError>> {
    tokio::spawn(async move { Caller::unpooled().send_with_ticket(to, &call).await })
}

async fn until_leaving(rig: &Rig, id: &str) {
    let daemon = &rig.node(id).daemon;
    until("the stop has begun", async || {
        daemon.logged(r#""message":"leaving""#)
    })
    .await;
}

#[tokio::test]
async fn requests_in_flight_end_whole() {
    tokio::join!(
        in_flight_end_whole("rutas-a1", Signal::Terminate),
        in_flight_end_whole("reservas-a1", Signal::Terminate),
        in_flight_end_whole("rutas-a1", Signal::Interrupt),
    );
}

async fn in_flight_end_whole(stopped: &str, signal: Signal) {
    let mut rig = rig(proof::CAP).await;
    rig.node("rutas-a1").target.hold();
    let sent: Vec<_> = (0..IN_FLIGHT)
        .map(|n| {
            let call = Call::new("rutas", "pack", &format!("t{n}")).answer_bytes(50_000);
            (call.clone(), send(rig.node("reservas-a1").callers(), call))
        })
        .collect();
    let target = &rig.node("rutas-a1").target;
    until("all run", async || target.in_flight() == IN_FLIGHT).await;
    rig.node(stopped).daemon.signal(signal).await;
    until_leaving(&rig, stopped).await;
    tokio::time::sleep(HELD_AFTER_SIGNAL).await;
    rig.node("rutas-a1").target.release();
    for (call, sent) in sent {
        let reply = sent.await.unwrap().unwrap();
        assert!(reply.answers(&call), "{stopped}: {}", reply.summary());
    }
    let status = rig.node_mut(stopped).daemon.ended().await.unwrap();
    assert_eq!(status.code(), Some(0));
}

#[tokio::test]
async fn a_slow_reader_gets_its_whole_pack() {
    for stopped in ["rutas-a1", "reservas-a1"] {
        let mut rig = rig(proof::CAP).await;
        let call = Call::new("rutas", "pack", "p").answer_bytes(PACK_BYTES);
        let entry = rig.node("reservas-a1").callers();
        let response = Caller::unpooled().open(entry, &call).await.unwrap();
        rig.node(stopped).daemon.signal(Signal::Terminate).await;
        until_leaving(&rig, stopped).await;
        let body = response.into_body().collect().await;
        assert!(body.unwrap().to_bytes() == call.expected());
        let status = rig.node_mut(stopped).daemon.ended().await.unwrap();
        assert_eq!(status.code(), Some(0));
    }
}

/// The daemon has handed whole answers to its server, which cannot flush the end of one.
#[tokio::test]
async fn readers_that_pause_get_the_rest() {
    let mut rig = rig(proof::CAP).await;
    let mut open = Vec::new();
    for bytes in (LEAST_UNREAD_BYTES..).step_by(STEP_BYTES) {
        open.push((bytes, ask_without_reading(&rig, bytes).await));
        if is_stuck(&rig).await {
            break;
        }
    }
    // The last one is too long for all buffers together, and those before it are not.
    drop(open.pop());
    until("the others are handed over", async || !is_stuck(&rig).await).await;
    rig.node("rutas-a1").daemon.signal(Signal::Terminate).await;
    until_leaving(&rig, "rutas-a1").await;
    tokio::time::sleep(HELD_AFTER_SIGNAL).await;
    for (bytes, mut stream) in open {
        let mut answer = Vec::new();
        // A reset shows as a short answer.
        let _ = stream.read_to_end(&mut answer).await;
        let call = Call::new("rutas", "pack", "p").answer_bytes(bytes);
        assert!(
            answer.ends_with(&call.expected()),
            "{} of {bytes}",
            answer.len()
        );
    }
    let status = rig.node_mut("rutas-a1").daemon.ended().await.unwrap();
    assert_eq!(status.code(), Some(0));
}

async fn ask_without_reading(rig: &Rig, bytes: usize) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(SMALL_BUFFER_BYTES).unwrap();
    let to = rig.node("rutas-a1").callers();
    let mut stream = socket.connect(to).await.unwrap();
    let head = "HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    let req = format!("GET /rutas/pack?token=p&bytes={bytes} {head}");
    stream.write_all(req.as_bytes()).await.unwrap();
    stream
}

/// True if the daemon cannot hand over an answer.
async fn is_stuck(rig: &Rig) -> bool {
    for _ in 0..30 {
        tokio::time::sleep(Duration::from_millis(10)).await;
        if rig.status("rutas-a1").await.unwrap()["requests_in_flight"] == 0 {
            return false;
        }
    }
    true
}

#[tokio::test]
async fn a_booking_in_flight_still_reaches_the_till() {
    let charge = Downstream {
        service: "caja".into(),
        operation: "charge".into(),
        answer_bytes: 300,
        repeatable: false,
    };
    let plan = Plan {
        calls: vec![charge],
        ..Plan::default()
    };
    let mut rig = Rig::booking(DAEMON, |spec| {
        let target = TargetConfig::new(spec.service(), spec.id(), 160);
        spec.target(target.plan("book", plan.clone()))
    })
    .await
    .unwrap();
    for node in rig.nodes() {
        node.target.hold();
    }
    let call = Call::new("reservas", "book", "b")
        .key("b")
        .answer_bytes(900);
    let sent = send(rig.node("reservas-a1").callers(), call.clone());
    until("the booking runs", async || rig.ledger.runs().len() == 1).await;
    let booked_at = rig.ledger.runs()[0].instance.clone();
    rig.node(&booked_at).daemon.signal(Signal::Terminate).await;
    until_leaving(&rig, &booked_at).await;
    rig.node(&booked_at).target.release();
    until("the charge runs", async || rig.ledger.runs().len() == 2).await;
    let charged_at = rig.ledger.runs()[1].instance.clone();
    rig.node(&charged_at).daemon.signal(Signal::Terminate).await;
    until_leaving(&rig, &charged_at).await;
    rig.node(&charged_at).target.release();
    let reply = sent.await.unwrap().unwrap();
    assert!(reply.answers(&call), "{}", reply.summary());
    for stopped in [booked_at, charged_at] {
        let status = rig.node_mut(&stopped).daemon.ended().await.unwrap();
        assert_eq!(status.code(), Some(0));
    }
    assert_eq!(rig.ledger.repeated().len(), 0);
}

#[tokio::test]
async fn new_work_is_refused_as_not_run() {
    let rig = rig(proof::CAP).await;
    rig.node("rutas-a1").target.hold();
    let entry = rig.node("rutas-a1").callers();
    let pooled = Caller::new();
    let held = Call::new("rutas", "pack", "held").answer_bytes(100);
    let sent = send(entry, held.clone());
    until("it runs", async || rig.ledger.runs().len() == 1).await;
    rig.node("rutas-a1").daemon.signal(Signal::Terminate).await;
    until_leaving(&rig, "rutas-a1").await;
    let mut told = Vec::new();
    for operation in ["pack", "unknown"] {
        let call = Call::new("rutas", operation, "late");
        told.push(pooled.send(entry, &call).await.unwrap().summary());
    }
    insta::assert_snapshot!(told.join("\n"), @r"
    503 not-run leaving
    404 not-run invalid
    ");
    // Another daemon asks, or has heard already that nobody is left.
    let call = Call::new("rutas", "pack", "late");
    let other = rig.node("reservas-a1").callers();
    let told = pooled.send(other, &call).await.unwrap().summary();
    let either = ["503 not-run leaving", "503 not-run no-instance"];
    assert!(either.contains(&told.as_str()), "{told}");
    assert!(!rig.is_ready("rutas-a1").await);
    rig.node("rutas-a1").target.release();
    assert!(sent.await.unwrap().unwrap().answers(&held));
    assert_eq!(rig.ledger.runs().len(), 1);
}

/// Guards against calls that a stopping daemon passes on, and cuts off at the end of its grace period.
#[tokio::test]
async fn a_call_that_may_outlast_the_grace_period_is_refused_as_not_run() {
    let rig = rig(proof::CAP).await;
    let entry = rig.node("reservas-a1").callers();
    let pooled = Caller::new();
    let call = Call::new("rutas", "pack", "early").answer_bytes(100);
    assert!(pooled.send(entry, &call).await.unwrap().answers(&call));
    rig.node("rutas-a1").target.hold();
    let held = Call::new("rutas", "pack", "held").answer_bytes(100);
    let sent = send(entry, held.clone());
    until("it runs", async || rig.ledger.runs().len() == 2).await;
    rig.node("reservas-a1")
        .daemon
        .signal(Signal::Terminate)
        .await;
    until_leaving(&rig, "reservas-a1").await;
    // The operation has 60 s, the stop less.
    let call = Call::new("rutas", "pack", "late");
    let told = pooled.send(entry, &call).await.unwrap().summary();
    assert_eq!(told, "503 not-run leaving");
    assert_eq!(rig.ledger.runs().len(), 2);
    rig.node("rutas-a1").target.release();
    assert!(sent.await.unwrap().unwrap().answers(&held));
}

#[tokio::test]
async fn an_idle_connection_does_not_hold_the_stop() {
    let mut rig = rig(proof::CAP * 2).await;
    let entry = rig.node("rutas-a1").callers();
    let mut idle = TcpStream::connect(entry).await.unwrap();
    let used = Caller::new();
    let call = Call::new("rutas", "pack", "t").answer_bytes(10);
    assert!(used.send(entry, &call).await.unwrap().answers(&call));
    rig.node("rutas-a1").daemon.signal(Signal::Terminate).await;
    let status = rig.node_mut("rutas-a1").daemon.ended().await.unwrap();
    assert_eq!(status.code(), Some(0));
    assert_eq!(idle.read(&mut [0]).await.unwrap(), 0);
}

#[tokio::test]
async fn an_upload_under_way_ends_with_an_outcome() {
    let mut rig = rig(proof::CAP).await;
    let entry = rig.node("rutas-a1").callers();
    let mut stream = TcpStream::connect(entry).await.unwrap();
    let head =
        b"POST /rutas/pack?token=u&bytes=10 HTTP/1.1\r\nhost: a\r\ncontent-length: 2000\r\n\r\n";
    stream.write_all(head).await.unwrap();
    stream.write_all(&[b'x'; 1_000]).await.unwrap();
    let arrived = async || {
        let status = rig.status("rutas-a1").await.unwrap_or_default();
        status["requests_in_flight"] == 1
    };
    until("the upload is under way", arrived).await;
    rig.node("rutas-a1").daemon.signal(Signal::Terminate).await;
    until_leaving(&rig, "rutas-a1").await;
    stream.write_all(&[b'x'; 1_000]).await.unwrap();
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.unwrap();
    let answer = String::from_utf8_lossy(&answer).to_ascii_lowercase();
    let ran = rig.ledger.runs().len() == 1;
    let outcome = if ran {
        Outcome::Answered
    } else {
        Outcome::NotRun
    };
    assert!(
        answer.contains(&format!("berylhead-outcome: {outcome}")),
        "{answer}"
    );
    let status = rig.node_mut("rutas-a1").daemon.ended().await.unwrap();
    assert_eq!(status.code(), Some(0));
}

#[tokio::test]
async fn the_second_signal_stops_at_once_and_says_so() {
    let mut rig = rig(proof::CAP * 2).await;
    rig.node("rutas-a1").target.hold();
    let call = Call::new("rutas", "pack", "t").answer_bytes(100);
    let sent = send(rig.node("reservas-a1").callers(), call.clone());
    until("it runs", async || rig.ledger.runs().len() == 1).await;
    rig.node("rutas-a1").daemon.signal(Signal::Terminate).await;
    until_leaving(&rig, "rutas-a1").await;
    rig.node("rutas-a1").daemon.signal(Signal::Terminate).await;
    let status = rig.node_mut("rutas-a1").daemon.ended().await.unwrap();
    assert_eq!(status.code(), Some(1));
    assert!(
        rig.node("rutas-a1")
            .daemon
            .logged("second signal, stopping at once")
    );
    let reply = sent.await.unwrap().unwrap();
    assert_eq!(reply.outcome(), Some(Outcome::Unknown));
}

/// The longest operation of the document has 60 s.
#[tokio::test]
async fn without_a_time_limit_the_stop_outlasts_every_deadline() {
    let mut rig = Rig::pair(DAEMON, ["rutas", "reservas"], &[], |target| target)
        .await
        .unwrap();
    rig.node("rutas-a1").daemon.signal(Signal::Terminate).await;
    rig.node_mut("rutas-a1").daemon.ended().await.unwrap();
    let log = rig.node("rutas-a1").daemon.log();
    let leaving = log
        .iter()
        .find(|line| line.contains(r#""message":"leaving""#));
    let leaving: serde_json::Value = serde_json::from_str(leaving.unwrap()).unwrap();
    assert!(leaving["grace_ms"].as_u64() > Some(60_000), "{leaving}");
}

#[tokio::test]
async fn the_time_limit_cuts_off_and_says_so() {
    let mut rig = rig(SHORT_GRACE).await;
    rig.node("rutas-a1").target.hold();
    let call = Call::new("rutas", "pack", "t").answer_bytes(100);
    let sent = send(rig.node("reservas-a1").callers(), call.clone());
    until("it runs", async || rig.ledger.runs().len() == 1).await;
    rig.node("rutas-a1").daemon.signal(Signal::Terminate).await;
    let status = rig.node_mut("rutas-a1").daemon.ended().await.unwrap();
    assert_eq!(status.code(), Some(0));
    assert!(
        rig.node("rutas-a1")
            .daemon
            .logged("grace over, requests cut off")
    );
    let reply = sent.await.unwrap().unwrap();
    assert_eq!(reply.outcome(), Some(Outcome::Unknown));
}
