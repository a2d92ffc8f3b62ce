//! A test server that executes scripted actions and records the requests.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};

use http::HeaderMap;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Status and headers of a scripted response, without `content-length`.
pub(crate) type Head = &'static str;

/// What the server does on one request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Action {
    /// Answers with a head and a body.
    Answer(Head, &'static str),
    /// Never answers.
    NeverAnswer,
    /// Closes the connection without an answer.
    Disconnect,
    /// Closes the connection in the middle of the answer's body.
    TruncateBody(Head),
}

pub(crate) const ANSWERED: Head = "200 OK\r\nberylhead-outcome: answered";
pub(crate) const SHED: Head = "429 Too Many Requests\r\nberylhead-outcome: not-run\r\n\
    berylhead-reason: overloaded\r\nretry-after-ms: 1";
pub(crate) const UNKNOWN: Head = "502 Bad Gateway\r\nberylhead-outcome: unknown";
pub(crate) const NO_OUTCOME: Head = "500 Internal Server Error";

/// A running server.
pub(crate) struct Server {
    pub(crate) address: SocketAddr,
    requests: Arc<Mutex<Vec<String>>>,
    task: tokio::task::JoinHandle<()>,
}

impl Server {
    /// Executes one action per request, in order; after the last one, closes
    /// the connection of each further request.
    pub(crate) async fn start(actions: impl Into<Vec<Action>>) -> Self {
        Self::start_at([127, 0, 0, 1].into(), actions).await
    }

    /// Like [`start`](Self::start), on a given IP address.
    pub(crate) async fn start_at(ip: Ipv4Addr, actions: impl Into<Vec<Action>>) -> Self {
        let listener = TcpListener::bind((ip, 0)).await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let requests = Arc::new(Mutex::new(Vec::new()));
        let actions = Arc::new(Mutex::new(actions.into().into_iter()));
        let recorded = Arc::clone(&requests);
        let task = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            while let Ok((mut stream, _)) = listener.accept().await {
                let (actions, recorded) = (Arc::clone(&actions), Arc::clone(&recorded));
                connections.spawn(async move { serve(&mut stream, &actions, &recorded).await });
            }
        });
        Server {
            address,
            requests,
            task,
        }
    }

    /// Closes the listener and every connection.
    pub(crate) async fn stop(self) {
        self.task.abort();
        let _ = self.task.await;
    }

    /// Waits until `count` requests have arrived.
    pub(crate) async fn wait_for_requests(&self, count: usize) {
        while self.requests().len() < count {
            tokio::task::yield_now().await;
        }
    }

    /// Returns the ticket, attempt number and body length of each request.
    pub(crate) fn requests(&self) -> Vec<String> {
        self.requests.lock().expect("not poisoned").clone()
    }
}

async fn serve(
    stream: &mut TcpStream,
    actions: &Mutex<impl Iterator<Item = Action>>,
    requests: &Mutex<Vec<String>>,
) {
    while let Some(line) = read_request(stream).await {
        requests.lock().expect("not poisoned").push(line);
        let action = actions.lock().expect("not poisoned").next();
        let reply = match action {
            Some(Action::Answer(head, body)) => response(head, body.len(), body),
            Some(Action::TruncateBody(head)) => response(head, 1000, "part"),
            Some(Action::NeverAnswer) => std::future::pending().await,
            Some(Action::Disconnect) | None => return,
        };
        let is_truncated = reply.ends_with("part");
        if stream.write_all(reply.as_bytes()).await.is_err() || is_truncated {
            return;
        }
    }
}

fn response(head: &str, length: usize, body: &str) -> String {
    format!("HTTP/1.1 {head}\r\ncontent-length: {length}\r\n\r\n{body}")
}

/// Reads and summarizes one request; `None` if the client closed the connection.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let headers = headers(&String::from_utf8(head).ok()?);
    let text = |name: &str| {
        headers
            .get(name)
            .and_then(|v| v.to_str().ok())
            .unwrap_or("-")
    };
    let length: usize = text("content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    let (ticket, attempt) = (text("berylhead-ticket"), text("berylhead-attempt"));
    Some(format!("{ticket} attempt {attempt} body {length}"))
}

fn headers(head: &str) -> HeaderMap {
    let pairs = head.lines().filter_map(|line| line.split_once(": "));
    pairs
        .filter_map(|(name, value)| {
            let name = http::HeaderName::from_bytes(name.as_bytes()).ok()?;
            Some((name, value.parse().ok()?))
        })
        .collect()
}
