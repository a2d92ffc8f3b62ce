//! Tests of the client's replies and sends against scripted responses.

mod common;

use std::fmt::Write;
use std::time::Duration;

use client::{Call, Client, ClientConfig, Reply};
use common::{ANSWERED, Action, NO_OUTCOME, SHED, Server, UNKNOWN};

const PORT_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// A port that is taken for longer indicates a fault.
const PORT_TIMEOUT: Duration = Duration::from_secs(30);

const TICKET_1: &str = "428 Precondition Required\r\nberylhead-outcome: not-run\r\n\
    berylhead-reason: ticket-required\r\nberylhead-ticket: one";
const TICKET_2: &str = "428 Precondition Required\r\nberylhead-outcome: not-run\r\n\
    berylhead-reason: ticket-required\r\nberylhead-ticket: two";
const SHED_WITH_TICKET: &str = "429 Too Many Requests\r\nberylhead-outcome: not-run\r\n\
    berylhead-reason: overloaded\r\nretry-after-ms: 1\r\nberylhead-ticket: two";
const LONG_RETRY_AFTER: &str = "503 Service Unavailable\r\nberylhead-outcome: not-run\r\n\
    berylhead-reason: leaving\r\nretry-after: 60";
const INVALID: &str = "400 Bad Request\r\nberylhead-outcome: not-run\r\n\
    berylhead-reason: invalid";

fn cfg() -> ClientConfig {
    ClientConfig {
        max_sends: 3,
        unknown_outcome_wait: Duration::from_millis(5),
        ..ClientConfig::default()
    }
}

fn describe(reply: &Reply) -> String {
    match reply {
        Reply::Answered { status, body, .. } => {
            format!(
                "answered {} {}",
                status.as_u16(),
                String::from_utf8_lossy(body)
            )
        }
        Reply::NotRun { refusal } => format!("not run {}", refusal.reason),
        Reply::Unknown => "unknown".to_owned(),
    }
}

async fn run(call: &Call, actions: &[Action]) -> String {
    let server = Server::start(actions).await;
    let client = Client::new([server.address], cfg());
    let reply = client.call(call).await.expect("the call can be sent");
    format!(
        "{} after [{}]",
        describe(&reply),
        server.requests().join(", ")
    )
}

