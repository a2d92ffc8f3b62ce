//! What the client makes of each reply, and what it sends next.

mod common;

use std::fmt::Write;
use std::time::Duration;

use client::{Call, Client, ClientConfig, Reply};
use common::{ANSWERED, Act, NO_OUTCOME, SHED, Server, UNKNOWN};

const PORT_POLL: Duration = Duration::from_millis(1);
/// Only a fault keeps a port taken for so long.
const PORT_CAP: Duration = Duration::from_secs(30);

const TICKET_1: &str = "428 Precondition Required\r\nberylhead-outcome: not-run\r\n\
    berylhead-reason: ticket-required\r\nberylhead-ticket: one";
const TICKET_2: &str = "428 Precondition Required\r\nberylhead-outcome: not-run\r\n\
    berylhead-reason: ticket-required\r\nberylhead-ticket: two";
const SHED_WITH_TICKET: &str = "429 Too Many Requests\r\nberylhead-outcome: not-run\r\n\
    berylhead-reason: overloaded\r\nretry-after-ms: 1\r\nberylhead-ticket: two";
const FAR_ADVICE: &str = "503 Service Unavailable\r\nberylhead-outcome: not-run\r\n\
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

async fn run(call: &Call, acts: &[Act]) -> String {
    let server = Server::start(acts).await;
    let client = Client::new([server.address], cfg());
    let reply = client.call(call).await.expect("the call can be sent");
    format!("{} after [{}]", describe(&reply), server.seen().join(", "))
}

