//! A request that a caller sends.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::Full;
use smol_str::SmolStr;
use wire::header;

use crate::response_body;

/// One request, addressed by service and operation.
#[derive(Clone, Debug, Default)]
pub struct Call {
    /// Service that is called.
    pub service: SmolStr,
    /// Operation that is called.
    pub operation: SmolStr,
    /// Token that identifies the request; the response body is derived from it.
    pub token: SmolStr,
    /// Size of the requested response body, in bytes.
    pub answer_bytes: usize,
    /// True if the response is to be chunked, without a `content-length`.
    pub chunked: bool,
    /// Time that the target is asked to add to the operation's service time.
    pub hold: Duration,
    /// Idempotency key; a call that has one is a `POST`.
    pub key: Option<SmolStr>,
    /// Ticket from an earlier response.
    pub ticket: Option<SmolStr>,
    /// Request id that a target received and passes on.
    pub request_id: Option<SmolStr>,
    /// Time within which the response is useful.
    pub deadline: Option<Duration>,
    /// Number of earlier attempts, if the caller counts them.
    pub attempt: Option<u16>,
    /// Body of the request.
    pub body: Bytes,
    /// True if it is sent to a target rather than a daemon; the path then omits the service.
    pub direct: bool,
}

impl Call {
    /// A `GET` of one operation.
    #[must_use]
    pub fn new(service: &str, operation: &str, token: &str) -> Self {
        Call {
            service: service.into(),
            operation: operation.into(),
            token: token.into(),
            ..Call::default()
        }
    }

    /// Asks for a response body of this many bytes.
    #[must_use]
    pub fn answer_bytes(mut self, bytes: usize) -> Self {
        self.answer_bytes = bytes;
        self
    }

    /// Asks for a chunked response, without a `content-length`.
    #[must_use]
    pub fn chunked(mut self) -> Self {
        self.chunked = true;
        self
    }

    /// Makes it a `POST` with an idempotency key.
    #[must_use]
    pub fn key(mut self, key: &str) -> Self {
        self.key = Some(key.into());
        self
    }

    /// Addresses it to a target rather than to a daemon.
    #[must_use]
    pub fn direct(mut self) -> Self {
        self.direct = true;
        self
    }

    /// Asks the target to add this time to the operation's service time.
    #[must_use]
    pub fn hold(mut self, hold: Duration) -> Self {
        self.hold = hold;
        self
    }

    /// The response body that a target sends for this call.
    #[must_use]
    pub fn expected(&self) -> Vec<u8> {
        response_body::expected_body(
            &self.service,
            &self.operation,
            &self.token,
            self.answer_bytes,
        )
    }

    pub(crate) fn request(&self, to: SocketAddr) -> Result<Request<Full<Bytes>>, http::Error> {
        let prefix = if self.direct {
            String::new()
        } else {
            format!("/{}", self.service)
        };
        let uri = format!(
            "http://{to}{prefix}/{}?token={}&bytes={}&hold_ms={}&chunked={}",
            self.operation,
            self.token,
            self.answer_bytes,
            self.hold.as_millis(),
            self.chunked
        );
        let method = match self.key {
            Some(_) => Method::POST,
            None => Method::GET,
        };
        let mut req = Request::builder().method(method).uri(uri);
        let texts = [
            (&header::IDEMPOTENCY_KEY, &self.key),
            (&header::TICKET, &self.ticket),
            (&header::REQUEST_ID, &self.request_id),
        ];
        for (name, text) in texts {
            if let Some(text) = text {
                req = req.header(name, text.as_str());
            }
        }
        if let Some(deadline) = self.deadline {
            req = req.header(header::DEADLINE_MS, deadline.as_millis().to_string());
        }
        if let Some(attempt) = self.attempt {
            req = req.header(header::ATTEMPT, attempt);
        }
        req.body(Full::new(self.body.clone()))
    }
}
