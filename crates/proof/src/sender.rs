//! One send of a call that may not be repeated, and what its caller is told.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use model::Outcome;
use smol_str::SmolStr;
use standin::Call;
use wire::header;

/// A caller's connections. It never sends anything again by itself.
#[derive(Clone, Debug)]
pub struct Sender {
    http: Client<HttpConnector, Full<Bytes>>,
    patience: Duration,
}

/// What is sent.
#[derive(Clone, Debug)]
pub struct Send<'a> {
    /// The call, with its key and body.
    pub call: &'a Call,
    /// The text of the ticket header.
    pub ticket: Option<&'a str>,
    /// Number of earlier sends, if it is told.
    pub attempt: Option<u16>,
}

/// What the caller is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    /// The target answered.
    Answered {
        /// False if a successful answer is not this call's own whole one.
        own: bool,
    },
    /// It was not run.
    NotRun {
        /// Status and reason.
        why: SmolStr,
        /// The next ticket.
        next: Option<SmolStr>,
    },
    /// Its fate is unknown.
    Unknown {
        /// Status and reason.
        why: SmolStr,
    },
    /// No byte of it left.
    NotSent,
    /// No whole answer came.
    Lost,
}

impl Sender {
    /// Waits this long for each whole answer.
    #[must_use]
    pub fn new(patience: Duration) -> Self {
        let http = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(HttpConnector::new());
        Sender { http, patience }
    }

    /// Sends once.
    ///
    /// # Panics
    ///
    /// If the call holds what no header can.
    pub async fn send(&self, to: SocketAddr, send: &Send<'_>) -> Told {
        let exchange = self.exchange(to, send);
        let told = tokio::time::timeout(self.patience, exchange).await;
        told.unwrap_or(Told::Lost)
    }

    async fn exchange(&self, to: SocketAddr, send: &Send<'_>) -> Told {
        let response = match self.http.request(request(to, send)).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => return Told::NotSent,
            Err(_) => return Told::Lost,
        };
        let (head, body) = response.into_parts();
        let Ok(body) = body.collect().await else {
            return Told::Lost;
        };
        let text = |name: http::HeaderName| text(&head.headers, name);
        let why = || {
            let reason = text(header::REASON).unwrap_or_default();
            SmolStr::new(format!("{} {reason}", head.status.as_u16()))
        };
        match text(header::OUTCOME).and_then(Outcome::parse) {
            Some(Outcome::Answered) => Told::Answered {
                own: !head.status.is_success() || body.to_bytes() == send.call.expected(),
            },
            Some(Outcome::NotRun) => Told::NotRun {
                why: why(),
                next: text(header::TICKET).map(SmolStr::new),
            },
            Some(Outcome::Unknown) | None => Told::Unknown { why: why() },
        }
    }
}

fn request(to: SocketAddr, send: &Send<'_>) -> Request<Full<Bytes>> {
    let Call {
        service,
        operation,
        token,
        answer_bytes,
        hold,
        ..
    } = send.call;
    let hold_ms = hold.as_millis();
    let uri = format!(
        "http://{to}/{service}/{operation}?token={token}&bytes={answer_bytes}&hold_ms={hold_ms}"
    );
    let mut req = Request::post(uri);
    let texts = [
        (header::IDEMPOTENCY_KEY, send.call.key.as_deref()),
        (header::TICKET, send.ticket),
    ];
    for (name, text) in texts {
        if let Some(text) = text {
            req = req.header(name, text);
        }
    }
    if let Some(attempt) = send.attempt {
        req = req.header(header::ATTEMPT, attempt);
    }
    if let Some(deadline) = send.call.deadline {
        req = req.header(header::DEADLINE_MS, deadline.as_millis().to_string());
    }
    let body = Full::new(send.call.body.clone());
    req.body(body).expect("a call that headers can hold")
}

fn text(headers: &HeaderMap, name: http::HeaderName) -> Option<&str> {
    headers.get(name)?.to_str().ok()
}
