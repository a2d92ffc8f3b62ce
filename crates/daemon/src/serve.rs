//! One request, from its listener to its answer.

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
use crate::outcomes::Promise;
use crate::reply::{self, Answer};
use crate::shell::Shell;
use crate::{admin, entry, fate, local, mesh};

type Served = Request<RequestExt<RequestBody>>;

/// When to ask a daemon again that holds no configuration yet.
const NOT_READY_RETRY: std::time::Duration = std::time::Duration::from_millis(500);

/// Answers one request.
pub(crate) async fn serve(shell: &Arc<Shell>, req: Served) -> Answer {
    let Some(connection) = shell.connections.get(req.body().socket_addr()) else {
        return reply::invalid(StatusCode::BAD_REQUEST, "the connection is closed");
    };
    if connection.listener() == ListenerKind::Admin {
        return admin::serve(shell, req.uri().path());
    }
    let started = Instant::now();
    connection.record_request(started);
    let in_flight = shell.count_in_flight();
    let passed_id = req.headers().get(header::REQUEST_ID).cloned();
    let mut answer = decide(shell, &connection, req).await;
    if shell.is_leaving() {
        // Peers take the connection out of their pools with this answer.
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(CONNECTION, close);
    }
    shell
        .metrics
        .answered(connection.listener(), &answer, started.elapsed());
    log_decision(shell, connection.listener(), passed_id, &answer, started);
    connection.record_answer_start();
    answer.map(|body| body.bind_to(connection, in_flight))
}

async fn decide(shell: &Arc<Shell>, connection: &Arc<Connection>, req: Served) -> Answer {
    shell.confirmed().await;
    if fate::may_be_repeat(connection.listener(), req.headers()) {
        fate::of_repeat(route(shell, connection, req).await)
    } else {
        route(shell, connection, req).await
    }
}

async fn route(shell: &Arc<Shell>, connection: &Arc<Connection>, req: Served) -> Answer {
    let view = shell.view();
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
            let promise = Promise::new(&inbound, Instant::now());
            let mut answer = entry::serve(shell, &view, inbound).await;
            shell.outcomes.track(promise, &mut answer);
            answer
        }
        ListenerKind::Mesh => mesh::serve(shell, inbound).await,
        ListenerKind::Local | ListenerKind::Admin => local::serve(shell, inbound).await,
    }
}

/// One line per decision; the root request's id ties the daemons' lines together.
fn log_decision(
    shell: &Shell,
    side: ListenerKind,
    passed_id: Option<HeaderValue>,
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
        .or(passed_id);
    let id = id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("");
    // A target passes the id back together with its execution.
    let root = id.split('.').next().unwrap_or("");
    let text = |name| {
        parse::text(answer.headers(), name)
            .ok()
            .flatten()
            .unwrap_or("")
    };
    log::debug!(
        instance = shell.settings.identity.id.as_str(),
        request_id = root,
        listener = side.name(),
        status = answer.status().as_u16(),
        outcome = text(&header::OUTCOME),
        reason = text(&header::REASON),
        took_us = u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
        "decided"
    );
}

/// Outcome that an answer tells.
pub(crate) fn outcome(answer: &Answer) -> Option<Outcome> {
    parse::text(answer.headers(), &header::OUTCOME)
        .ok()
        .flatten()
        .and_then(Outcome::parse)
}

/// Reason that an answer gives for not having run the call.
pub(crate) fn refusal_reason(answer: &Answer) -> Option<RefusalReason> {
    let reason = parse::text(answer.headers(), &header::REASON)
        .ok()
        .flatten();
    reason.and_then(RefusalReason::parse)
}
