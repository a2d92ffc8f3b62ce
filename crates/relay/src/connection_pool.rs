//! Pool of HTTP/1.1 client connections to targets and to other daemons.

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

/// Timeout for establishing a connection. A lost SYN is retransmitted only after one second;
/// trying another target is faster.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Value of `TCP_USER_TIMEOUT`, the time for which sent bytes may stay unacknowledged: several
/// times the slowest round trip over a low-bandwidth link.
pub(crate) const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The same for a caller, which runs on this machine, so that no link can lose it. The time also runs
/// while the caller pauses and its receive buffer is full.
pub(crate) const CALLER_UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(30);
/// Idle time before the first TCP keep-alive probe, and interval between probes.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keep-alive probes after which a connection fails.
const KEEP_ALIVE_PROBES: u32 = 2;
/// Fraction of the peer's advertised idle timeout during which a connection is reused. The
/// rest is a margin for requests that are in transit when the peer closes the connection.
const IDLE_TIMEOUT_FRACTION: f64 = 0.7;
/// Idle timeout of a connection whose peer advertises none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum read buffer of one connection in bytes; small, as there are many connections.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Why a request got no response.
#[derive(Debug, Display)]
pub(crate) enum SendError {
    /// No byte of the request was sent.
    #[display("not sent: {_0}")]
    NotSent(String),
    /// The connection failed after the request may have reached the peer.
    #[display("broken: {_0}")]
    Broken(String),
}

/// The head of a response, its body, and the connection that the body is read from.
pub(crate) struct Reply {
    pub(crate) head: Parts,
    pub(crate) body: Incoming,
    pub(crate) connection: PooledConnection,
}

/// A connection to one address. Dropping it closes it and aborts its current request.
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

/// Idle connections of one daemon, by peer address.
#[derive(Default)]
pub(crate) struct ConnectionPool {
    idle: RefCell<HashMap<SocketAddr, Vec<PooledConnection>>>,
}

impl ConnectionPool {
    /// Sends a request and waits for the head of its response.
    ///
    /// If a reused connection was closed before any byte of the request was written, the
    /// request is sent again on another connection. No other request is sent twice.
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

    /// Sends a request without a body to one of another daemon's own endpoints. The caller
    /// returns the connection with [`Self::put_back`] once the response body is read.
    pub(crate) async fn send_to_daemon(
        &self,
        daemon: SocketAddr,
        request: request::Builder,
    ) -> Result<Reply, &'static str> {
        let req = request
            .header(header::HOST, "daemon")
            .body(Payload::empty())
            .map_err(|_| "invalid request")?;
        self.send(daemon, req)
            .await
            .map_err(|_| "no response from the daemon")
    }

    /// Returns a connection to the pool after a complete response, unless the response
    /// announces that the peer closes it.
    pub(crate) fn put_back(&self, mut connection: PooledConnection, headers: &HeaderMap) {
        let closes = headers
            .get_all(header::CONNECTION)
            .iter()
            .any(|value| has_token(value.as_bytes(), b"close"));
        if closes || connection.requests.is_closed() {
            return;
        }
        connection.idle_since = Instant::now();
        connection.idle_timeout = keep_alive_timeout(headers)
            .map_or(DEFAULT_IDLE_TIMEOUT, |advertised| {
                advertised.mul_f64(IDLE_TIMEOUT_FRACTION)
            });
        if !connection.idle_timeout.is_zero() {
            self.idle
                .borrow_mut()
                .entry(connection.to)
                .or_default()
                .push(connection);
        }
    }

    /// Closes connections whose idle timeout has expired.
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

    /// Takes the most recently used connection, so that surplus connections reach their idle
    /// timeout.
    fn take(&self, to: SocketAddr) -> Option<PooledConnection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&to)?;
        let mut busy = Vec::new();
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
                // Its previous request is still being written.
                None => busy.push(connection),
            }
        };
        connections.append(&mut busy);
        found
    }

    async fn connect(&self, to: SocketAddr) -> Result<PooledConnection, SendError> {
        let not_sent = |error: &dyn std::fmt::Display| SendError::NotSent(error.to_string());
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(to))
            .await
            .map_err(|_| not_sent(&"connect timeout"))?
            .map_err(|error| not_sent(&error))?;
        enable_dead_peer_detection(&stream, UNACKNOWLEDGED_TIMEOUT);
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

/// Sets socket options that make a connection fail within seconds if its peer stops
/// responding, and disables Nagle's algorithm. `unacknowledged` is the value of `TCP_USER_TIMEOUT`.
pub(crate) fn enable_dead_peer_detection(stream: &TcpStream, unacknowledged: Duration) {
    let socket = SockRef::from(stream);
    let keep_alive = TcpKeepalive::new()
        .with_time(KEEP_ALIVE_INTERVAL)
        .with_interval(KEEP_ALIVE_INTERVAL)
        .with_retries(KEEP_ALIVE_PROBES);
    let results = [
        socket.set_tcp_nodelay(true),
        socket.set_tcp_keepalive(&keep_alive),
        socket.set_tcp_user_timeout(Some(unacknowledged)),
    ];
    for error in results.into_iter().filter_map(Result::err) {
        log::debug!(error:%; "socket option not set");
    }
}

/// Idle timeout from the `Keep-Alive` header of a response, which is in whole seconds.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}

/// Returns whether a comma-separated header value contains `token`, ignoring ASCII case.
pub(crate) fn has_token(value: &[u8], token: &[u8]) -> bool {
    value
        .split(|&b| b == b',')
        .any(|part| part.trim_ascii().eq_ignore_ascii_case(token))
}
