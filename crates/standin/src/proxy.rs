//! A TCP proxy on loopback whose faults are switched while it runs.

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
const REBIND_DELAY: Duration = Duration::from_millis(10);

/// A direction through the proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From whoever connected to the upstream.
    Request,
    /// From the upstream back.
    Response,
}

/// What goes wrong in one direction. The default is nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Delay of each piece.
    pub latency: Duration,
    /// Greatest random delay on top; pieces keep their order.
    pub jitter: Duration,
    /// Nothing moves until thawed, so that the sender is held up.
    pub frozen: bool,
    /// Everything is read and thrown away; the connection never delivers again.
    pub black_hole: bool,
    /// The connection is reset after this many bytes.
    pub truncate_after: Option<u64>,
    /// Greatest number of bytes in a second.
    pub throttle: Option<u32>,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Settings {
    upstream: SocketAddr,
    refusing: bool,
    request: Faults,
    response: Faults,
    /// Connections of an earlier epoch are reset.
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

/// The running proxy; resets its connections when dropped.
#[derive(Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    settings: watch::Sender<Settings>,
    opened: Arc<AtomicU64>,
    accept: JoinHandle<()>,
    /// Holds the port while the proxy refuses, so that nobody else is given it.
    _reservation: TcpSocket,
}

impl FaultProxy {
    /// Starts on a free loopback port, without faults.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub async fn start(upstream: SocketAddr, seed: u64) -> io::Result<Self> {
        Self::start_at(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), upstream, seed).await
    }

    /// Starts on an address of the caller's choice, without faults.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    #[expect(clippy::unused_async, reason = "all stand-ins are started alike")]
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

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Connections accepted so far.
    #[must_use]
    pub fn opened(&self) -> u64 {
        self.opened.load(Ordering::Relaxed)
    }

    /// Sets the faults of one direction, also for the open connections.
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

    /// Ends all faults. A connection that lost bytes is reset.
    pub fn heal(&self) {
        self.set_both(Faults::default());
        self.set_refusing(false);
    }

    /// Resets every open connection.
    pub fn reset_connections(&self) {
        self.settings.send_modify(|settings| settings.epoch += 1);
    }

    /// Stops or starts listening, so that connections are refused.
    pub fn set_refusing(&self, refusing: bool) {
        self.settings
            .send_modify(|settings| settings.refusing = refusing);
    }

    /// Sends later connections elsewhere.
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
                connections.spawn(join(accepted, settings.clone(), rng));
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

/// Binds without listening.
fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseport(true)?;
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
        tokio::time::sleep(REBIND_DELAY).await;
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
        tokio::time::sleep(REBIND_DELAY).await;
    }
}

/// Carries one connection until it ends or is to be reset.
async fn join(mut near: TcpStream, settings: watch::Receiver<Settings>, rng: SmallRng) {
    let upstream = settings.borrow().upstream;
    let Ok(mut far) = TcpStream::connect(upstream).await else {
        let _ = near.set_zero_linger();
        return;
    };
    // A connection that cannot be tuned is still carried.
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    if carry(&mut near, &mut far, settings, rng).await.is_err() {
        let _ = near.set_zero_linger();
        let _ = far.set_zero_linger();
    }
}

async fn carry(
    near: &mut TcpStream,
    far: &mut TcpStream,
    mut settings: watch::Receiver<Settings>,
    mut rng: SmallRng,
) -> Result<(), Reset> {
    let (near_read, near_write) = near.split();
    let (far_read, far_write) = far.split();
    let to_far = Pump::new(Direction::Request, &settings, rng.random());
    let to_near = Pump::new(Direction::Response, &settings, rng.random());
    let both = async {
        tokio::try_join!(
            to_far.run(near_read, far_write),
            to_near.run(far_read, near_write)
        )
    };
    let epoch = settings.borrow_and_update().epoch;
    tokio::select! {
        ended = both => ended.map(|_| ()),
        _ = settings.wait_for(|now| now.epoch != epoch) => Err(Reset),
    }
}
