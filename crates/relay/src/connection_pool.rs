//! Connections to targets and to other daemons, reused between requests.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use futures_util::FutureExt;
use http::response::Parts;
use http::{HeaderMap, Request, header, request};
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::payload::Payload;

/// Time in which a connection has to be established: a lost opening packet is sent again only
/// after a second, and another target is found sooner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Time for which sent bytes may stay without an acknowledgement: several times the slowest
/// round trip over a narrow link.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Silence after which a connection in use is probed, and time between two probes.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without an answer after which a connection is given up.
const KEEP_ALIVE_PROBES: u32 = 2;
/// Part of the idle time that a peer promises for which a connection is used again: the rest
/// covers what is on its way when the peer closes.
const IDLE_TIMEOUT_FRACTION: f64 = 0.7;
/// Idle time of a connection whose peer promises none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Bytes that one connection reads ahead at most; small, as there are many connections.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Why a request has no answer.
#[derive(Debug, Display)]
pub(crate) enum SendError {
    /// No byte of it was sent.
    #[display("not sent: {_0}")]
    NotSent(String),
    /// It may have reached the other side.
    #[display("broken: {_0}")]
    Broken(String),
}

/// The head of an answer, with the connection on which its body follows.
pub(crate) struct Reply {
    pub(crate) head: Parts,
    pub(crate) body: Incoming,
    pub(crate) connection: PooledConnection,
}

/// One connection. Dropping it closes it, which also ends the request under way on it.
pub(crate) struct PooledConnection {
    requests: SendRequest<Payload>,
    task: tokio::task::JoinHandle<()>,
    to: SocketAddr,
    idle_since: Instant,
    idle_timeout: Duration,
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// All reused connections of one daemon.
#[derive(Default)]
pub(crate) struct ConnectionPool {
    idle: RefCell<HashMap<SocketAddr, Vec<PooledConnection>>>,
}

impl ConnectionPool {
    /// Sends a request and waits for the head of its answer.
    ///
    /// A reused connection that turns out to be closed before any byte was written is replaced;
    /// nothing else is sent twice.
    pub(crate) async fn send(
        &self,
        to: SocketAddr,
        mut req: Request<Payload>,
    ) -> Result<Reply, SendError> {
        loop {
            let (mut connection, reused) = match self.take(to) {
                Some(connection) => (connection, true),
                None => (self.connect(to).await?, false),
            };
            match connection.requests.try_send_request(req).await {
                Ok(res) => {
                    let (head, body) = res.into_parts();
                    return Ok(Reply {
                        head,
                        body,
                        connection,
                    });
                }
                Err(mut error) => match error.take_message() {
                    Some(unsent) if reused => req = unsent,
                    Some(_) => return Err(SendError::NotSent(error.into_error().to_string())),
                    None => return Err(SendError::Broken(error.into_error().to_string())),
                },
            }
        }
    }

    /// Asks another daemon for one of its own pages; the connection is to be reused once the
    /// answer is read.
    pub(crate) async fn send_to_daemon(
        &self,
        daemon: SocketAddr,
        page: request::Builder,
    ) -> Result<Reply, &'static str> {
        let req = page
            .header(header::HOST, "daemon")
            .body(Payload::empty())
            .map_err(|_| "no request")?;
        self.send(daemon, req).await.map_err(|_| "not reached")
    }

    /// Keeps a connection after a whole answer, unless the answer says that it closes.
    pub(crate) fn put_back(&self, mut connection: PooledConnection, answer: &HeaderMap) {
        let closes = answer
            .get_all(header::CONNECTION)
            .iter()
            .any(|value| has_token(value.as_bytes(), b"close"));
        if closes || connection.requests.is_closed() {
            return;
        }
        connection.idle_since = Instant::now();
        connection.idle_timeout = keep_alive_timeout(answer)
            .map_or(DEFAULT_IDLE_TIMEOUT, |promised| {
                promised.mul_f64(IDLE_TIMEOUT_FRACTION)
            });
        if !connection.idle_timeout.is_zero() {
            self.idle
                .borrow_mut()
                .entry(connection.to)
                .or_default()
                .push(connection);
        }
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn close_idle(&self, now: Instant) {
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|connection| connection.is_usable(now));
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    /// Closes all idle connections to an address.
    pub(crate) fn close_idle_to(&self, to: SocketAddr) {
        self.idle.borrow_mut().remove(&to);
    }

    /// Takes the connection that was used last, so that the others can become idle.
    fn take(&self, to: SocketAddr) -> Option<PooledConnection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&to)?;
        let mut unready = Vec::new();
        let found = loop {
            let Some(mut connection) = connections.pop() else {
                break None;
            };
            if !connection.is_usable(now) {
                continue;
            }
            match connection.requests.ready().now_or_never() {
                Some(Ok(())) => break Some(connection),
                Some(Err(_)) => {}
                // The rest of its last request is still being written.
                None => unready.push(connection),
            }
        };
        connections.append(&mut unready);
        found
    }

    async fn connect(&self, to: SocketAddr) -> Result<PooledConnection, SendError> {
        let not_sent = |error: &dyn std::fmt::Display| SendError::NotSent(error.to_string());
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(to))
            .await
            .map_err(|_| not_sent(&"no connection in time"))?
            .map_err(|error| not_sent(&error))?;
        enable_dead_peer_detection(&stream);
        let (requests, task) = Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| not_sent(&error))?;
        let task = tokio::task::spawn_local(async move {
            if let Err(error) = task.await {
                log::debug!(to:%, error:%; "connection ended");
            }
        });
        Ok(PooledConnection {
            requests,
            task,
            to,
            idle_since: Instant::now(),
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
        })
    }
}

impl PooledConnection {
    fn is_usable(&self, now: Instant) -> bool {
        !self.requests.is_closed()
            && now.saturating_duration_since(self.idle_since) < self.idle_timeout
    }
}

/// Lets a connection whose other side fell silent fail within seconds.
pub(crate) fn enable_dead_peer_detection(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keep_alive = TcpKeepalive::new()
        .with_time(KEEP_ALIVE_INTERVAL)
        .with_interval(KEEP_ALIVE_INTERVAL)
        .with_retries(KEEP_ALIVE_PROBES);
    let results = [
        socket.set_tcp_nodelay(true),
        socket.set_tcp_keepalive(&keep_alive),
        socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)),
    ];
    for error in results.into_iter().filter_map(Result::err) {
        log::debug!(error:%; "socket option refused");
    }
}

/// Idle time that an answer promises in its `Keep-Alive` header, in whole seconds.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}

/// True if a comma-separated header value holds a token, in any case of letters.
pub(crate) fn has_token(value: &[u8], token: &[u8]) -> bool {
    value
        .split(|&b| b == b',')
        .any(|part| part.trim_ascii().eq_ignore_ascii_case(token))
}
