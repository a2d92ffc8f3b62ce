//! Listeners that detect when a caller disconnects.
//!
//! The server does not drop a handler when its caller disconnects. Every accepted socket
//! is therefore monitored through a duplicated descriptor, and a token cancels its handlers.
//! A caller that only shuts down its sending side still waits for its answer: after the end
//! of its stream, an interim response is sent, which a closed socket answers with a reset.

use std::collections::HashMap;
use std::io;
use std::mem::MaybeUninit;
use std::net::{Ipv6Addr, Shutdown, SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use socket2::SockRef;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use xitca_server::net::{IntoListener, Listen};

/// Interim response that probes whether the peer still reads.
const PROBE_RESPONSE: &[u8] = b"HTTP/1.1 102 Processing\r\n\r\n";

/// Minimum time between the end of an answer and the start of the next request for which
/// probes are sent. A request that starts sooner may have been pipelined, so the previous
/// answer may not be flushed yet, and a probe could be written into the middle of it.
const MIN_PROBE_GAP: Duration = Duration::from_millis(1);

/// Which peers connect to a listener, which decides what of a request is trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListenerKind {
    /// Callers outside the fleet; their call context is not trusted.
    Callers,
    /// Other daemons.
    Mesh,
    /// The local target, for its calls to other services.
    Local,
    /// Operators.
    Admin,
}

impl ListenerKind {
    /// Name of the listener in metrics and logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            ListenerKind::Callers => "callers",
            ListenerKind::Mesh => "mesh",
            ListenerKind::Local => "local",
            ListenerKind::Admin => "admin",
        }
    }
}

/// An accepted connection.
#[derive(Debug)]
pub(crate) struct Connection {
    listener: ListenerKind,
    disconnected: CancellationToken,
    /// Duplicate of the socket that the server uses; data is never consumed from it.
    socket: TcpStream,
    exchange: Mutex<Exchange>,
}

/// State of the current request and its answer, which decides when a probe may be written.
#[derive(Debug, Default)]
struct Exchange {
    /// A request has arrived, and the server has no answer to it yet.
    awaiting_answer: bool,
    /// The peer has shut down its sending side.
    peer_write_closed: bool,
    /// The previous answer ended at least [`MIN_PROBE_GAP`] before this request.
    probe_allowed: bool,
    answer_ended_at: Option<Instant>,
}

impl Connection {
    /// The listener that accepted the connection.
    pub(crate) fn listener(&self) -> ListenerKind {
        self.listener
    }

    /// Token that is cancelled once the peer has disconnected.
    pub(crate) fn disconnected(&self) -> &CancellationToken {
        &self.disconnected
    }

    /// Records that a request has arrived.
    pub(crate) fn record_request(&self, now: Instant) {
        let mut exchange = self.lock();
        exchange.awaiting_answer = true;
        exchange.probe_allowed = exchange
            .answer_ended_at
            .is_none_or(|at| now.saturating_duration_since(at) >= MIN_PROBE_GAP);
        self.probe(&exchange);
    }

    /// Records that the answer is handed to the server; no probe may be written from then on.
    pub(crate) fn record_answer_start(&self) {
        self.lock().awaiting_answer = false;
    }

    /// Records that the answer has ended.
    pub(crate) fn record_answer_end(&self, now: Instant) {
        self.lock().answer_ended_at = Some(now);
    }

    /// Closes the connection, so that the peer detects that the answer is incomplete.
    ///
    /// The duplicated descriptor would otherwise keep it open after the server dropped it.
    pub(crate) fn abort(&self) {
        let _ = SockRef::from(&self.socket).shutdown(Shutdown::Both);
    }

