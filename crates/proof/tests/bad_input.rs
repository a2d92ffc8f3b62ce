//! Bad input: a clear refusal, no crash, and nothing runs.

use std::net::SocketAddr;

use http::StatusCode;
use proof::{CAP, NodeSpec, Rig, fleets};
use standin::Call;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const DAEMON: &str = env!("CARGO_BIN_EXE_daemon-under-test");
const ROOT: &str = "00000000000000000000000000000abc";

/// One instance each of reservas and caja; pledges are closed to callers.
async fn rig() -> Rig {
    let mut document = fleets::payments(40);
    for operation in &mut document.services[0].operations {
        operation.entry = operation.name.as_str() != "pledge";
    }
    Rig::builder(DAEMON)
        .document(document)
        .node(NodeSpec::new("caja", "norte-a", "caja-a1"))
        .node(NodeSpec::new("reservas", "norte-a", "reservas-a1"))
        .start()
        .await
        .unwrap()
}

/// Sends bytes and returns what came back: status, outcome, reason and detail.
async fn send_raw(to: SocketAddr, bytes: &[u8]) -> String {
    let exchange = async {
        let mut stream = TcpStream::connect(to).await.unwrap();
        // The daemon may close before it has read all of it.
        let _ = stream.write_all(bytes).await;
        let mut answer = Vec::new();
        let has_body = !bytes.starts_with(b"HEAD");
        while !is_whole(&answer, has_body) {
            match stream.read_buf(&mut answer).await {
                Ok(0) | Err(_) => break,
                Ok(_) => {}
            }
        }
        answer
    };
    let answer = tokio::time::timeout(CAP, exchange).await;
    told(&answer.expect("an answer or a closed connection"))
}

/// True if a head has arrived, with the body that it declares if it has one.
fn is_whole(answer: &[u8], has_body: bool) -> bool {
    let text = String::from_utf8_lossy(answer);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    !has_body || body.len() >= header(head, "content-length").parse().unwrap_or(0)
}

fn header<'h>(head: &'h str, name: &str) -> &'h str {
    let mut fields = head.lines().filter_map(|line| line.split_once(": "));
    let found = fields.find(|(field, _)| field.eq_ignore_ascii_case(name));
    found.map_or("", |(_, value)| value)
}

fn told(answer: &[u8]) -> String {
    let text = String::from_utf8_lossy(answer);
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head.split(' ').nth(1).unwrap_or("closed");
    let outcome = header(head, "berylhead-outcome");
    let reason = header(head, "berylhead-reason");
    let detail = serde_json::from_str::<serde_json::Value>(body).ok();
    let detail = detail.and_then(|detail| Some(detail["detail"].as_str()?.to_owned()));
    let detail = detail.unwrap_or_default();
    format!("{status} {outcome} {reason} {detail}")
        .trim_end()
        .to_owned()
}

/// A request with these further lines of its head, and a body.
fn request(line: &str, fields: &str, body: &str) -> Vec<u8> {
    format!("{line}\r\nhost: a\r\n{fields}\r\n{body}").into_bytes()
}

const READ: &str = "GET /caja/balance?token=t HTTP/1.1";
const CHARGE: &str = "POST /caja/charge?token=t HTTP/1.1";

/// Sends each request, then sees that the daemon still answers and that nothing ran.
async fn refused(rig: &Rig, to: SocketAddr, requests: &[(&str, Vec<u8>)]) -> String {
    let mut lines = Vec::new();
    for (what, bytes) in requests {
        lines.push(format!("{what}: {}", send_raw(to, bytes).await));
    }
    for id in ["caja-a1", "reservas-a1"] {
        assert!(rig.is_ready(id).await, "{id} still answers");
    }
    let runs = rig.ledger.runs();
    assert!(runs.is_empty(), "{runs:?}\n{}", lines.join("\n"));
    lines.join("\n")
}

