//! Starting and stopping one daemon.

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
use crate::leaving::Sign;
use crate::listen::{ListenerKind, UnstartedListener};
use crate::run;
use crate::serve;
use crate::settings::{Listen, Settings};
use crate::shell::Shell;

/// Connections of callers stay open this long without a request, which is longer than
/// any daemon keeps an idle one: the sender of a request should close first.
const KEEP_ALIVE: Duration = Duration::from_secs(75);
/// Part of an answer that is held for a connection whose peer reads slowly.
const WRITE_BUFFER_BYTES: usize = 64 * 1024;
/// Time for a request's head to arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// How often a graceful stop looks whether all requests are answered.
const DRAIN_CHECK: Duration = Duration::from_millis(10);
/// Time for which a stopped daemon still refuses new work, so that others hear of it
/// from its own answers and not from a refused connection.
const LINGER: Duration = Duration::from_millis(500);

/// Sockets that are bound and not served yet.
struct Sockets {
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
    /// Addresses that the daemon listens on, with the ports that the system chose.
    #[must_use]
    pub fn addresses(&self) -> Listen {
        self.addresses
    }

    /// Waits until the daemon has stopped.
    pub fn join(self) {
        // A panic of the daemon has been reported on its own thread.
        let _ = self.thread.join();
    }
}

/// Binds all listeners and starts a daemon, which stops gracefully once `shutdown` resolves.
///
/// It runs on a thread of its own with a runtime of its own, so that one process may
/// hold many daemons.
///
/// # Errors
///
/// If an address can't be bound.
///
/// # Panics
///
/// If the system refuses a thread.
pub fn start<F>(settings: Settings, shutdown: F) -> Result<Daemon, Error>
where
    F: Future<Output = ()> + Send + 'static,
{
    let sockets = bind(&settings.listen)?;
    let addresses = bound(&sockets).map_err(|e| Error::bind("a bound socket", e))?;
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
                .expect("the system gives a runtime its descriptors");
            runtime.block_on(run(settings, sockets, shutdown));
        })
        .expect("the system gives a thread");
    Ok(Daemon { addresses, thread })
}

async fn run<F: Future<Output = ()>>(settings: Settings, sockets: Sockets, shutdown: F) {
    let (view_tx, view_rx) = watch::channel(View::default());
    let shell = Arc::new(Shell::new(settings, view_rx, Instant::now()));
    let listeners = [
        (sockets.callers, ListenerKind::Callers),
        (sockets.mesh, ListenerKind::Mesh),
        (sockets.local, ListenerKind::Local),
        (sockets.admin, ListenerKind::Admin),
    ];
    let server = serve_on(&shell, listeners).and_then(|mut server| Ok((server.handle()?, server)));
    let (handle, server) = match server {
        Ok(started) => started,
        Err(error) => {
            log::error!(error = error.to_string().as_str(); "server not started");
            return;
        }
    };
    let serving = tokio::spawn(server);
    let (leaving_tx, leaving_rx) = watch::channel(false);
    let control = match listen_for_control(sockets.control) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!(error = error.to_string().as_str(); "control not started");
            return;
        }
    };
    let background = [
        tokio::spawn(control::run(
            control_config(&shell.settings, &control),
            control,
            view_tx,
            leaving_rx,
            shell.freshness.clone(),
            Arc::clone(&shell.control),
        )),
        tokio::spawn(Arc::clone(&shell).follow_view()),
        tokio::spawn(health::follow(Arc::clone(&shell))),
        tokio::spawn({
            let shell = Arc::clone(&shell);
            async move { shell.door.keep_time().await }
        }),
    ];
    shutdown.await;
    // Peers hear of it from here, and from the refusals of new work.
    let _ = leaving_tx.send(true);
    drain(&shell).await;
    for task in background {
        task.abort();
    }
    handle.stop(false);
    let _ = tokio::time::timeout(Duration::from_secs(1), serving).await;
    log::info!(instance = shell.settings.identity.id.as_str(); "stopped");
}

