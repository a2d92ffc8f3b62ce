//! Starts and stops one daemon.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use fleet::{NodeConfig, View};
use rand::Rng;
use tokio::sync::watch;
use xitca_server::ServerFuture;
use xitca_web::HttpServer;
use xitca_web::body::RequestBody;
use xitca_web::http::{Request, RequestExt};
use xitca_web::service::fn_service;

use crate::control::{self, ControlConfig};
use crate::error::Error;
use crate::health;
use crate::leaving::LeaveReason;
use crate::listen::{ListenerKind, UnstartedListener};
use crate::run;
use crate::serve;
use crate::settings::{Listen, Settings};
use crate::state::DaemonState;

/// Time after which the server closes an idle connection. It is longer than any daemon keeps
/// an idle connection as a client, so that a request isn't sent on a connection that is being
/// closed.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(75);
/// Maximum size of a connection's write buffer, which fills when the peer reads slowly.
const WRITE_BUFFER_BYTES: usize = 64 * 1024;
/// Time limit for receiving the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which a graceful stop checks whether all requests are answered.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Minimum duration of a graceful stop, unless the grace period is shorter. The daemon refuses
/// new work meanwhile, so that others learn of the stop from its answers and not from a refused
/// connection.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(500);

/// Bound sockets that are not served yet.
struct BoundSockets {
    callers: TcpListener,
    mesh: TcpListener,
    local: TcpListener,
    control: TcpListener,
    admin: TcpListener,
}

/// A daemon that is starting or running.
#[derive(Debug)]
pub struct Daemon {
    addresses: Listen,
    thread: std::thread::JoinHandle<()>,
}

impl Daemon {
    /// Returns the addresses that the daemon listens on, with the ports that the system chose.
    #[must_use]
    pub fn addresses(&self) -> Listen {
        self.addresses
    }

    /// Waits until the daemon has stopped.
    pub fn join(self) {
        // A panic of the daemon's thread has already been reported by the panic hook.
        let _ = self.thread.join();
    }
}

/// Binds all listeners and starts a daemon, which stops gracefully once `shutdown` resolves.
///
/// The daemon has its own thread and runtime, so that one process may run many daemons.
///
/// # Errors
///
/// If an address can't be bound.
///
/// # Panics
///
/// If the system can't create a thread.
pub fn start<F>(settings: Settings, shutdown: F) -> Result<Daemon, Error>
where
    F: Future<Output = ()> + Send + 'static,
{
    let sockets = bind(&settings.listen)?;
    let addresses = bound_addresses(&sockets).map_err(|e| Error::bind("a bound socket", e))?;
    log::info!(
        instance = settings.identity.id.as_str(),
        callers = addresses.callers.to_string().as_str(),
        mesh = addresses.mesh.to_string().as_str(),
        local = addresses.local.to_string().as_str(),
        control = addresses.control.to_string().as_str(),
        admin = addresses.admin.to_string().as_str();
        "listening"
    );
    let thread = std::thread::Builder::new()
        .name(settings.identity.id.to_string())
        .spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("the system has file descriptors for a runtime");
            runtime.block_on(run(settings, sockets, shutdown));
        })
        .expect("the system can create a thread");
    Ok(Daemon { addresses, thread })
}

async fn run<F: Future<Output = ()>>(settings: Settings, sockets: BoundSockets, shutdown: F) {
    let (view_tx, view_rx) = watch::channel(View::default());
    let state = Arc::new(DaemonState::new(settings, view_rx, Instant::now()));
    let listeners = [
        (sockets.callers, ListenerKind::Callers),
        (sockets.mesh, ListenerKind::Mesh),
        (sockets.local, ListenerKind::Local),
        (sockets.admin, ListenerKind::Admin),
    ];
    let server =
        start_server(&state, listeners).and_then(|mut server| Ok((server.handle()?, server)));
    let (handle, server) = match server {
        Ok(started) => started,
        Err(error) => {
            log::error!(error = error.to_string().as_str(); "cannot start the HTTP server");
            return;
        }
    };
    let server_task = tokio::spawn(server);
    let (leaving_tx, leaving_rx) = watch::channel(false);
    let control = match control_listener(sockets.control) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!(error = error.to_string().as_str(); "cannot listen for control connections");
            return;
        }
    };
    let background_tasks = [
        tokio::spawn(control::run(
            control_config(&state.settings, &control),
            control,
            view_tx,
            leaving_rx,
            state.freshness.clone(),
            Arc::clone(&state.control_counters),
        )),
        tokio::spawn(Arc::clone(&state).apply_view_changes()),
        tokio::spawn(health::watch_target(Arc::clone(&state))),
        tokio::spawn({
            let state = Arc::clone(&state);
            async move { state.admission.run_timers().await }
        }),
    ];
    shutdown.await;
    // Peers learn of the stop from the control plane, and from the refusals of new work.
    let _ = leaving_tx.send(true);
    drain(&state).await;
    for task in background_tasks {
        task.abort();
    }
    handle.stop(false);
    let _ = tokio::time::timeout(Duration::from_secs(1), server_task).await;
    log::info!(instance = state.settings.identity.id.as_str(); "stopped");
}