#[tokio::test]
async fn a_malformed_head_is_refused() {
    let rig = rig().await;
    let long = "x".repeat(40_000);
    let requests = [
        ("no HTTP", b"\x00\x01\xfe\xff\r\n\r\n".to_vec()),
        ("no path", b"GET\r\n\r\n".to_vec()),
        ("HTTP/1.0", request("GET /caja/balance HTTP/1.0", "", "")),
        ("HTTP/9.9", request("GET /caja/balance HTTP/9.9", "", "")),
        (
            "HTTP/2 preface",
            b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec(),
        ),
        ("no service", request("GET / HTTP/1.1", "", "")),
        ("no operation", request("GET /caja HTTP/1.1", "", "")),
        (
            "unknown service",
            request("GET /nowhere/balance HTTP/1.1", "", ""),
        ),
        (
            "unknown operation",
            request("GET /caja/gone HTTP/1.1", "", ""),
        ),
        (
            "dots in the path",
            request("GET /caja/../caja/charge HTTP/1.1", "", ""),
        ),
        (
            "encoded slash",
            request("GET /caja%2Fcharge HTTP/1.1", "", ""),
        ),
        (
            "closed to callers",
            request("POST /caja/pledge HTTP/1.1", "content-length: 0\r\n", ""),
        ),
        ("OPTIONS *", request("OPTIONS * HTTP/1.1", "", "")),
        ("CONNECT", request("CONNECT caja:80 HTTP/1.1", "", "")),
        (
            "long path",
            request(
                &format!("GET /caja/balance?{} HTTP/1.1", &long[..9000]),
                "",
                "",
            ),
        ),
        (
            "large headers",
            request(READ, &format!("x-a: {long}\r\n"), ""),
        ),
        (
            "many headers",
            request(READ, &"x-a: b\r\n".repeat(5_000), ""),
        ),
        ("space before colon", request(READ, "x-a : b\r\n", "")),
        ("folded header", request(READ, "x-a: b\r\n c\r\n", "")),
        ("zero byte", request(READ, "x-a: b\0c\r\n", "")),
    ];
    let told = refused(&rig, rig.node("caja-a1").callers(), &requests).await;
    insta::assert_snapshot!(told, @r"
    no HTTP: 400
    no path: 400
    HTTP/1.0: 505 not-run invalid allowed: HTTP/1.1
    HTTP/9.9: 400
    HTTP/2 preface: 400
    no service: 404 not-run invalid unknown service; allowed: /service/operation
    no operation: 404 not-run invalid unknown operation; allowed: /service/operation
    unknown service: 404 not-run invalid unknown service; allowed: /service/operation
    unknown operation: 404 not-run invalid unknown operation; allowed: /service/operation
    dots in the path: 404 not-run invalid unknown operation; allowed: /service/operation
    encoded slash: 404 not-run invalid unknown service; allowed: /service/operation
    closed to callers: 403 not-run invalid the operation is not open to callers
    OPTIONS *: 404 not-run invalid unknown service; allowed: /service/operation
    CONNECT: 404 not-run invalid unknown service; allowed: /service/operation
    long path: 414 not-run invalid path over 8 KiB
    large headers: 431 not-run invalid headers over 32 KiB
    many headers: 431
    space before colon: 400
    folded header: 400
    zero byte: 400
    ");
}

#[tokio::test]
async fn a_body_that_is_none_is_refused() {
    let rig = rig().await;
    let post = "POST /caja/balance HTTP/1.1";
    let lengths = |fields| request(post, fields, "12345");
    let chunked = |body| request(post, "transfer-encoding: chunked\r\n", body);
    let requests = [
        ("length in words", lengths("content-length: five\r\n")),
        ("negative length", lengths("content-length: -5\r\n")),
        ("signed length", lengths("content-length: +5\r\n")),
        (
            "endless length",
            lengths("content-length: 99999999999999999999\r\n"),
        ),
        (
            "two lengths",
            lengths("content-length: 5\r\ncontent-length: 4\r\n"),
        ),
        ("listed lengths", lengths("content-length: 5, 5\r\n")),
        ("over the limit", lengths("content-length: 67108865\r\n")),
        (
            "length and chunks",
            lengths("content-length: 5\r\ntransfer-encoding: chunked\r\n"),
        ),
        ("unknown coding", lengths("transfer-encoding: gzip\r\n")),
        (
            "coding after chunks",
            lengths("transfer-encoding: chunked, gzip\r\n"),
        ),
        ("chunk size in words", chunked("five\r\n12345\r\n0\r\n\r\n")),
        ("negative chunk", chunked("-5\r\n12345\r\n0\r\n\r\n")),
        (
            "endless chunk",
            chunked("fffffffffffffffff\r\n12345\r\n0\r\n\r\n"),
        ),
        ("chunk longer than said", chunked("2\r\n12345\r\n0\r\n\r\n")),
    ];
    let told = refused(&rig, rig.node("caja-a1").callers(), &requests).await;
    insta::assert_snapshot!(told, @r"
    length in words: 400
    negative length: 400
    signed length: 400 not-run invalid header content-length: not a whole number in range
    endless length: 400
    two lengths: 400
    listed lengths: 400
    over the limit: 413 not-run invalid body over 64 MiB
    length and chunks: 400
    unknown coding: 400 not-run invalid header transfer-encoding: allowed: chunked
    coding after chunks: 400 not-run invalid header transfer-encoding: allowed: chunked
    chunk size in words: 400 not-run invalid body broken off
    negative chunk: 400 not-run invalid body broken off
    endless chunk: 400 not-run invalid body broken off
    chunk longer than said: 400 not-run invalid body broken off
    ");
}

#[tokio::test]
async fn forged_keys_and_tickets_are_refused() {
    let rig = rig().await;
    let to = rig.node("reservas-a1").callers();
    let call = Call::new("caja", "charge", "t").key("k");
    let ticket = rig.caller.send(to, &call).await.unwrap().ticket().unwrap();
    let altered = ticket.replacen(".00", ".01", 1);
    let absent = ticket.replace("caja-a1", "caja-a7");
    let foreign = ticket.replace("caja-a1", "reservas-a1");
    let number = ticket::CallNumberGenerator::new("caja-a1".into(), 7.into()).next_number();
    let charge = |fields: &str| request(CHARGE, &format!("content-length: 0\r\n{fields}"), "");
    let presents = |text: &str| {
        charge(&format!(
            "idempotency-key: k\r\nberylhead-ticket: {text}\r\n"
        ))
    };
    let other = |key: &str| {
        charge(&format!(
            "idempotency-key: {key}\r\nberylhead-ticket: {ticket}\r\n"
        ))
    };
    let requests = [
        ("no key", charge("")),
        ("empty key", charge("idempotency-key: \r\n")),
        (
            "two keys",
            charge("idempotency-key: k\r\nidempotency-key: k\r\n"),
        ),
        (
            "long key",
            charge(&format!("idempotency-key: {}\r\n", "k".repeat(600))),
        ),
        ("key beyond ASCII", charge("idempotency-key: pe\u{f1}a\r\n")),
        ("no ticket", presents("x")),
        ("empty ticket", presents("")),
        ("altered ticket", presents(&altered)),
        ("ticket of nobody", presents(&absent)),
        ("ticket of another service", presents(&foreign)),
        (
            "long ticket",
            presents(&format!("{ticket}{}", "a".repeat(600))),
        ),
        (
            "two tickets",
            charge(&format!(
                "idempotency-key: k\r\nberylhead-ticket: {ticket}\r\nberylhead-ticket: {ticket}\r\n"
            )),
        ),
        ("another key's ticket", other("l")),
        ("a daemon's number", presents(&number.to_string())),
        ("asks for a ticket", presents("issue")),
        (
            "asks where none is needed",
            request(READ, "berylhead-ticket: issue\r\n", ""),
        ),
    ];
    let told = refused(&rig, to, &requests).await;
    insta::assert_snapshot!(told, @r"
    no key: 400 not-run invalid missing header idempotency-key; the operation may not be repeated
    empty key: 400 not-run invalid missing header idempotency-key; the operation may not be repeated
    two keys: 400 not-run invalid header idempotency-key: given more than once; allowed: once
    long key: 400 not-run invalid header idempotency-key: too long; allowed: at most 512 bytes
    key beyond ASCII: 400 not-run invalid header idempotency-key: not visible text
    no ticket: 400 not-run invalid header berylhead-ticket: not a ticket for this operation and idempotency-key
    empty ticket: 400 not-run invalid header berylhead-ticket: not a ticket for this operation and idempotency-key
    altered ticket: 400 not-run invalid header berylhead-ticket: not a ticket for this operation and idempotency-key
    ticket of nobody: 502 unknown unreachable
    ticket of another service: 502 unknown superseded
    long ticket: 400 not-run invalid header berylhead-ticket: too long; allowed: at most 512 bytes
    two tickets: 400 unknown invalid this send was refused; an earlier send of its ticket may have run
    another key's ticket: 400 not-run invalid header berylhead-ticket: not a ticket for this operation and idempotency-key
    a daemon's number: 400 not-run invalid header berylhead-ticket: not a ticket for this operation and idempotency-key
    asks for a ticket: 428 not-run ticket-required send the request again with the ticket in berylhead-ticket
    asks where none is needed: 400 not-run invalid header berylhead-ticket: this call takes no ticket
    ");
}

#[tokio::test]
async fn odd_methods_and_numbers_are_refused() {
    let rig = rig().await;
    let to = rig.node("reservas-a1").callers();
    let call = Call::new("caja", "charge", "t").key("k");
    let ticket = rig.caller.send(to, &call).await.unwrap().ticket().unwrap();
    let by = |method: &str| {
        let fields = format!("idempotency-key: k\r\nberylhead-ticket: {ticket}\r\n");
        request(&format!("{method} /caja/charge HTTP/1.1"), &fields, "")
    };
    let requests = [
        ("HEAD", by("HEAD")),
        ("OPTIONS", by("OPTIONS")),
        ("TRACE", by("TRACE")),
        ("odd method", by("PURGE")),
        (
            "deadline in words",
            request(READ, "berylhead-deadline-ms: soon\r\n", ""),
        ),
        (
            "negative deadline",
            request(READ, "berylhead-deadline-ms: -1\r\n", ""),
        ),
        (
            "two deadlines",
            request(
                READ,
                "berylhead-deadline-ms: 1\r\nberylhead-deadline-ms: 2\r\n",
                "",
            ),
        ),
        (
            "endless attempts",
            request(READ, "berylhead-attempt: 70000\r\n", ""),
        ),
    ];
    let told = refused(&rig, to, &requests).await;
    insta::assert_snapshot!(told, @r"
    HEAD: 405 unknown invalid
    OPTIONS: 405 unknown invalid this send was refused; an earlier send of its ticket may have run
    TRACE: 405 unknown invalid this send was refused; an earlier send of its ticket may have run
    odd method: 405 unknown invalid this send was refused; an earlier send of its ticket may have run
    deadline in words: 400 not-run invalid header berylhead-deadline-ms: not a whole number in range
    negative deadline: 400 not-run invalid header berylhead-deadline-ms: not a whole number in range
    two deadlines: 400 not-run invalid header berylhead-deadline-ms: given more than once; allowed: once
    endless attempts: 400 not-run invalid header berylhead-attempt: not a whole number in range
    ");
}

/// What a caller says about the root request is not believed.
#[tokio::test]
async fn forged_context_of_a_caller_is_dropped() {
    let rig = rig().await;
    let context = format!(
        "berylhead-request-id: {ROOT}\r\nberylhead-class: critical\r\nberylhead-worth: 4000000000\r\n\
        berylhead-retries: 60000\r\nberylhead-load: 0,0,0,0,bulk\r\n"
    );
    for id in ["caja-a1", "reservas-a1"] {
        let told = send_raw(rig.node(id).callers(), &request(READ, &context, "")).await;
        assert_eq!(told, "200 answered");
    }
    let runs = rig.ledger.runs();
    assert_eq!(runs.len(), 2);
    assert!(runs.iter().all(|run| run.root.as_deref() != Some(ROOT)));
}

/// Of other daemons the context is required, and a number runs once.
#[tokio::test]
async fn between_daemons_the_context_must_be_whole() {
    let rig = rig().await;
    let mesh = rig.node("caja-a1").daemon.bound().mesh;
    let context = |class: &str, worth: &str| {
        format!(
            "content-length: 0\r\nidempotency-key: k\r\nberylhead-request-id: {ROOT}\r\n\
            berylhead-class: {class}\r\nberylhead-worth: {worth}\r\nberylhead-attempt: 0\r\n\
            berylhead-deadline-ms: 5000\r\nberylhead-retries: 0\r\n"
        )
    };
    let whole = context("critical", "1");
    let number = ticket::CallNumberGenerator::new("reservas-a1".into(), 7.into()).next_number();
    let numbered =
        |text: &str| request(CHARGE, &format!("{whole}berylhead-ticket: {text}\r\n"), "");
    let requests = [
        ("no context", request(READ, "", "")),
        ("unknown class", request(READ, &context("vital", "1"), "")),
        (
            "endless worth",
            request(READ, &context("critical", "99999999999"), ""),
        ),
        (
            "another service",
            request("GET /reservas/browse HTTP/1.1", &whole, ""),
        ),
        ("no number", numbered("c1.zz")),
        ("asks for a ticket", numbered("issue")),
    ];
    let told = refused(&rig, mesh, &requests).await;
    insta::assert_snapshot!(told, @r"
    no context: 400 not-run invalid header berylhead-request-id: missing
    unknown class: 400 not-run invalid header berylhead-class: not a class
    endless worth: 400 not-run invalid header berylhead-worth: not a whole number in range
    another service: 421 not-run invalid another service's target stands here
    no number: 400 not-run invalid header berylhead-ticket: not a ticket for this operation and idempotency-key
    asks for a ticket: 428 not-run ticket-required send the request again with the ticket in berylhead-ticket
    ");
    let replayed = numbered(&number.to_string());
    let told = [
        send_raw(mesh, &replayed).await,
        send_raw(mesh, &replayed).await,
    ];
    assert_eq!(told, ["200 answered", "502 unknown answer-gone"]);
    assert_eq!(rig.ledger.count_of_key("k"), 1);
}

/// Bytes that are no frames end their connection, not the daemon.
#[tokio::test]
async fn garbage_on_the_control_listener_is_survived() {
    let rig = rig().await;
    let control = rig.node("caja-a1").daemon.bound().control;
    let frames: [&[u8]; 4] = [
        b"GET / HTTP/1.1\r\n\r\n",
        &[0xff; 64],
        &[0, 0, 0, 4, 0xff, 0xff, 0xff, 0xff],
        &[0; 64],
    ];
    for frame in frames {
        let mut stream = TcpStream::connect(control).await.unwrap();
        stream.write_all(frame).await.unwrap();
        stream.shutdown().await.unwrap();
        let mut rest = Vec::new();
        let _ = tokio::time::timeout(CAP, stream.read_to_end(&mut rest))
            .await
            .unwrap();
    }
    let call = Call::new("caja", "balance", "t");
    let reply = rig
        .caller
        .send(rig.node("reservas-a1").callers(), &call)
        .await;
    assert_eq!(reply.unwrap().status, StatusCode::OK);
}

/// A body that grows past the limit on its way is broken off, and is never run as whole.
#[tokio::test]
async fn a_body_that_grows_past_the_limit_does_not_run() {
    let rig = rig().await;
    let to = rig.node("reservas-a1").callers();
    let mut stream = TcpStream::connect(to).await.unwrap();
    let head = request(
        "POST /caja/balance HTTP/1.1",
        "transfer-encoding: chunked\r\n",
        "",
    );
    stream.write_all(&head).await.unwrap();
    let mut chunk = b"100000\r\n".to_vec();
    chunk.resize(chunk.len() + 0x0010_0000, b'x');
    chunk.extend_from_slice(b"\r\n");
    for _ in 0..66 {
        if stream.write_all(&chunk).await.is_err() {
            break;
        }
    }
    let _ = stream.write_all(b"0\r\n\r\n").await;
    let mut answer = Vec::new();
    let _ = tokio::time::timeout(CAP, stream.read_to_end(&mut answer))
        .await
        .unwrap();
    let told = told(&answer);
    assert!(!told.contains("answered"), "{told}");
    assert!(rig.ledger.runs().is_empty());
    assert!(rig.is_ready("reservas-a1").await);
}
