//! HTTP client for targets and other daemons, with pooled connections.

use std::error::Error as StdError;
use std::net::SocketAddr;
use std::time::Duration;

use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{Request, Response, Uri};
use http_body::Body as _;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

use crate::body::CallBody;

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Size of a connection's read buffer, which also limits the head of an answer.
const MAX_READ_BUFFER_BYTES: usize = 64 * 1024;

/// Why a call failed before the head of its answer arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendError {
    /// No byte of the call was written.
    NotSent,
    /// The call may have been written in part or whole, so it may have run.
    MaybeSent,
}

/// A pool of connections to one kind of peer.
#[derive(Clone, Debug)]
pub(crate) struct Upstream {
    client: Client<HttpConnector, CallBody>,
}

impl Upstream {
    /// Creates a pool that closes idle connections after `idle_timeout`, and keeps at most
    /// `max_idle` of them to each peer.
    pub(crate) fn new(idle_timeout: Duration, max_idle: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(idle_timeout)
            .pool_max_idle_per_host(max_idle)
            .http1_max_buf_size(MAX_READ_BUFFER_BYTES)
            // A retry inside the client could run a call twice.
            .retry_canceled_requests(false)
            .build(connector);
        Upstream { client }
    }

    /// Sends a call and waits for the head of its answer.
    ///
    /// An answer body with neither a declared length nor a transfer encoding is an error: the
    /// end of the connection would end it, so that a truncated answer would seem complete.
    /// Dropping the future closes the connection, which cancels the call at the peer.
    pub(crate) async fn send(
        &self,
        req: Request<CallBody>,
    ) -> Result<Response<Incoming>, SendError> {
        let sent = self.client.request(req).await;
        let resp = sent.map_err(|error| classify(&error))?;
        if declares_end(&resp) {
            Ok(resp)
        } else {
            Err(SendError::MaybeSent)
        }
    }
}

fn declares_end(resp: &Response<Incoming>) -> bool {
    let headers = resp.headers();
    resp.body().is_end_stream()
        || headers.contains_key(CONTENT_LENGTH)
        || headers.contains_key(TRANSFER_ENCODING)
}

/// URI of a path at a peer.
pub(crate) fn uri(peer: SocketAddr, path_and_query: &str) -> Option<Uri> {
    format!("http://{peer}{path_and_query}").parse().ok()
}

/// Returns [`SendError::NotSent`] only if the client never began to write the call.
fn classify(error: &hyper_util::client::legacy::Error) -> SendError {
    if error.is_connect() {
        return SendError::NotSent;
    }
    let canceled = error
        .source()
        .and_then(|source| source.downcast_ref::<hyper::Error>())
        .is_some_and(hyper::Error::is_canceled);
    if canceled {
        SendError::NotSent
    } else {
        SendError::MaybeSent
    }
}
