//! Listening sockets and the HTTP/1.1 server on their connections.

use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

use crate::connection_pool::{
    CALLER_UNACKNOWLEDGED_TIMEOUT, UNACKNOWLEDGED_TIMEOUT, enable_dead_peer_detection,
};
use crate::error::{Error, Kind};
use crate::guards::ConnectionGuard;
use crate::payload::Payload;
use crate::relay::{Phase, Relay};
use crate::responses::status_only;
use crate::shared_stream::{SharedStream, UnreadBody};
use crate::{held, mesh, metrics, origin};

/// Length of the accept queue. Callers open hundreds of connections in a burst, and a
/// connection attempt that is dropped is retried only after one second.
const ACCEPT_BACKLOG: i32 = 1_024;
/// Delay after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Read buffer of one connection in bytes, in addition to the maximum size of a request head.
const READ_AHEAD_BYTES: usize = 8 << 10;
/// Idle timeout of a connection from another daemon; longer than that daemon keeps it in its
/// pool.
const MESH_IDLE_TIMEOUT: Duration = Duration::from_secs(40);

/// Which requests a listener serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListenerKind {
    /// Requests that originate on this machine.
    Outbound,
    /// Requests from other daemons.
    Mesh,
    /// Readiness checks.
    Ready,
    /// Scrapes of the metrics, and requests of operators.
    Metrics,
}

/// Binds a listening socket to an address.
pub(crate) fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    let listen = || -> std::io::Result<TcpListener> {
        let socket = Socket::new(
            Domain::for_address(address),
            Type::STREAM,
            Some(Protocol::TCP),
        )?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(ACCEPT_BACKLOG)?;
        TcpListener::from_std(socket.into())
    };
    listen().map_err(|error| Error::from(Kind::Bind { address, error }))
}

/// Accepts and serves connections until the future is dropped.
pub(crate) async fn accept(relay: Rc<Relay>, listener: TcpListener, kind: ListenerKind) {
    let unacknowledged = match kind {
        ListenerKind::Outbound => CALLER_UNACKNOWLEDGED_TIMEOUT,
        ListenerKind::Mesh | ListenerKind::Ready | ListenerKind::Metrics => UNACKNOWLEDGED_TIMEOUT,
    };
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                enable_dead_peer_detection(&stream, unacknowledged);
                tokio::task::spawn_local(serve(Rc::clone(&relay), stream, peer.ip(), kind));
            }
            Err(error) => {
                log::warn!(error:%; "failed to accept a connection");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve(relay: Rc<Relay>, stream: TcpStream, peer: IpAddr, kind: ListenerKind) {
    let _connected = ConnectionGuard::new(&relay);
    let stream = SharedStream::new(stream);
    if let Err(error) = serve_requests(&relay, stream.clone(), peer, kind).await {
        log::debug!(side:? = kind, error:%; "connection ended");
    }
    stream.close(Instant::now()).await;
}

/// Serves the requests of a connection until it ends or is told to.
async fn serve_requests(
    relay: &Rc<Relay>,
    stream: SharedStream,
    peer: IpAddr,
    kind: ListenerKind,
) -> hyper::Result<()> {
    let mut disconnect = relay.disconnect.subscribe();
    let limits = relay
        .table()
        .map_or_else(routes::Limits::default, |table| *table.limits());
    let idle_timeout = match kind {
        ListenerKind::Mesh => MESH_IDLE_TIMEOUT,
        ListenerKind::Outbound | ListenerKind::Ready | ListenerKind::Metrics => limits.idle_timeout,
    };
    let connection = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .max_buf_size(limits.header_bytes + READ_AHEAD_BYTES)
        .auto_date_header(false)
        .serve_connection(
            TokioIo::new(stream.clone()),
            service_fn(|req| {
                let (relay, stream) = (Rc::clone(relay), stream.clone());
                async move {
                    let res = respond(relay, req, peer, kind).await;
                    if let Some(body) = res.extensions().get::<UnreadBody>() {
                        stream.expect_body(*body);
                    }
                    Ok::<_, Infallible>(res)
                }
            }),
        );
    let mut connection = pin!(connection);
    tokio::select! {
        result = &mut connection => result,
        _ = disconnect.wait_for(|disconnect| *disconnect) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    }
}

async fn respond(
    relay: Rc<Relay>,
    req: Request<Incoming>,
    peer: IpAddr,
    kind: ListenerKind,
) -> Response<Payload> {
    match kind {
        ListenerKind::Outbound => origin::serve(relay, req).await,
        ListenerKind::Mesh => mesh::serve(&relay, peer, req).await,
        ListenerKind::Ready => readiness_response(&relay),
        ListenerKind::Metrics => {
            held::serve(&relay, &req).unwrap_or_else(|| metrics_response(&relay))
        }
    }
}

/// Answers a readiness check: 200 while the daemon is serving and has a configuration, else
/// 503.
fn readiness_response(relay: &Relay) -> Response<Payload> {
    let is_ready = relay.phase.get() == Phase::Serving && relay.table().is_some();
    status_only(if is_ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    })
}

fn metrics_response(relay: &Rc<Relay>) -> Response<Payload> {
    match metrics::encode_text(relay) {
        Ok(text) => Response::new(Payload::Buffered(text.into())),
        Err(status) => status_only(status),
    }
}