#[tokio::test]
async fn calls_that_may_not_be_repeated() {
    let call = Call::new("reservas", "book").once("k").body("two");
    let scripts: [(&str, &[Action]); 9] = [
        (
            "first",
            &[Action::Answer(TICKET_1, ""), Action::Answer(ANSWERED, "ok")],
        ),
        ("kept for a repeat", &[Action::Answer(ANSWERED, "kept")]),
        (
            "shed",
            &[
                Action::Answer(TICKET_1, ""),
                Action::Answer(SHED, ""),
                Action::Answer(TICKET_2, ""),
                Action::Answer(ANSWERED, "ok"),
            ],
        ),
        (
            "shed with a ticket",
            &[
                Action::Answer(TICKET_1, ""),
                Action::Answer(SHED_WITH_TICKET, ""),
                Action::Answer(ANSWERED, "ok"),
            ],
        ),
        (
            "cut, then answered",
            &[
                Action::Answer(TICKET_1, ""),
                Action::Disconnect,
                Action::Answer(ANSWERED, "ok"),
            ],
        ),
        (
            "cut, then shed",
            &[
                Action::Answer(TICKET_1, ""),
                Action::Disconnect,
                Action::Answer(SHED_WITH_TICKET, ""),
                Action::Answer(TICKET_2, ""),
            ],
        ),
        (
            "body cut, then kept",
            &[
                Action::Answer(TICKET_1, ""),
                Action::TruncateBody(ANSWERED),
                Action::Answer(ANSWERED, "kept"),
            ],
        ),
        (
            "unknown throughout",
            &[
                Action::Answer(TICKET_1, ""),
                Action::Answer(UNKNOWN, ""),
                Action::Answer(NO_OUTCOME, ""),
            ],
        ),
        ("invalid", &[Action::Answer(INVALID, "")]),
    ];
    let mut table = String::new();
    for (name, actions) in scripts {
        let _ = writeln!(table, "{name}: {}", run(&call, actions).await);
    }
    insta::assert_snapshot!(table, @r"
    first: answered 200 ok after [- attempt 0 body 3, one attempt 0 body 3]
    kept for a repeat: answered 200 kept after [- attempt 0 body 3]
    shed: answered 200 ok after [- attempt 0 body 3, one attempt 0 body 3, - attempt 1 body 3, two attempt 1 body 3]
    shed with a ticket: answered 200 ok after [- attempt 0 body 3, one attempt 0 body 3, two attempt 1 body 3]
    cut, then answered: answered 200 ok after [- attempt 0 body 3, one attempt 0 body 3, one attempt 1 body 3]
    cut, then shed: unknown after [- attempt 0 body 3, one attempt 0 body 3, one attempt 1 body 3, one attempt 2 body 3]
    body cut, then kept: answered 200 kept after [- attempt 0 body 3, one attempt 0 body 3, one attempt 1 body 3]
    unknown throughout: unknown after [- attempt 0 body 3, one attempt 0 body 3, one attempt 1 body 3, one attempt 2 body 3]
    invalid: not run invalid after [- attempt 0 body 3]
    ");
}

#[tokio::test]
async fn calls_without_a_key() {
    let plain = Call::new("rutas", "plan");
    let repeatable = Call::new("rutas", "list").get();
    let disconnect_then_ok = [Action::Disconnect, Action::Answer(ANSWERED, "ok")];
    let disconnect_then_shed = [
        Action::Disconnect,
        Action::Answer(SHED, ""),
        Action::Answer(LONG_RETRY_AFTER, ""),
    ];
    let shed_then_ok = [Action::Answer(SHED, ""), Action::Answer(ANSWERED, "ok")];
    let long_retry_after = [Action::Answer(LONG_RETRY_AFTER, "")];
    let mut table = String::new();
    for (name, call, actions) in [
        ("plain, cut", &plain, &disconnect_then_ok[..]),
        ("plain, shed", &plain, &shed_then_ok[..]),
        ("free, cut", &repeatable, &disconnect_then_ok[..]),
        ("free, cut and shed", &repeatable, &disconnect_then_shed[..]),
        ("free, far advice", &repeatable, &long_retry_after[..]),
    ] {
        let _ = writeln!(table, "{name}: {}", run(call, actions).await);
    }
    insta::assert_snapshot!(table, @r"
    plain, cut: unknown after [- attempt 0 body 0]
    plain, shed: answered 200 ok after [- attempt 0 body 0, - attempt 1 body 0]
    free, cut: answered 200 ok after [- attempt 0 body 0, - attempt 1 body 0]
    free, cut and shed: unknown after [- attempt 0 body 0, - attempt 1 body 0, - attempt 2 body 0]
    free, far advice: not run leaving after [- attempt 0 body 0]
    ");
}

#[tokio::test]
async fn a_later_call_presents_the_ticket_of_an_unresolved_call() {
    let actions = [
        Action::Answer(TICKET_1, ""),
        Action::Disconnect,
        Action::Disconnect,
        Action::Disconnect,
        Action::Answer(ANSWERED, "kept"),
    ];
    let server = Server::start(actions).await;
    let client = Client::new([server.address], cfg());
    let call = Call::new("reservas", "book").once("k");
    assert!(matches!(client.call(&call).await, Ok(Reply::Unknown)));
    assert_eq!(client.ticket(&call).as_deref(), Some("one"));
    // Another ticket for the same key never replaces an unresolved one.
    let call = call.ticket("two");
    assert!(matches!(
        client.call(&call).await,
        Ok(Reply::Answered { .. })
    ));
    let tickets: Vec<_> = server
        .requests()
        .iter()
        .map(|line| line[..3].to_owned())
        .collect();
    assert_eq!(tickets, ["- a", "one", "one", "one", "one"]);
}

#[tokio::test]
async fn a_dropped_call_stays_unresolved() {
    let actions = [
        Action::Answer(TICKET_1, ""),
        Action::NeverAnswer,
        Action::Answer(SHED, ""),
        Action::Answer(SHED_WITH_TICKET, ""),
        Action::Answer(TICKET_2, ""),
    ];
    let server = Server::start(actions).await;
    let client = Client::new([server.address], cfg());
    let call = Call::new("reservas", "book").once("k");
    tokio::select! {
        _ = client.call(&call) => panic!("the server holds its answer back"),
        () = server.wait_for_requests(2) => {}
    }
    assert!(matches!(client.call(&call).await, Ok(Reply::Unknown)));
    let last = server.requests().pop();
    assert_eq!(last.as_deref(), Some("one attempt 3 body 0"));
}

#[tokio::test]
async fn a_refusal_by_the_issuer_resolves_a_call() {
    const FROM_ISSUER: &str = "409 Conflict\r\nberylhead-outcome: not-run\r\n\
        berylhead-reason: ticket-foreign\r\nberylhead-instance: caja-a1";
    const FROM_OTHER_INSTANCE: &str = "409 Conflict\r\nberylhead-outcome: not-run\r\n\
        berylhead-reason: ticket-foreign\r\nberylhead-instance: caja-b1";
    let zeros = "0".repeat(16);
    let ticket = format!("t1.{zeros}.{zeros}.{zeros}.{zeros}{zeros}.{zeros}.caja-a1");
    let call = Call::new("caja", "charge").once("k").ticket(ticket);
    let from_other_instance = [Action::Answer(FROM_OTHER_INSTANCE, ""); 3];
    let from_issuer = [Action::Answer(FROM_ISSUER, ""); 3];
    assert!(
        run(&call, &from_other_instance)
            .await
            .starts_with("unknown")
    );
    assert!(
        run(&call, &from_issuer)
            .await
            .starts_with("not run ticket-foreign")
    );
}

#[tokio::test]
async fn one_key_has_one_call_in_progress() {
    let server = Server::start([Action::NeverAnswer]).await;
    let client = Client::new([server.address], cfg());
    let call = Call::new("reservas", "book").once("k");
    let (first, second) = (client.call(&call), client.call(&call));
    tokio::select! {
        biased;
        _ = first => panic!("the server holds its answer back"),
        second = second => {
            let error = second.expect_err("the key is in use");
            insta::assert_snapshot!(
                error,
                @"a call with idempotency key k is already in progress; wait for its reply"
            );
        }
    }
}

#[tokio::test]
async fn a_ticket_of_a_stopped_daemon_is_presented_elsewhere_as_unsent() {
    // Without a pooled connection, a failed connect proves that no byte was sent.
    const CLOSING: &str = "428 Precondition Required\r\nconnection: close\r\n\
        berylhead-outcome: not-run\r\nberylhead-ticket: one";
    // No other test listens on this address, so none can take the released port.
    let issuer = Server::start_at([127, 0, 0, 77].into(), [Action::Answer(CLOSING, "")]).await;
    let client = Client::new([issuer.address], cfg());
    let call = Call::new("caja", "charge").once("k");
    assert_eq!(
        client
            .prefetch("caja", "charge", &["k"])
            .await
            .expect("sent"),
        1
    );
    let issuer_address = issuer.address;
    issuer.stop().await;
    let _reserved_port = refuse_connections(issuer_address).await;
    let other = Server::start([Action::Answer(ANSWERED, "ok")]).await;
    client.set_entries([other.address]);
    let reply = client.call(&call).await.expect("sent");
    assert_eq!(describe(&reply), "answered 200 ok");
    assert_eq!(other.requests(), ["one attempt 0 body 0"]);
}

/// Binds a port without listening, so that connections to it are refused and no other
/// test can bind it.
///
/// Retries, since a stopped server's connections occupy its port for a moment.
async fn refuse_connections(address: std::net::SocketAddr) -> tokio::net::TcpSocket {
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket
        .set_reuseaddr(true)
        .expect("an option of every system");
    let bound = async {
        while socket.bind(address).is_err() {
            tokio::time::sleep(PORT_POLL_INTERVAL).await;
        }
    };
    let bound = tokio::time::timeout(PORT_TIMEOUT, bound).await;
    bound.expect("the port becomes free");
    socket
}

#[tokio::test]
async fn an_unreachable_fleet_is_not_run() {
    let socket = refuse_connections(([127, 0, 0, 1], 0).into()).await;
    let address = socket.local_addr().expect("bound");
    let client = Client::new([address], cfg());
    let reply = client.call(&Call::new("reservas", "book").once("k")).await;
    assert_eq!(describe(&reply.expect("sent")), "not run no-instance");
    let without_entries = Client::new([], cfg());
    let error = without_entries
        .call(&Call::new("rutas", "list"))
        .await
        .expect_err("no entry");
    insta::assert_snapshot!(
        error,
        @"no entry address is known; give addresses or a platform that answers"
    );
}

#[tokio::test]
async fn tickets_are_obtained_ahead() {
    let actions = [
        Action::Answer(TICKET_1, ""),
        Action::Answer(TICKET_1, ""),
        Action::Answer(ANSWERED, "ok"),
    ];
    let server = Server::start(actions).await;
    let client = Client::new([server.address], cfg());
    let held = client
        .prefetch("caja", "charge", &["k", "l"])
        .await
        .expect("sent");
    assert_eq!(held, 2);
    assert_eq!(server.requests(), ["issue attempt 0 body 0"; 2]);
    let reply = client
        .call(&Call::new("caja", "charge").once("l").body("9"))
        .await;
    assert_eq!(describe(&reply.expect("sent")), "answered 200 ok");
    assert_eq!(
        server.requests().last().map(String::as_str),
        Some("one attempt 0 body 1")
    );
}

#[tokio::test]
async fn the_platform_names_the_entries() {
    let entry = Server::start([Action::Answer(ANSWERED, "ok")]).await;
    let list = format!(
        r#"{{"version":1,"instances":[
        {{"id":"a","service":"rutas","data_centre":"n","region":"r","callers":"127.0.0.1:1","mesh":"127.0.0.1:1","control":"127.0.0.1:1","state":"leaving"}},
        {{"id":"b","service":"rutas","data_centre":"n","region":"r","callers":"{}","mesh":"127.0.0.1:1","control":"127.0.0.1:1","state":"live"}}]}}"#,
        entry.address
    );
    let platform = Server::start([Action::Answer("200 OK", list.leak())]).await;
    let client = Client::from_platform([platform.address], cfg());
    let reply = client.call(&Call::new("rutas", "list").get()).await;
    assert_eq!(describe(&reply.expect("sent")), "answered 200 ok");
}

#[tokio::test]
async fn a_streamed_answer_that_breaks_off_is_an_error() {
    let server = Server::start([Action::TruncateBody(ANSWERED)]).await;
    let client = Client::new([server.address], cfg());
    let reply = client.stream(&Call::new("galeria", "photos").get()).await;
    let Ok(Reply::Answered { mut body, .. }) = reply else {
        panic!("the head arrives");
    };
    assert_eq!(body.chunk().await, Some(Ok("part".into())));
    assert!(matches!(body.chunk().await, Some(Err(_))));
}