fn listen_for_control(socket: TcpListener) -> io::Result<tokio::net::TcpListener> {
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

/// Refuses new work, and waits until what is in flight has ended or the grace is over.
async fn drain(shell: &Shell) {
    let id = shell.settings.identity.id.as_str();
    let grace = grace(shell);
    let grace_ms = u64::try_from(grace.as_millis()).unwrap_or(u64::MAX);
    log::info!(instance = id, in_flight = shell.in_flight(), grace_ms; "leaving");
    shell.leaving.set(Sign::Stop, true);
    let started = Instant::now();
    let end = started + grace;
    let quiet = wait_until(end, || {
        shell.in_flight() == 0 && started.elapsed() >= LINGER
    })
    .await;
    // An answer counts as ended when the server has taken all of it; it may still have
    // to be flushed to a slow reader.
    shell.connections.close_idle();
    let flushed = quiet && wait_until(end, || shell.connections.len() == 0).await;
    if !flushed {
        let in_flight = shell.in_flight();
        let connections = shell.connections.len();
        log::warn!(instance = id, in_flight, connections; "grace over, requests cut off");
    }
}

/// Time that a stop may take: as set, or as long as any request in flight may last.
fn grace(shell: &Shell) -> Duration {
    let view = shell.view();
    let services = view
        .index
        .iter()
        .flat_map(|index| &index.document().services);
    let deadlines_ms = services
        .flat_map(|service| &service.operations)
        .map(|o| o.deadline_ms);
    let longest = Duration::from_millis(deadlines_ms.max().unwrap_or(0).into());
    let set = shell.settings.grace;
    set.unwrap_or(longest + run::KEEP_GRACE + LINGER)
}

async fn wait_until(end: Instant, reached: impl Fn() -> bool) -> bool {
    while !reached() {
        if Instant::now() >= end {
            return false;
        }
        tokio::time::sleep(DRAIN_CHECK).await;
    }
    true
}

fn serve_on(
    shell: &Arc<Shell>,
    listeners: [(TcpListener, ListenerKind); 4],
) -> io::Result<ServerFuture> {
    let shell_of_service = Arc::clone(shell);
    let service = fn_service(move |req: Request<RequestExt<RequestBody>>| {
        let shell = Arc::clone(&shell_of_service);
        async move { Ok::<_, Infallible>(serve::serve(&shell, req).await) }
    });
    let mut server = HttpServer::serve(service)
        .server_threads(1)
        .worker_threads(1)
        .worker_max_blocking_threads(1)
        .keep_alive_timeout(KEEP_ALIVE)
        .request_head_timeout(HEAD_TIMEOUT)
        .max_write_buf_size::<WRITE_BUFFER_BYTES>()
        .disable_signal();
    for (socket, listener) in listeners {
        server = server.listen(UnstartedListener::new(
            socket,
            listener,
            shell.connections.clone(),
        ))?;
    }
    Ok(server.run())
}

fn bind(listen: &Listen) -> Result<Sockets, Error> {
    Ok(Sockets {
        callers: bind_one("callers", listen.callers)?,
        mesh: bind_one("mesh", listen.mesh)?,
        local: bind_one("local", listen.local)?,
        control: bind_one("control", listen.control)?,
        admin: bind_one("admin", listen.admin)?,
    })
}

fn bind_one(what: &str, address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).map_err(|e| Error::bind(&format!("[listen] {what} {address}"), e))
}

fn bound(sockets: &Sockets) -> io::Result<Listen> {
    Ok(Listen {
        callers: sockets.callers.local_addr()?,
        mesh: sockets.mesh.local_addr()?,
        local: sockets.local.local_addr()?,
        control: sockets.control.local_addr()?,
        admin: sockets.admin.local_addr()?,
    })
}
