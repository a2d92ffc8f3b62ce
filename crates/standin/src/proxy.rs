//! A TCP proxy on loopback with faults that can be changed while it runs.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

use crate::pump::{Pump, Reset};

const BACKLOG: u32 = 1024;
const RETRY_DELAY: Duration = Duration::from_millis(10);

/// A direction through the proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the client to the upstream.
    Request,
    /// From the upstream to the client.
    Response,
}

/// The faults injected in one direction. The default injects none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Delay of each chunk of bytes read.
    pub latency: Duration,
    /// Upper bound of the uniformly distributed delay added to `latency`; chunks
    /// keep their order.
    pub jitter: Duration,
    /// No bytes are forwarded until this is cleared, so the sender experiences
    /// backpressure.
    pub frozen: bool,
    /// All bytes are read and discarded. Clearing this fault resets the connection,
    /// as bytes are missing from its stream.
    pub black_hole: bool,
    /// The connection is reset after it has forwarded this many bytes.
    pub truncate_after: Option<u64>,
    /// Limit in bytes per second.
    pub throttle: Option<u32>,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Settings {
    upstream: SocketAddr,
    refusing: bool,
    request: Faults,
    response: Faults,
    /// Incremented to reset all connections that were opened before.
    epoch: u64,
}

impl Settings {
    pub(crate) fn faults(&self, direction: Direction) -> Faults {
        match direction {
            Direction::Request => self.request,
            Direction::Response => self.response,
        }
    }
}

/// A running proxy; it resets its connections when dropped.
#[derive(Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    settings: watch::Sender<Settings>,
    opened: Arc<AtomicU64>,
    accept: JoinHandle<()>,
    /// A bound socket that doesn't listen. It keeps the port from being assigned to
    /// another socket while the proxy refuses connections.
    _reservation: TcpSocket,
}

impl FaultProxy {
    /// Starts on a free loopback port, without faults. `seed` determines the jitter.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub async fn start(upstream: SocketAddr, seed: u64) -> io::Result<Self> {
        Self::start_at(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), upstream, seed).await
    }

    /// Starts on the given address, without faults. `seed` determines the jitter.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    #[expect(
        clippy::unused_async,
        reason = "all stand-ins have an async start function"
    )]
    pub async fn start_at(at: SocketAddr, upstream: SocketAddr, seed: u64) -> io::Result<Self> {
        let reservation = bind(at)?;
        let address = reservation.local_addr()?;
        let listener = listen(address)?;
        let (settings, watched) = watch::channel(Settings {
            upstream,
            refusing: false,
            request: Faults::default(),
            response: Faults::default(),
            epoch: 0,
        });
        let opened = Arc::new(AtomicU64::new(0));
        let count = Arc::clone(&opened);
        let rng = SmallRng::seed_from_u64(seed);
        let accept = tokio::spawn(accept_all(listener, address, watched, rng, count));
        Ok(FaultProxy {
            address,
            settings,
            opened,
            accept,
            _reservation: reservation,
        })
    }

    /// The address that the proxy listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of connections accepted so far.
    #[must_use]
    pub fn opened(&self) -> u64 {
        self.opened.load(Ordering::Relaxed)
    }

    /// Sets the faults of one direction, for open connections as well as new ones.
    pub fn set(&self, direction: Direction, faults: Faults) {
        self.settings.send_modify(|settings| match direction {
            Direction::Request => settings.request = faults,
            Direction::Response => settings.response = faults,
        });
    }

    /// Sets the same faults in both directions.
    pub fn set_both(&self, faults: Faults) {
        self.set(Direction::Request, faults);
        self.set(Direction::Response, faults);
    }

    /// Clears all faults and listens again. Connections that lost bytes to a black
    /// hole are reset.
    pub fn heal(&self) {
        self.set_both(Faults::default());
        self.set_refusing(false);
    }

    /// Resets every open connection.
    pub fn reset_connections(&self) {
        self.settings.send_modify(|settings| settings.epoch += 1);
    }

    /// Stops listening, so that new connections are refused, or listens again.
    pub fn set_refusing(&self, refusing: bool) {
        self.settings
            .send_modify(|settings| settings.refusing = refusing);
    }

    /// Sets the upstream of connections accepted from now on.
    pub fn set_upstream(&self, upstream: SocketAddr) {
        self.settings
            .send_modify(|settings| settings.upstream = upstream);
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.accept.abort();
    }
}

async fn accept_all(
    listener: TcpListener,
    address: SocketAddr,
    mut settings: watch::Receiver<Settings>,
    mut rng: SmallRng,
    opened: Arc<AtomicU64>,
) {
    let mut listener = Some(listener);
    let mut connections = JoinSet::new();
    loop {
        let refusing = settings.borrow_and_update().refusing;
        if refusing {
            listener = None;
        } else if listener.is_none() {
            listener = rebind(address).await;
        }
        tokio::select! {
            accepted = accept(listener.as_ref()) => {
                opened.fetch_add(1, Ordering::Relaxed);
                let rng = SmallRng::seed_from_u64(rng.random());
                connections.spawn(proxy_connection(accepted, settings.clone(), rng));
            }
            changed = settings.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
        while connections.try_join_next().is_some() {}
    }
}

/// Binds a socket without listening.
fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseport(true)?;
    // Connections of an earlier test at this address may still wait for their end.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    bind(address)?.listen(BACKLOG)
}

async fn rebind(address: SocketAddr) -> Option<TcpListener> {
    loop {
        if let Ok(listener) = listen(address) {
            return Some(listener);
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

async fn accept(listener: Option<&TcpListener>) -> TcpStream {
    let Some(listener) = listener else {
        return std::future::pending().await;
    };
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            return stream;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Forwards one connection until it ends or a fault resets it.
async fn proxy_connection(
    mut client: TcpStream,
    settings: watch::Receiver<Settings>,
    rng: SmallRng,
) {
    let address = settings.borrow().upstream;
    let Ok(mut upstream) = TcpStream::connect(address).await else {
        let _ = client.set_zero_linger();
        return;
    };
    // The connection works without `TCP_NODELAY`, too.
    let _ = client.set_nodelay(true);
    let _ = upstream.set_nodelay(true);
    if forward(&mut client, &mut upstream, settings, rng)
        .await
        .is_err()
    {
        let _ = client.set_zero_linger();
        let _ = upstream.set_zero_linger();
    }
}

async fn forward(
    client: &mut TcpStream,
    upstream: &mut TcpStream,
    mut settings: watch::Receiver<Settings>,
    mut rng: SmallRng,
) -> Result<(), Reset> {
    let (client_read, client_write) = client.split();
    let (upstream_read, upstream_write) = upstream.split();
    let requests = Pump::new(Direction::Request, &settings, rng.random());
    let responses = Pump::new(Direction::Response, &settings, rng.random());
    let both = async {
        tokio::try_join!(
            requests.run(client_read, upstream_write),
            responses.run(upstream_read, client_write)
        )
    };
    let epoch = settings.borrow_and_update().epoch;
    tokio::select! {
        ended = both => ended.map(|_| ()),
        _ = settings.wait_for(|now| now.epoch != epoch) => Err(Reset),
    }
}
