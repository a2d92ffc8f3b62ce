//! The admin listener: readiness, status, history and metrics.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use http::StatusCode;
use serde_json::json;

use crate::reply::{self, Answer};
use crate::state::DaemonState;

const JSON: &str = "application/json";
const PROMETHEUS_TEXT: &str = "text/plain; version=0.0.4";

/// Answers a request on the admin listener.
pub(crate) fn serve(state: &Arc<DaemonState>, path: &str) -> Answer {
    match path {
        "/ready" => ready(state),
        "/status" => reply::plain(StatusCode::OK, JSON, status(state)),
        "/history" => reply::plain(StatusCode::OK, JSON, history(state)),
        "/metrics" => reply::plain(StatusCode::OK, PROMETHEUS_TEXT, state.metrics.text().into()),
        _ => reply::plain(
            StatusCode::NOT_FOUND,
            JSON,
            Bytes::from_static(b"{\"error\":\"allowed: /ready, /status, /history, /metrics\"}"),
        ),
    }
}

fn ready(state: &DaemonState) -> Answer {
    let ready = state.is_ready();
    let status = if ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    reply::plain(status, JSON, json!({ "ready": ready }).to_string().into())
}

fn history(state: &DaemonState) -> Bytes {
    let history = state.outcomes.export(Instant::now());
    serde_json::to_vec(&history).unwrap_or_default().into()
}

fn status(state: &DaemonState) -> Bytes {
    let view = state.view();
    let identity = &state.settings.identity;
    let load = state.admission.load(Instant::now());
    let revision = view
        .index
        .as_ref()
        .map(|index| u64::from(index.document().revision));
    let status = json!({
        "instance": identity.id.as_str(),
        "service": identity.service.as_str(),
        "data_centre": identity.data_centre.as_str(),
        "region": identity.region.as_str(),
        "incarnation": state.incarnation.to_string(),
        "ready": state.is_ready(),
        "leaving": state.is_leaving(),
        "stale": state.freshness.is_stale(Instant::now()),
        "revision": revision,
        "digest": view.index.as_ref().map(|index| format!("{:016x}", index.document().digest())),
        "in_flight": load.in_flight,
        "limit": load.limit,
        "queued": load.queued,
        "queue_delay_us": u64::try_from(load.queue_delay.as_micros()).unwrap_or(u64::MAX),
        "floor": load.floor.to_string(),
        "requests_in_flight": state.in_flight(),
        "connections": state.connections.len(),
        "shed": state.outcomes.shed_by_class(),
        "answered": state.outcomes.answered_by_class(),
        "peers": view.members.len(),
        "members": view.members.iter().map(|m| json!({
            "id": m.id.as_str(), "service": m.service.as_str(), "standing": m.standing.to_string(),
        })).collect::<Vec<_>>(),
    });
    status.to_string().into()
}
