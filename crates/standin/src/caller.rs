//! An HTTP client that sends calls, follows tickets and parses the outcome headers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http::{HeaderMap, HeaderName, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use model::Outcome;
use smol_str::SmolStr;
use wire::header;

use crate::call::Call;

/// An HTTP client that never retries on its own.
#[derive(Clone, Debug)]
pub struct Caller {
    http: Client<HttpConnector, Full<Bytes>>,
}

/// A response as the caller received it.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Status of the response.
    pub status: StatusCode,
    /// Headers of the response.
    pub headers: HeaderMap,
    /// The complete body, or the error that cut it off.
    pub body: Result<Bytes, SmolStr>,
}

impl Reply {
    /// The outcome that the response carries, if any.
    #[must_use]
    pub fn outcome(&self) -> Option<Outcome> {
        Outcome::parse(self.header(&header::OUTCOME)?)
    }

    /// The reason header, or an empty string if it is absent.
    #[must_use]
    pub fn reason(&self) -> &str {
        self.header(&header::REASON).unwrap_or_default()
    }

    /// Ticket to resend the call with.
    #[must_use]
    pub fn ticket(&self) -> Option<SmolStr> {
        self.header(&header::TICKET).map(SmolStr::new)
    }

    /// Time after which the caller may retry.
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        let ms = self.header(&header::RETRY_AFTER_MS)?.parse().ok()?;
        Some(Duration::from_millis(ms))
    }

    /// True if the status is a success and the body is exactly the one expected for `call`.
    #[must_use]
    pub fn answers(&self, call: &Call) -> bool {
        let whole = |body: &Bytes| *body == call.expected();
        self.status.is_success() && self.body.as_ref().is_ok_and(whole)
    }

    /// True if the status is a success and the body was read to its end, whatever its content.
    #[must_use]
    pub fn is_complete_success(&self) -> bool {
        self.status.is_success() && self.body.is_ok()
    }

    /// Status, outcome and reason in one line.
    #[must_use]
    pub fn summary(&self) -> String {
        let outcome = self.header(&header::OUTCOME).unwrap_or("-");
        format!("{} {outcome} {}", self.status.as_u16(), self.reason())
            .trim_end()
            .to_owned()
    }

    fn header(&self, name: &HeaderName) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// A request that failed before a response head or, in [`Caller::get`], a complete body
/// arrived.
#[derive(Debug, Display, Error)]
#[display("no answer: {detail}")]
pub struct CallError {
    detail: String,
    is_sent: bool,
}

impl CallError {
    /// True if no connection was established, so that no part of the request was sent.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        !self.is_sent
    }
}

impl From<http::Error> for CallError {
    fn from(error: http::Error) -> Self {
        CallError {
            detail: error.to_string(),
            is_sent: false,
        }
    }
}

impl From<hyper_util::client::legacy::Error> for CallError {
    fn from(error: hyper_util::client::legacy::Error) -> Self {
        CallError {
            detail: format!("{error:?}"),
            is_sent: !error.is_connect(),
        }
    }
}

impl From<hyper::Error> for CallError {
    fn from(error: hyper::Error) -> Self {
        CallError {
            detail: format!("{error:?}"),
            is_sent: true,
        }
    }
}

impl Default for Caller {
    fn default() -> Self {
        Caller::new()
    }
}

impl Caller {
    /// A client that pools idle connections.
    #[must_use]
    pub fn new() -> Self {
        Caller::with_idle_connections(usize::MAX)
    }

    /// A client that opens a new connection for each request.
    #[must_use]
    pub fn unpooled() -> Self {
        Caller::with_idle_connections(0)
    }

    fn with_idle_connections(idle: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let http = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_max_idle_per_host(idle)
            .retry_canceled_requests(false)
            .build(connector);
        Caller { http }
    }

    /// Sends the call once and returns the response with its body unread.
    ///
    /// # Errors
    ///
    /// If no response head arrived.
    pub async fn open(&self, to: SocketAddr, call: &Call) -> Result<Response<Incoming>, CallError> {
        Ok(self.http.request(call.request(to)?).await?)
    }

    /// Sends the call once and reads the complete response.
    ///
    /// # Errors
    ///
    /// If no response head arrived.
    pub async fn send(&self, to: SocketAddr, call: &Call) -> Result<Reply, CallError> {
        let (head, body) = self.open(to, call).await?.into_parts();
        let body = body.collect().await;
        Ok(Reply {
            status: head.status,
            headers: head.headers,
            body: body
                .map(http_body_util::Collected::to_bytes)
                .map_err(|error| SmolStr::new(error.to_string())),
        })
    }

    /// Sends a `GET` to any URI, such as a daemon's readiness endpoint.
    ///
    /// # Errors
    ///
    /// If no complete response arrived.
    pub async fn get(&self, uri: &str) -> Result<(StatusCode, Bytes), CallError> {
        let req = Request::get(uri).body(Full::default())?;
        let response = self.http.request(req).await?;
        let status = response.status();
        let body = response.into_body().collect().await?;
        Ok((status, body.to_bytes()))
    }

    /// Sends the call; if the response requires a ticket, resends it once with the ticket
    /// that the response carries.
    ///
    /// # Errors
    ///
    /// If no response head arrived.
    pub async fn send_with_ticket(&self, to: SocketAddr, call: &Call) -> Result<Reply, CallError> {
        let reply = self.send(to, call).await?;
        let ticket = reply.ticket();
        if reply.status != StatusCode::PRECONDITION_REQUIRED || ticket.is_none() {
            return Ok(reply);
        }
        let mut call = call.clone();
        call.ticket = ticket;
        call.attempt = call.attempt.or(Some(0));
        self.send(to, &call).await
    }
}
