//! HTTP requests and responses. The HTTP library's own resending is turned off.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::{HeaderName, HeaderValue};
use http::{HeaderMap, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use model::{Outcome, Refusal, RefusalReason};
use ticket::Ticket;
use wire::{header, parse};

use crate::call::Call;
use crate::error::Error;
use crate::retry::SendOutcome;

/// Time after which an unused pooled connection is closed.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// The HTTP client of one [`Client`](crate::Client).
#[derive(Clone, Debug)]
pub(crate) struct Transport {
    http: Client<HttpConnector, Full<Bytes>>,
}

/// The result of one HTTP request.
#[derive(Debug)]
pub(crate) enum HttpResult {
    /// The head of a response arrived; its body is still to be read.
    Response(Response<Incoming>),
    /// No connection was made, so no byte left.
    NotSent,
    /// Bytes may have left, but no response arrived.
    Lost,
}

impl Transport {
    pub(crate) fn new(connect_timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(connect_timeout));
        connector.set_nodelay(true);
        let http = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_idle_timeout(POOL_IDLE_TIMEOUT)
            .pool_timer(hyper_util::rt::TokioTimer::new())
            .build(connector);
        Transport { http }
    }

    pub(crate) async fn send(&self, req: Request<Full<Bytes>>, time_left: Duration) -> HttpResult {
        match tokio::time::timeout(time_left, self.http.request(req)).await {
            Ok(Ok(response)) => HttpResult::Response(response),
            Ok(Err(error)) if error.is_connect() => HttpResult::NotSent,
            Ok(Err(_)) | Err(_) => HttpResult::Lost,
        }
    }
}

/// Builds the HTTP request of one send; `attempt` is the number of sends before
/// it.
pub(crate) fn build_request(
    call: &Call,
    entry: SocketAddr,
    ticket: Option<&str>,
    attempt: u16,
    time_left: Duration,
) -> Result<Request<Full<Bytes>>, Error> {
    let uri = format!(
        "http://{entry}/{}/{}{}",
        call.service, call.operation, call.path_suffix
    );
    let mut req = Request::builder()
        .method(call.method.clone())
        .uri(uri)
        .body(Full::new(call.body.clone()))
        .map_err(|cause| Error::invalid_request("the path", &cause))?;
    let headers = req.headers_mut();
    headers.extend(call.headers.clone());
    let millis = u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX);
    headers.insert(header::DEADLINE_MS, HeaderValue::from(millis));
    headers.insert(header::ATTEMPT, HeaderValue::from(attempt));
    if let Some(key) = &call.key {
        insert_text(headers, header::IDEMPOTENCY_KEY, "the idempotency key", key)?;
    }
    if let Some(ticket) = ticket {
        insert_text(headers, header::TICKET, "the ticket", ticket)?;
    }
    Ok(req)
}

fn insert_text(
    headers: &mut HeaderMap,
    name: HeaderName,
    part: &'static str,
    text: &str,
) -> Result<(), Error> {
    let value =
        HeaderValue::from_str(text).map_err(|cause| Error::invalid_request(part, &cause))?;
    headers.insert(name, value);
    Ok(())
}

/// Returns the outcome of a send with `ticket` that got a response.
///
/// Without an outcome header the outcome is unknown. A `ticket-foreign` refusal
/// by the ticket's issuer applies to the ticket, not only to this send.
pub(crate) fn send_outcome<B>(response: &Response<B>, ticket: Option<&str>) -> SendOutcome {
    let headers = response.headers();
    let outcome = header_text(headers, &header::OUTCOME).and_then(Outcome::parse);
    match outcome {
        Some(Outcome::Answered) => SendOutcome::Answered,
        Some(Outcome::NotRun) => {
            let refusal = refusal(headers);
            let refused_as_foreign = refusal.reason == RefusalReason::TicketForeign;
            if refused_as_foreign && may_be_issuer(headers, ticket) {
                SendOutcome::TicketClosed(refusal)
            } else {
                SendOutcome::NotRun(refusal)
            }
        }
        Some(Outcome::Unknown) | None => SendOutcome::Unknown(retry_after(headers)),
    }
}

/// Returns the ticket that the daemon issued with a response.
pub(crate) fn issued_ticket<B>(response: &Response<B>) -> Option<&str> {
    header_text(response.headers(), &header::TICKET)
}

/// True if the response may come from the ticket's issuer: it names the same
/// instance as the ticket, or none. False if `ticket` does not parse.
fn may_be_issuer(headers: &HeaderMap, ticket: Option<&str>) -> bool {
    let issuer = ticket.and_then(|text| text.parse::<Ticket>().ok());
    let instance = header_text(headers, &header::INSTANCE);
    match (issuer, instance) {
        (Some(ticket), Some(instance)) => ticket.instance().as_str() == instance,
        (issuer, _) => issuer.is_some(),
    }
}

fn refusal(headers: &HeaderMap) -> Refusal {
    let reason = header_text(headers, &header::REASON).and_then(RefusalReason::parse);
    Refusal {
        reason: reason.unwrap_or(RefusalReason::Invalid),
        retry_after: retry_after(headers),
    }
}

fn retry_after(headers: &HeaderMap) -> Duration {
    parse::retry_after(headers)
        .ok()
        .flatten()
        .unwrap_or_default()
}

fn header_text<'h>(headers: &'h HeaderMap, name: &HeaderName) -> Option<&'h str> {
    parse::text(headers, name).ok().flatten()
}
