//! Requests that originate on this machine.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use http::request::Parts;
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::{Body, Incoming};
use model::InstanceId;
use tokio::time::Instant;
use wire::hop::HOP;

use crate::dispatch::{Dispatch, millis};
use crate::guards::InFlightGuard;
use crate::headers::strip_hop_by_hop;
use crate::local_target::ForwardedRequest;
use crate::metrics::RequestOutcome;
use crate::origin_request::OriginRequest;
use crate::payload::Payload;
use crate::relay::{Phase, Relay};
use crate::responses::{service_unavailable, status_only};
use crate::shared_stream::UnreadBody;

/// Retry delay while the daemon has no configuration yet.
const NO_TABLE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Serves one request that originates on this machine.
pub(crate) async fn serve(relay: Rc<Relay>, req: Request<Incoming>) -> Response<Payload> {
    let in_flight = InFlightGuard::new(&relay);
    let chunked = req.headers().contains_key(header::TRANSFER_ENCODING);
    let mut res = answer(&relay, req).await;
    // Hyper removes a Content-Length that comes with Transfer-Encoding, so what follows a chunked
    // request on its connection can't be trusted: it may be a smuggled one.
    if chunked || relay.phase.get() != Phase::Serving {
        let close = HeaderValue::from_static("close");
        res.headers_mut().insert(header::CONNECTION, close);
    }
    res.body_mut().keep_until_end(Box::new(in_flight));
    res
}

/// Forwards a request and returns its answer, at the latest when its deadline passes.
async fn answer(relay: &Rc<Relay>, req: Request<Incoming>) -> Response<Payload> {
    let arrived = Instant::now();
    let (head, body) = req.into_parts();
    let Some(table) = relay.table() else {
        relay
            .metrics
            .record_request(None, RequestOutcome::Refused, arrived.elapsed());
        return service_unavailable(NO_TABLE_RETRY_AFTER);
    };
    let request = match OriginRequest::read(relay, &table, &head, arrived) {
        Ok(request) => request,
        Err(status) => {
            relay
                .metrics
                .record_request(None, RequestOutcome::Invalid, arrived.elapsed());
            return status_only(status);
        }
    };
    let deadline = request.deadline;
    let (id, route) = (request.id.clone(), request.route.name.clone());
    let is_call = request.is_call;
    let class = request.class();
    // The runs that make calls began before, and fail without them.
    if relay.phase.get() == Phase::Closing && request.parent.is_none() {
        let unread = (!body.is_end_stream()).then(|| UnreadBody::of(&request, &table));
        let (outcome, res) = refuse_before_exit(relay, &request, unread, arrived);
        relay
            .metrics
            .record_request(Some(class), outcome, arrived.elapsed());
        return res;
    }
    let last_target: RefCell<Option<InstanceId>> = RefCell::new(None);
    let handled = tokio::time::timeout_at(deadline, async {
        let route = &request.route;
        let estimate = || relay.run_estimate(route);
        let body = tokio::select! {
            body = Payload::read(body) => body,
            () = relay.until_too_late(&route.name, deadline, estimate) => {
                let unread = UnreadBody::of(&request, &table);
                return refuse_before_exit(relay, &request, Some(unread), Instant::now());
            }
        };
        let body = match body {
            Ok(body) => body,
            Err(error) => {
                log::debug!(error:%; "request body incomplete");
                return (
                    RequestOutcome::Invalid,
                    status_only(StatusCode::BAD_REQUEST),
                );
            }
        };
        let forward = ForwardedRequest {
            head: forwarded_head(relay, head),
            body,
        };
        let fingerprint = forward.fingerprint(&relay.names);
        Dispatch::new(relay, request, fingerprint, &last_target)
            .run(forward)
            .await
    });
    let handled = tokio::select! {
        handled = handled => handled,
        () = relay.until_last_answers() => {
            let was_sent = last_target.borrow().is_some();
            log::info!(
                id = id.to_str().unwrap_or("unprintable"),
                route = route.as_str(),
                is_call,
                was_sent,
                held_ms = millis(arrived.elapsed());
                "request answered before the exit"
            );
            Ok(answer_before_exit(relay, was_sent))
        }
    };
    let (outcome, res) = handled.unwrap_or_else(|_| {
        log::info!(
            id = id.to_str().unwrap_or("unprintable"),
            route = route.as_str(),
            is_call,
            target_id:% = last_target.borrow().clone().unwrap_or_default(),
            held_ms = millis(arrived.elapsed());
            "request timed out"
        );
        (
            RequestOutcome::TimedOut,
            status_only(StatusCode::GATEWAY_TIMEOUT),
        )
    });
    relay
        .metrics
        .record_request(Some(class), outcome, arrived.elapsed());
    res
}

/// Returns the answer to a request that is still in flight when the process is about to exit. It may
/// run unless it was never sent.
fn answer_before_exit(relay: &Relay, was_sent: bool) -> (RequestOutcome, Response<Payload>) {
    if was_sent {
        (
            RequestOutcome::Unknown,
            status_only(StatusCode::BAD_GATEWAY),
        )
    } else {
        (
            RequestOutcome::Refused,
            service_unavailable(relay.stop_retry_after(Instant::now())),
        )
    }
}

/// Refuses a request that was not sent, as it could not be answered before the process exits.
fn refuse_before_exit(
    relay: &Relay,
    request: &OriginRequest,
    unread: Option<UnreadBody>,
    now: Instant,
) -> (RequestOutcome, Response<Payload>) {
    let retry_after = relay.stop_retry_after(now);
    log::info!(
        id = request.id.to_str().unwrap_or("unprintable"),
        route = request.route.name.as_str(),
        is_call = request.is_call,
        is_whole = unread.is_none(),
        held_ms = millis(now.saturating_duration_since(request.arrived)),
        retry_after_ms = millis(retry_after);
        "request refused before the exit"
    );
    let mut res = service_unavailable(retry_after);
    if let Some(unread) = unread {
        res.extensions_mut().insert(unread);
    }
    (RequestOutcome::Refused, res)
}

/// Prepares the head of a request for forwarding.
fn forwarded_head(relay: &Relay, mut head: Parts) -> Parts {
    strip_hop_by_hop(&mut head.headers);
    head.headers.remove(HOP);
    if let Ok(service) = HeaderValue::from_str(relay.cfg.service.as_str()) {
        head.headers
            .insert(relay.names.origin_service.clone(), service);
    }
    head
}