    /// True if the peer shut down its sending side and all that it sent has been read.
    pub(crate) fn is_read_to_end(&self) -> bool {
        let mut next = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&self.socket).peek(&mut next);
        peeked.is_ok_and(|length| length == 0)
    }

    /// Makes the server read the end of the stream, upon which it flushes the rest of the
    /// last answer and closes the connection.
    fn close_idle(&self) {
        let _ = SockRef::from(&self.socket).shutdown(Shutdown::Read);
    }

    /// Records that the peer has shut down its sending side.
    fn record_peer_write_closed(&self) {
        let mut exchange = self.lock();
        exchange.peer_write_closed = true;
        self.probe(&exchange);
    }

    /// Writes a probe if the current state allows it.
    fn probe(&self, exchange: &Exchange) {
        if exchange.peer_write_closed && exchange.awaiting_answer && exchange.probe_allowed {
            let _ = self.socket.try_write(PROBE_RESPONSE);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Exchange> {
        self.exchange.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The open connections of all listeners. A synthetic peer address, which the server reports
/// with each request, identifies a connection.
#[derive(Clone, Debug, Default)]
pub(crate) struct Connections {
    table: Arc<Mutex<ConnectionTable>>,
}

#[derive(Debug, Default)]
struct ConnectionTable {
    next: u128,
    open: HashMap<u128, Arc<Connection>>,
}

impl Connections {
    /// Returns the connection that a request arrived on.
    pub(crate) fn get(&self, address: &SocketAddr) -> Option<Arc<Connection>> {
        let SocketAddr::V6(address) = address else {
            return None;
        };
        self.lock().open.get(&address.ip().to_bits()).cloned()
    }

    /// Closes the connections without a request in flight, once their answers are flushed.
    pub(crate) fn close_idle(&self) {
        for connection in self.lock().open.values() {
            connection.close_idle();
        }
    }

    /// Number of open connections.
    pub(crate) fn len(&self) -> usize {
        self.lock().open.len()
    }

    fn insert(&self, connection: Arc<Connection>) -> u128 {
        let mut table = self.lock();
        table.next += 1;
        let key = table.next;
        table.open.insert(key, connection);
        key
    }

    fn remove(&self, key: u128) {
        self.lock().open.remove(&key);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, ConnectionTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A bound listener that the server has not started yet.
#[derive(Debug)]
pub(crate) struct UnstartedListener {
    socket: TcpListener,
    listener: ListenerKind,
    connections: Connections,
}

impl UnstartedListener {
    pub(crate) fn new(
        socket: TcpListener,
        listener: ListenerKind,
        connections: Connections,
    ) -> Self {
        UnstartedListener {
            socket,
            listener,
            connections,
        }
    }
}

impl IntoListener for UnstartedListener {
    type Listener = ConnectionListener;

    fn into_listener(self) -> io::Result<ConnectionListener> {
        self.socket.set_nonblocking(true)?;
        Ok(ConnectionListener {
            socket: tokio::net::TcpListener::from_std(self.socket)?,
            listener: self.listener,
            connections: self.connections,
        })
    }
}

/// A listener that registers each connection in [`Connections`] before the server gets it.
#[derive(Debug)]
pub(crate) struct ConnectionListener {
    socket: tokio::net::TcpListener,
    listener: ListenerKind,
    connections: Connections,
}

impl Listen for ConnectionListener {
    async fn accept(&self) -> io::Result<xitca_io::net::Stream> {
        let (stream, _) = self.socket.accept().await?;
        stream.set_nodelay(true)?;
        let stream = stream.into_std()?;
        let connection = Arc::new(Connection {
            listener: self.listener,
            disconnected: CancellationToken::new(),
            socket: TcpStream::from_std(stream.try_clone()?)?,
            exchange: Mutex::default(),
        });
        let key = self.connections.insert(Arc::clone(&connection));
        let connections = self.connections.clone();
        tokio::spawn(async move {
            wait_until_disconnected(&connection).await;
            connection.disconnected.cancel();
            connections.remove(key);
        });
        // The server reports this address with each request, so it carries the key.
        let address = SocketAddr::from((Ipv6Addr::from_bits(key), 0));
        Ok(xitca_io::net::Stream::Tcp(stream, address))
    }
}

/// Returns once the connection is closed in both directions or reset; a connection from
/// another daemon, once the peer has closed its sending side.
async fn wait_until_disconnected(connection: &Connection) {
    let socket = &connection.socket;
    loop {
        let Ok(ready) = socket.ready(Interest::READABLE).await else {
            return;
        };
        if ready.is_read_closed() {
            break;
        }
        clear_readiness(socket, Interest::READABLE);
    }
    if connection.listener == ListenerKind::Mesh {
        // Daemons never shut down one direction only.
        return;
    }
    connection.record_peer_write_closed();
    loop {
        let Ok(ready) = socket.ready(Interest::WRITABLE | Interest::ERROR).await else {
            return;
        };
        if ready.is_write_closed() || ready.is_error() {
            return;
        }
        clear_readiness(socket, Interest::WRITABLE);
    }
}

/// Clears the socket's readiness without any I/O, so that the next call waits for a new event.
fn clear_readiness(socket: &TcpStream, interest: Interest) {
    let _ = socket.try_io(interest, || -> io::Result<()> {
        Err(io::ErrorKind::WouldBlock.into())
    });
}