fn control_listener(socket: TcpListener) -> io::Result<tokio::net::TcpListener> {
    socket.set_nonblocking(true)?;
    tokio::net::TcpListener::from_std(socket)
}

fn control_config(settings: &Settings, listener: &tokio::net::TcpListener) -> ControlConfig {
    let bound = listener.local_addr().unwrap_or(settings.listen.control);
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let started_ms = since_epoch.unwrap_or_default().as_millis();
    ControlConfig {
        node: NodeConfig {
            id: settings.identity.id.clone(),
            data_centre: settings.identity.data_centre.clone(),
            control: settings.advertise.control.unwrap_or(bound),
            seeds: settings.seeds.clone(),
            expected_members: usize::try_from(settings.fleet_size).unwrap_or(usize::MAX),
            generation: u64::try_from(started_ms).unwrap_or(u64::MAX),
            seed: rand::rng().random(),
        },
        platform: settings.platform.clone(),
    }
}

/// Refuses new work, and waits until all requests in flight have ended or the grace period is
/// over.
async fn drain(state: &DaemonState) {
    let id = state.settings.identity.id.as_str();
    let grace = grace_period(state);
    let grace_ms = u64::try_from(grace.as_millis()).unwrap_or(u64::MAX);
    log::info!(instance = id, in_flight = state.in_flight(), grace_ms; "leaving");
    let started = Instant::now();
    let end = *state.stop_end.get_or_init(|| started + grace);
    state.leaving.set(LeaveReason::Stop, true);
    let drained = wait_until(end, || {
        state.in_flight() == 0 && started.elapsed() >= MIN_DRAIN_TIME
    })
    .await;
    // A request ends when the server has taken its whole answer, which may still have to be
    // flushed to a slow reader.
    state.connections.close_idle();
    let flushed = drained && wait_until(end, || state.connections.len() == 0).await;
    if !flushed {
        let in_flight = state.in_flight();
        let connections = state.connections.len();
        log::warn!(instance = id, in_flight, connections; "grace over, requests cut off");
    }
}

/// Returns the time limit of a graceful stop: the configured one, or else the longest time that
/// a request in flight may take.
fn grace_period(state: &DaemonState) -> Duration {
    let view = state.view();
    let services = view
        .index
        .iter()
        .flat_map(|index| &index.document().services);
    let deadlines_ms = services
        .flat_map(|service| &service.operations)
        .map(|o| o.deadline_ms);
    let max_deadline = Duration::from_millis(deadlines_ms.max().unwrap_or(0).into());
    let configured = state.settings.grace;
    configured.unwrap_or(max_deadline + run::DEADLINE_GRACE + MIN_DRAIN_TIME)
}

/// Polls `condition` until it holds; returns false if `end` passes first.
async fn wait_until(end: Instant, condition: impl Fn() -> bool) -> bool {
    while !condition() {
        if Instant::now() >= end {
            return false;
        }
        tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
    }
    true
}

fn start_server(
    state: &Arc<DaemonState>,
    listeners: [(TcpListener, ListenerKind); 4],
) -> io::Result<ServerFuture> {
    let service_state = Arc::clone(state);
    let service = fn_service(move |req: Request<RequestExt<RequestBody>>| {
        let state = Arc::clone(&service_state);
        async move { Ok::<_, Infallible>(serve::serve(&state, req).await) }
    });
    let mut server = HttpServer::serve(service)
        .server_threads(1)
        .worker_threads(1)
        .worker_max_blocking_threads(1)
        .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
        .request_head_timeout(HEAD_TIMEOUT)
        .max_write_buf_size::<WRITE_BUFFER_BYTES>()
        .disable_signal();
    for (socket, listener) in listeners {
        server = server.listen(UnstartedListener::new(
            socket,
            listener,
            state.connections.clone(),
        ))?;
    }
    Ok(server.run())
}

fn bind(listen: &Listen) -> Result<BoundSockets, Error> {
    Ok(BoundSockets {
        callers: bind_listener("callers", listen.callers)?,
        mesh: bind_listener("mesh", listen.mesh)?,
        local: bind_listener("local", listen.local)?,
        control: bind_listener("control", listen.control)?,
        admin: bind_listener("admin", listen.admin)?,
    })
}

fn bind_listener(what: &str, address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).map_err(|e| Error::bind(&format!("[listen] {what} {address}"), e))
}

fn bound_addresses(sockets: &BoundSockets) -> io::Result<Listen> {
    Ok(Listen {
        callers: sockets.callers.local_addr()?,
        mesh: sockets.mesh.local_addr()?,
        local: sockets.local.local_addr()?,
        control: sockets.control.local_addr()?,
        admin: sockets.admin.local_addr()?,
    })
}
