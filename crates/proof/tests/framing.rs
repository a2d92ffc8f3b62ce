//! Where a request or an answer ends: what breaks off is never taken for whole, and what
//! is whole gets through however its connection is used.

use std::net::SocketAddr;

use proof::{Link, Rig};
use standin::{Call, Caller};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const DAEMON: &str = env!("CARGO_BIN_EXE_daemon-under-test");
const LARGE_BYTES: usize = 300_000;
const CHUNKED_HEAD: &[u8] =
    b"POST /rutas/pack?token=c HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";

/// Route packs at rutas, entered there or at reservas.
async fn rig() -> Rig {
    Rig::pair(DAEMON, ["rutas", "reservas"], &[Link::Target], |target| {
        target
    })
    .await
    .unwrap()
}

fn entries(rig: &Rig) -> Vec<SocketAddr> {
    rig.nodes().iter().map(proof::Node::callers).collect()
}

#[tokio::test]
async fn an_upload_that_breaks_off_does_not_run() {
    let rig = rig().await;
    for entry in entries(&rig) {
        for (size, sent) in [(1_000, 500), (400_000, 200_000), (400_000, 399_999)] {
            let head = format!(
                "POST /rutas/pack?token=u HTTP/1.1\r\nhost: a\r\ncontent-length: {size}\r\n\r\n"
            );
            break_off(entry, head.as_bytes(), &vec![b'x'; sent]).await;
        }
        let chunk = [b"10000\r\n".as_slice(), &vec![b'x'; 0x10000], b"\r\n"].concat();
        break_off(entry, CHUNKED_HEAD, &chunk.repeat(3)).await;
    }
    let call = Call::new("rutas", "pack", "after").answer_bytes(10);
    let reply = rig.caller.send(rig.node("rutas-a1").callers(), &call).await;
    assert!(reply.unwrap().answers(&call));
    let tokens: Vec<_> = rig.ledger.runs().into_iter().map(|run| run.token).collect();
    assert_eq!(tokens, ["after"]);
}

/// Sends part of a request, ends the stream, and reads whatever comes back.
async fn break_off(to: SocketAddr, head: &[u8], body: &[u8]) {
    let mut stream = TcpStream::connect(to).await.unwrap();
    stream.write_all(head).await.unwrap();
    // The daemon may have closed on what it had read so far.
    let _ = stream.write_all(body).await;
    let _ = stream.shutdown().await;
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    let _ = tokio::time::timeout(proof::CAP, read)
        .await
        .expect("closed");
    assert!(!answer.starts_with(b"HTTP/1.1 200"));
}

#[tokio::test]
async fn a_whole_upload_reaches_the_target_whole() {
    let rig = rig().await;
    let mut expected = Vec::new();
    for entry in entries(&rig) {
        for size in [0, 1, 1_000, 65_536, 65_537, 400_000] {
            let mut call = Call::new("rutas", "pack", "l").answer_bytes(10).key("any");
            call.body = vec![b'x'; size].into();
            assert!(rig.caller.send(entry, &call).await.unwrap().answers(&call));
            expected.push(size);
        }
        for chunks in [1, 3] {
            let mut body = [b"10000\r\n".as_slice(), &vec![b'x'; 0x10000], b"\r\n"]
                .concat()
                .repeat(chunks);
            body.extend_from_slice(b"0\r\n\r\n");
            let mut stream = TcpStream::connect(entry).await.unwrap();
            stream.write_all(CHUNKED_HEAD).await.unwrap();
            stream.write_all(&body).await.unwrap();
            let mut answer = [0; 15];
            stream.read_exact(&mut answer).await.unwrap();
            assert_eq!(&answer, b"HTTP/1.1 200 OK");
            expected.push(chunks * 0x10000);
        }
    }
    let received: Vec<_> = rig
        .ledger
        .runs()
        .iter()
        .map(|run| run.received_bytes)
        .collect();
    assert_eq!(received, expected);
}