#[tokio::test]
async fn calls_that_may_not_be_repeated() {
    let call = Call::new("reservas", "book").once("k").body("two");
    let scripts: [(&str, &[Act]); 9] = [
        (
            "first",
            &[Act::Answer(TICKET_1, ""), Act::Answer(ANSWERED, "ok")],
        ),
        ("kept for a repeat", &[Act::Answer(ANSWERED, "kept")]),
        (
            "shed",
            &[
                Act::Answer(TICKET_1, ""),
                Act::Answer(SHED, ""),
                Act::Answer(TICKET_2, ""),
                Act::Answer(ANSWERED, "ok"),
            ],
        ),
        (
            "shed with a ticket",
            &[
                Act::Answer(TICKET_1, ""),
                Act::Answer(SHED_WITH_TICKET, ""),
                Act::Answer(ANSWERED, "ok"),
            ],
        ),
        (
            "cut, then answered",
            &[
                Act::Answer(TICKET_1, ""),
                Act::Cut,
                Act::Answer(ANSWERED, "ok"),
            ],
        ),
        (
            "cut, then shed",
            &[
                Act::Answer(TICKET_1, ""),
                Act::Cut,
                Act::Answer(SHED_WITH_TICKET, ""),
                Act::Answer(TICKET_2, ""),
            ],
        ),
        (
            "body cut, then kept",
            &[
                Act::Answer(TICKET_1, ""),
                Act::CutBody(ANSWERED),
                Act::Answer(ANSWERED, "kept"),
            ],
        ),
        (
            "unknown throughout",
            &[
                Act::Answer(TICKET_1, ""),
                Act::Answer(UNKNOWN, ""),
                Act::Answer(NO_OUTCOME, ""),
            ],
        ),
        ("invalid", &[Act::Answer(INVALID, "")]),
    ];
    let mut table = String::new();
    for (name, acts) in scripts {
        let _ = writeln!(table, "{name}: {}", run(&call, acts).await);
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
    let free = Call::new("rutas", "list").get();
    let cut_then_ok = [Act::Cut, Act::Answer(ANSWERED, "ok")];
    let cut_then_shed = [Act::Cut, Act::Answer(SHED, ""), Act::Answer(FAR_ADVICE, "")];
    let shed_then_ok = [Act::Answer(SHED, ""), Act::Answer(ANSWERED, "ok")];
    let far = [Act::Answer(FAR_ADVICE, "")];
    let mut table = String::new();
    for (name, call, acts) in [
        ("plain, cut", &plain, &cut_then_ok[..]),
        ("plain, shed", &plain, &shed_then_ok[..]),
        ("free, cut", &free, &cut_then_ok[..]),
        ("free, cut and shed", &free, &cut_then_shed[..]),
        ("free, far advice", &free, &far[..]),
    ] {
        let _ = writeln!(table, "{name}: {}", run(call, acts).await);
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
async fn a_later_call_presents_the_ticket_of_an_open_fate() {
    let acts = [
        Act::Answer(TICKET_1, ""),
        Act::Cut,
        Act::Cut,
        Act::Cut,
        Act::Answer(ANSWERED, "kept"),
    ];
    let server = Server::start(acts).await;
    let client = Client::new([server.address], cfg());
    let call = Call::new("reservas", "book").once("k");
    assert!(matches!(client.call(&call).await, Ok(Reply::Unknown)));
    assert_eq!(client.ticket(&call).as_deref(), Some("one"));
    // Another ticket for the same key never takes the place of an open one.
    let call = call.ticket("two");
    assert!(matches!(
        client.call(&call).await,
        Ok(Reply::Answered { .. })
    ));
    let tickets: Vec<_> = server
        .seen()
        .iter()
        .map(|line| line[..3].to_owned())
        .collect();
    assert_eq!(tickets, ["- a", "one", "one", "one", "one"]);
}

#[tokio::test]
async fn a_call_dropped_half_way_leaves_its_fate_open() {
    let acts = [
        Act::Answer(TICKET_1, ""),
        Act::Hold,
        Act::Answer(SHED, ""),
        Act::Answer(SHED_WITH_TICKET, ""),
        Act::Answer(TICKET_2, ""),
    ];
    let server = Server::start(acts).await;
    let client = Client::new([server.address], cfg());
    let call = Call::new("reservas", "book").once("k");
    tokio::select! {
        _ = client.call(&call) => panic!("the server holds its answer back"),
        () = server.requests(2) => {}
    }
    assert!(matches!(client.call(&call).await, Ok(Reply::Unknown)));
    let last = server.seen().pop();
    assert_eq!(last.as_deref(), Some("one attempt 3 body 0"));
}

#[tokio::test]
async fn the_issuers_own_refusal_settles_an_open_fate() {
    const CLOSED: &str = "409 Conflict\r\nberylhead-outcome: not-run\r\n\
        berylhead-reason: ticket-foreign\r\nberylhead-instance: caja-a1";
    const ELSEWHERE: &str = "409 Conflict\r\nberylhead-outcome: not-run\r\n\
        berylhead-reason: ticket-foreign\r\nberylhead-instance: caja-b1";
    let zeros = "0".repeat(16);
    let ticket = format!("t1.{zeros}.{zeros}.{zeros}.{zeros}{zeros}.{zeros}.caja-a1");
    let call = Call::new("caja", "charge").once("k").ticket(ticket);
    let elsewhere = [Act::Answer(ELSEWHERE, ""); 3];
    let closed = [Act::Answer(CLOSED, ""); 3];
    assert!(run(&call, &elsewhere).await.starts_with("unknown"));
    assert!(
        run(&call, &closed)
            .await
            .starts_with("not run ticket-foreign")
    );
}

#[tokio::test]
async fn one_key_has_one_call_on_its_way() {
    let server = Server::start([Act::Hold]).await;
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
async fn a_ticket_whose_daemon_is_gone_is_presented_elsewhere_as_unsent() {
    // Without a pooled connection it is certain that no byte of the ticket left.
    const CLOSING: &str = "428 Precondition Required\r\nconnection: close\r\n\
        berylhead-outcome: not-run\r\nberylhead-ticket: one";
    // No other test listens at this address, so nobody is given the freed port.
    let issuer = Server::start_at([127, 0, 0, 77].into(), [Act::Answer(CLOSING, "")]).await;
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
    let _held = refusing(issuer_address).await;
    let other = Server::start([Act::Answer(ANSWERED, "ok")]).await;
    client.set_entries([other.address]);
    let reply = client.call(&call).await.expect("sent");
    assert_eq!(describe(&reply), "answered 200 ok");
    assert_eq!(other.seen(), ["one attempt 0 body 0"]);
}

/// Holds a port without listening, so that connections to it are refused and no other
/// test can be given it.
///
/// A server's connections keep its port for a moment after they were told to close.
async fn refusing(address: std::net::SocketAddr) -> tokio::net::TcpSocket {
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket
        .set_reuseaddr(true)
        .expect("an option of every system");
    let bound = async {
        while socket.bind(address).is_err() {
            tokio::time::sleep(PORT_POLL).await;
        }
    };
    let bound = tokio::time::timeout(PORT_CAP, bound).await;
    bound.expect("the port becomes free");
    socket
}

#[tokio::test]
async fn an_unreachable_fleet_is_not_run() {
    let refusing = refusing(([127, 0, 0, 1], 0).into()).await;
    let address = refusing.local_addr().expect("bound");
    let client = Client::new([address], cfg());
    let reply = client.call(&Call::new("reservas", "book").once("k")).await;
    assert_eq!(describe(&reply.expect("sent")), "not run no-instance");
    let nowhere = Client::new([], cfg());
    let error = nowhere
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
    let acts = [
        Act::Answer(TICKET_1, ""),
        Act::Answer(TICKET_1, ""),
        Act::Answer(ANSWERED, "ok"),
    ];
    let server = Server::start(acts).await;
    let client = Client::new([server.address], cfg());
    let held = client
        .prefetch("caja", "charge", &["k", "l"])
        .await
        .expect("sent");
    assert_eq!(held, 2);
    assert_eq!(server.seen(), ["issue attempt 0 body 0"; 2]);
    let reply = client
        .call(&Call::new("caja", "charge").once("l").body("9"))
        .await;
    assert_eq!(describe(&reply.expect("sent")), "answered 200 ok");
    assert_eq!(
        server.seen().last().map(String::as_str),
        Some("one attempt 0 body 1")
    );
}

#[tokio::test]
async fn the_platform_names_the_entries() {
    let entry = Server::start([Act::Answer(ANSWERED, "ok")]).await;
    let list = format!(
        r#"{{"version":1,"instances":[
        {{"id":"a","service":"rutas","data_centre":"n","region":"r","callers":"127.0.0.1:1","mesh":"127.0.0.1:1","control":"127.0.0.1:1","state":"leaving"}},
        {{"id":"b","service":"rutas","data_centre":"n","region":"r","callers":"{}","mesh":"127.0.0.1:1","control":"127.0.0.1:1","state":"live"}}]}}"#,
        entry.address
    );
    let platform = Server::start([Act::Answer("200 OK", list.leak())]).await;
    let client = Client::from_platform([platform.address], cfg());
    let reply = client.call(&Call::new("rutas", "list").get()).await;
    assert_eq!(describe(&reply.expect("sent")), "answered 200 ok");
}

#[tokio::test]
async fn a_streamed_answer_that_breaks_off_is_an_error() {
    let server = Server::start([Act::CutBody(ANSWERED)]).await;
    let client = Client::new([server.address], cfg());
    let reply = client.stream(&Call::new("galeria", "photos").get()).await;
    let Ok(Reply::Answered { mut body, .. }) = reply else {
        panic!("the head arrives");
    };
    assert_eq!(body.chunk().await, Some(Ok("part".into())));
    assert!(matches!(body.chunk().await, Some(Err(_))));
}
