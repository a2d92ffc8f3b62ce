//! A small HTTP/1.1 server that closes its listener and connections when dropped.

use std::convert::Infallible;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use http::{Request, Response, StatusCode};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet};

const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

pub(crate) type Body = BoxBody<Bytes, Infallible>;

/// A response, or the request to close the connection without one.
pub(crate) type HandlerResult = Result<Response<Body>, CloseConnection>;

/// Closes the connection instead of sending a response.
#[derive(Clone, Copy, Debug, Display, derive_more::Error)]
#[display("closed without an answer")]
pub(crate) struct CloseConnection;

#[derive(Debug)]
pub(crate) struct Server {
    address: SocketAddr,
    accept: JoinHandle<()>,
}

impl Server {
    /// Listens on the given address, or on a free loopback port.
    pub(crate) async fn start<H, F>(listen: Option<SocketAddr>, handle: H) -> io::Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
        F: Future<Output = HandlerResult> + Send + 'static,
    {
        let free_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let listener = TcpListener::bind(listen.unwrap_or(free_port)).await?;
        let address = listener.local_addr()?;
        let accept = tokio::spawn(accept_all(listener, handle));
        Ok(Server { address, accept })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.accept.abort();
    }
}

async fn accept_all<H, F>(listener: TcpListener, handle: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = HandlerResult> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                connections.spawn(serve(stream, handle.clone()));
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
        while connections.try_join_next().is_some() {}
    }
}

async fn serve<H, F>(stream: TcpStream, handle: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = HandlerResult> + Send + 'static,
{
    // A connection is served even if `TCP_NODELAY` can't be set.
    let _ = stream.set_nodelay(true);
    // Connection errors are ignored: the handlers record how each request ended.
    let _ = hyper::server::conn::http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service_fn(handle))
        .await;
}

/// A response with a fully buffered body.
pub(crate) fn respond(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Full::new(body.into()).boxed());
    *response.status_mut() = status;
    response
}

/// The raw value of a query parameter, without percent-decoding.
pub(crate) fn query_value<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
    query?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// The parsed value of a query parameter; `None` if it is absent or does not parse.
pub(crate) fn query_parsed<T: std::str::FromStr>(query: Option<&str>, name: &str) -> Option<T> {
    query_value(query, name)?.parse().ok()
}
