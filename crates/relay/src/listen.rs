//! Listeners and the connections that they accept.

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

use crate::connection_pool::enable_dead_peer_detection;
use crate::error::{Error, Kind};
use crate::guards::Connected;
use crate::payload::Payload;
use crate::relay::{Phase, Relay};
use crate::responses::status_only;
use crate::{mesh, metrics, origin};

/// Connections that may wait to be accepted: callers open hundreds at once in a burst, and a
/// dropped one is only tried again after a second.
const BACKLOG: i32 = 1_024;
/// Wait after an accept that failed, such as for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Bytes that one connection reads ahead at most, beside its longest head.
const READ_AHEAD_BYTES: usize = 8 << 10;
/// Time for which an idle connection between daemons is kept; longer than its caller keeps it.
const MESH_IDLE_TIMEOUT: Duration = Duration::from_secs(40);

/// What a listener serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListenerKind {
    Outbound,
    Mesh,
    Ready,
    Metrics,
}

/// Binds an address.
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
        socket.listen(BACKLOG)?;
        TcpListener::from_std(socket.into())
    };
    listen().map_err(|error| Error::from(Kind::Bind { address, error }))
}

/// Accepts connections until the task is dropped.
pub(crate) async fn accept(relay: Rc<Relay>, listener: TcpListener, side: ListenerKind) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                enable_dead_peer_detection(&stream);
                tokio::task::spawn_local(serve(Rc::clone(&relay), stream, peer.ip(), side));
            }
            Err(error) => {
                log::warn!(error:%; "connection not accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(relay: Rc<Relay>, stream: TcpStream, peer: IpAddr, side: ListenerKind) {
    let _connected = Connected::new(&relay);
    let mut disconnect = relay.disconnect.subscribe();
    let limits = relay
        .table()
        .map_or_else(routes::Limits::default, |table| *table.limits());
    let idle = match side {
        ListenerKind::Mesh => MESH_IDLE_TIMEOUT,
        ListenerKind::Outbound | ListenerKind::Ready | ListenerKind::Metrics => limits.idle_timeout,
    };
    let connection = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(limits.header_bytes + READ_AHEAD_BYTES)
        .auto_date_header(false)
        .serve_connection(
            TokioIo::new(stream),
            service_fn(|req| respond(Rc::clone(&relay), req, peer, side)),
        );
    let mut connection = pin!(connection);
    let result = tokio::select! {
        result = &mut connection => result,
        _ = disconnect.wait_for(|disconnect| *disconnect) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!(side:?, error:%; "connection ended");
    }
}

async fn respond(
    relay: Rc<Relay>,
    req: Request<Incoming>,
    peer: IpAddr,
    side: ListenerKind,
) -> Result<Response<Payload>, Infallible> {
    Ok(match side {
        ListenerKind::Outbound => origin::serve(relay, req).await,
        ListenerKind::Mesh => mesh::serve(&relay, peer, req).await,
        ListenerKind::Ready => ready(&relay),
        ListenerKind::Metrics => metrics(&relay),
    })
}

/// Ready while new work can be taken and its route is known.
fn ready(relay: &Relay) -> Response<Payload> {
    let is_ready = relay.phase.get() == Phase::Serving && relay.table().is_some();
    status_only(if is_ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    })
}

fn metrics(relay: &Rc<Relay>) -> Response<Payload> {
    match metrics::encode_text(relay) {
        Ok(text) => Response::new(Payload::Buffered(text.into())),
        Err(status) => status_only(status),
    }
}
