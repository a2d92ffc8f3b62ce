//! Listeners that know when a caller has gone away.
//!
//! The server does not drop a handler when its caller disconnects. Every accepted socket
//! is therefore watched through a duplicated descriptor, and its handlers are cancelled
//! by a token. A caller that only shuts its writing side isn't gone: after the end of its
//! stream an interim response is sent, which a closed socket answers with a reset.

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

/// Interim response that shows whether the peer still reads.
const PROBE_RESPONSE: &[u8] = b"HTTP/1.1 102 Processing\r\n\r\n";

/// A next request that starts sooner than this after an answer may have been pipelined,
/// and the answer may not be flushed yet; nothing is written between the two then.
const MIN_PROBE_GAP: Duration = Duration::from_millis(1);

/// Who connects to a listener, and so what is believed of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListenerKind {
    /// Callers outside the fleet; nothing they say about context is believed.
    Callers,
    /// Other daemons.
    Mesh,
    /// The own target's calls to other services.
    Local,
    /// Operators.
    Admin,
}

impl ListenerKind {
    /// Name in metrics and logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            ListenerKind::Callers => "callers",
            ListenerKind::Mesh => "mesh",
            ListenerKind::Local => "local",
            ListenerKind::Admin => "admin",
        }
    }
}

/// One accepted connection.
#[derive(Debug)]
pub(crate) struct Connection {
    listener: ListenerKind,
    disconnected: CancellationToken,
    /// Duplicate of the served socket; nothing is ever read from it.
    socket: TcpStream,
    exchange: Mutex<Exchange>,
}

#[derive(Debug, Default)]
struct Exchange {
    awaiting_response: bool,
    write_side_closed: bool,
    probe_allowed: bool,
    response_ended_at: Option<Instant>,
}

impl Connection {
    /// Which listener accepted the connection.
    pub(crate) fn listener(&self) -> ListenerKind {
        self.listener
    }

    /// Token that is cancelled once the peer is gone.
    pub(crate) fn disconnected(&self) -> &CancellationToken {
        &self.disconnected
    }

    /// Notes that a request is being decided.
    pub(crate) fn request_started(&self, now: Instant) {
        let mut exchange = self.lock();
        exchange.awaiting_response = true;
        exchange.probe_allowed = exchange
            .response_ended_at
            .is_none_or(|at| now.saturating_duration_since(at) >= MIN_PROBE_GAP);
        self.probe(&exchange);
    }

    /// Notes that the answer is handed to the server; nothing else may be written from now on.
    pub(crate) fn response_started(&self) {
        self.lock().awaiting_response = false;
    }

    /// Notes that the answer has ended.
    pub(crate) fn response_ended(&self, now: Instant) {
        self.lock().response_ended_at = Some(now);
    }

    /// Closes the connection, so that an answer broken off is seen as broken.
    ///
    /// The duplicated descriptor would otherwise keep it open after the server dropped it.
    pub(crate) fn abort(&self) {
        let _ = SockRef::from(&self.socket).shutdown(Shutdown::Both);
    }

    /// True if the peer closed its sending side and all that it sent has been read.
    pub(crate) fn is_read_to_end(&self) -> bool {
        let mut next = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&self.socket).peek(&mut next);
        peeked.is_ok_and(|length| length == 0)
    }

    /// Lets the server read the end of the stream, so that it flushes what is left of the
    /// last answer and closes.
    fn close_idle(&self) {
        let _ = SockRef::from(&self.socket).shutdown(Shutdown::Read);
    }

    fn peer_closed_writing(&self) {
        let mut exchange = self.lock();
        exchange.write_side_closed = true;
        self.probe(&exchange);
    }

    fn probe(&self, exchange: &Exchange) {
        if exchange.write_side_closed && exchange.awaiting_response && exchange.probe_allowed {
            let _ = self.socket.try_write(PROBE_RESPONSE);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Exchange> {
        self.exchange.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The open connections of all listeners, by the stand-in address that the server reports.
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
    /// Finds the connection that a request came over.
    pub(crate) fn get(&self, address: &SocketAddr) -> Option<Arc<Connection>> {
        let SocketAddr::V6(address) = address else {
            return None;
        };
        self.lock().open.get(&address.ip().to_bits()).cloned()
    }

    /// Closes the connections on which nothing is in flight, once their answers are flushed.
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

/// A bound listener that the server has not taken over yet.
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

/// A listener that registers each connection before the server sees it.
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
        // The server reports this address with each request, which makes it the key.
        let address = SocketAddr::from((Ipv6Addr::from_bits(key), 0));
        Ok(xitca_io::net::Stream::Tcp(stream, address))
    }
}

/// Returns once the connection is closed in both directions or reset.
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
        // Daemons never shut one side only.
        return;
    }
    connection.peer_closed_writing();
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

/// Forgets the present readiness without any I/O, so that the next event is waited for.
fn clear_readiness(socket: &TcpStream, interest: Interest) {
    let _ = socket.try_io(interest, || -> io::Result<()> {
        Err(io::ErrorKind::WouldBlock.into())
    });
}
