//! Handling of one request, from its listener to its answer.

use std::sync::Arc;
use std::time::Instant;

use http::header::CONNECTION;
use http::{HeaderValue, StatusCode};
use model::{Outcome, Refusal, RefusalReason};
use wire::{header, parse};
use xitca_web::body::RequestBody;
use xitca_web::http::{Request, RequestExt};

use crate::inbound::InboundRequest;
use crate::listen::{Connection, ListenerKind};
use crate::outcomes::TrackedRequest;
use crate::reply::{self, Answer};
use crate::state::DaemonState;
use crate::{admin, entry, local, mesh, refusal};

type ServerRequest = Request<RequestExt<RequestBody>>;

/// Time after which to repeat a request to a daemon that has no configuration yet.
const NOT_READY_RETRY: std::time::Duration = std::time::Duration::from_millis(500);

/// Handles one request.
pub(crate) async fn serve(state: &Arc<DaemonState>, req: ServerRequest) -> Answer {
    let Some(connection) = state.connections.get(req.body().socket_addr()) else {
        return reply::invalid(StatusCode::BAD_REQUEST, "the connection is closed");
    };
    if connection.listener() == ListenerKind::Admin {
        return admin::serve(state, req.uri().path());
    }
    let started = Instant::now();
    connection.record_request(started);
    let in_flight = state.count_in_flight();
    let received_id = req.headers().get(header::REQUEST_ID).cloned();
    let mut answer = respond(state, &connection, req).await;
    if state.is_leaving() {
        // With this header, peers remove the connection from their pools.
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(CONNECTION, close);
    }
    state
        .metrics
        .record_answer(connection.listener(), &answer, started.elapsed());
    log_decision(state, connection.listener(), received_id, &answer, started);
    connection.record_answer_start();
    answer.map(|body| body.bind_to(connection, in_flight))
}

async fn respond(
    state: &Arc<DaemonState>,
    connection: &Arc<Connection>,
    req: ServerRequest,
) -> Answer {
    state.wait_for_confirmed_view().await;
    if refusal::may_be_resend(connection.listener(), req.headers()) {
        refusal::unknown_unless_definitive(dispatch(state, connection, req).await)
    } else {
        dispatch(state, connection, req).await
    }
}

async fn dispatch(
    state: &Arc<DaemonState>,
    connection: &Arc<Connection>,
    req: ServerRequest,
) -> Answer {
    let view = state.view();
    let Some(index) = &view.index else {
        let reason = RefusalReason::NotReady;
        return reply::not_run(Refusal {
            reason,
            retry_after: NOT_READY_RETRY,
        });
    };
    let inbound = match InboundRequest::read(index, connection, req).await {
        Ok(inbound) => inbound,
        Err(answer) => return answer,
    };
    match connection.listener() {
        ListenerKind::Callers => {
            let tracked = TrackedRequest::new(&inbound, Instant::now());
            let mut answer = entry::serve(state, &view, inbound).await;
            state.outcomes.track(tracked, &mut answer);
            answer
        }
        ListenerKind::Mesh => mesh::serve(state, inbound).await,
        ListenerKind::Local | ListenerKind::Admin => local::serve(state, inbound).await,
    }
}

/// Logs one line per request; the id of the root request links the lines of all daemons.
fn log_decision(
    state: &DaemonState,
    listener: ListenerKind,
    received_id: Option<HeaderValue>,
    answer: &Answer,
    started: Instant,
) {
    if !log::log_enabled!(log::Level::Debug) {
        return;
    }
    let id = answer
        .headers()
        .get(header::REQUEST_ID)
        .cloned()
        .or(received_id);
    let id = id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("");
    // The id that a target passes back ends in its execution id.
    let root = id.split('.').next().unwrap_or("");
    let text = |name| {
        parse::text(answer.headers(), name)
            .ok()
            .flatten()
            .unwrap_or("")
    };
    log::debug!(
        instance = state.settings.identity.id.as_str(),
        request_id = root,
        listener = listener.name(),
        status = answer.status().as_u16(),
        outcome = text(&header::OUTCOME),
        reason = text(&header::REASON),
        took_us = u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
        "decided"
    );
}

/// Returns the outcome in an answer's headers.
pub(crate) fn outcome(answer: &Answer) -> Option<Outcome> {
    parse::text(answer.headers(), &header::OUTCOME)
        .ok()
        .flatten()
        .and_then(Outcome::parse)
}

/// Returns the reason in an answer's headers for which the call was not run.
pub(crate) fn refusal_reason(answer: &Answer) -> Option<RefusalReason> {
    let reason = parse::text(answer.headers(), &header::REASON)
        .ok()
        .flatten();
    reason.and_then(RefusalReason::parse)
}