#[tokio::test]
async fn a_caller_that_only_closes_its_sending_side_gets_its_answer() {
    let rig = rig().await;
    for entry in entries(&rig) {
        let call = Call::new("rutas", "pack", "h").answer_bytes(LARGE_BYTES);
        let mut stream = TcpStream::connect(entry).await.unwrap();
        let path = format!("/rutas/pack?token=h&bytes={LARGE_BYTES}&hold_ms=50");
        let req = format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n");
        stream.write_all(req.as_bytes()).await.unwrap();
        stream.shutdown().await.unwrap();
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await.unwrap();
        assert!(answer.ends_with(&call.expected()), "{} bytes", answer.len());
    }
}

#[tokio::test]
async fn pipelined_requests_are_answered_in_their_order() {
    let rig = rig().await;
    for entry in entries(&rig) {
        let mut stream = TcpStream::connect(entry).await.unwrap();
        let mut expected = Vec::new();
        let mut sent = String::new();
        for (number, hold_ms) in [40, 0, 10, 0].into_iter().enumerate() {
            let (token, bytes) = (format!("p{number}"), 3_000 + number);
            let path = format!("/rutas/pack?token={token}&bytes={bytes}&hold_ms={hold_ms}");
            let close = if number == 3 {
                "connection: close\r\n"
            } else {
                ""
            };
            let req = format!("GET {path} HTTP/1.1\r\nhost: a\r\n{close}\r\n");
            sent.push_str(&req);
            expected.push(
                Call::new("rutas", "pack", &token)
                    .answer_bytes(bytes)
                    .expected(),
            );
        }
        stream.write_all(sent.as_bytes()).await.unwrap();
        let mut answers = Vec::new();
        stream.read_to_end(&mut answers).await.unwrap();
        let mut rest = answers.as_slice();
        for body in expected {
            let at = rest.windows(body.len()).position(|part| part == body);
            rest = &rest[at.expect("in order") + body.len()..];
        }
        assert!(rest.is_empty());
    }
}

#[tokio::test]
async fn an_answer_without_a_body_leaves_the_connection_in_order() {
    let rig = rig().await;
    for entry in entries(&rig) {
        let mut stream = TcpStream::connect(entry).await.unwrap();
        let head = "HEAD /rutas/pack?token=h&bytes=5000 HTTP/1.1\r\nhost: a\r\n\r\n";
        let get =
            "GET /rutas/pack?token=g&bytes=5000 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
        stream.write_all(head.as_bytes()).await.unwrap();
        stream.write_all(get.as_bytes()).await.unwrap();
        let mut answers = Vec::new();
        let read = stream.read_to_end(&mut answers);
        tokio::time::timeout(proof::CAP, read)
            .await
            .expect("closed")
            .unwrap();
        let call = Call::new("rutas", "pack", "g").answer_bytes(5_000);
        assert!(answers.ends_with(&call.expected()));
        let heads = String::from_utf8_lossy(&answers)
            .matches("HTTP/1.1 200 OK")
            .count();
        assert_eq!((heads, answers.len() < 6_500), (2, true));
    }
}

/// The end of such an answer is the end of the connection, which a cut brings about as well.
#[tokio::test]
async fn an_answer_that_declares_no_end_never_passes_for_whole() {
    let rig = rig().await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let target = rig.proxy("rutas-a1", Link::Target);
    target.set_upstream(listener.local_addr().unwrap());
    target.reset_connections();
    let answering = tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let _ = stream.read(&mut [0; 4_096]).await.unwrap();
            stream
                .write_all(b"HTTP/1.1 200 OK\r\n\r\npart")
                .await
                .unwrap();
        }
    });
    for entry in entries(&rig) {
        let call = Call::new("rutas", "pack", "e");
        let reply = Caller::unpooled().send(entry, &call).await.unwrap();
        assert!(!reply.is_complete_success(), "{}", reply.summary());
    }
    answering.abort();
}
