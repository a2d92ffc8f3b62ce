//! Polls the health endpoint of this daemon's target to learn whether it is draining.
//!
//! Load and readiness that the endpoint reports are ignored, as they lag or mislead; the
//! daemon measures them itself.

use std::sync::Arc;
use std::time::Duration;

use http::{Request, StatusCode};
use http_body_util::{BodyExt, Limited};
use serde::Deserialize;

use crate::body::CallBody;
use crate::leaving::LeaveReason;
use crate::state::DaemonState;
use crate::upstream::{Upstream, uri};

/// Time between two requests.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Time limit for an answer.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum length of an answer.
const MAX_BODY_BYTES: usize = 4 * 1024;
/// Status with which a target asks for no new work.
const DRAINING: &str = "draining";

#[derive(Deserialize)]
struct Health {
    status: String,
}

/// Polls the target and sets or clears [`LeaveReason::TargetDrain`]. Never returns.
pub(crate) async fn watch_target(state: Arc<DaemonState>) {
    let client = Upstream::new(POLL_INTERVAL * 2, 1);
    loop {
        // No answer, or one that can't be parsed, changes nothing: the target has not reported
        // whether it is draining.
        if let Ok(Some(health)) = tokio::time::timeout(POLL_TIMEOUT, read(&state, &client)).await {
            state
                .leaving
                .set(LeaveReason::TargetDrain, health.status == DRAINING);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn read(state: &DaemonState, client: &Upstream) -> Option<Health> {
    let mut req = Request::new(CallBody::Buffered(None));
    *req.uri_mut() = uri(state.settings.target, "/healthz")?;
    let resp = client.send(req).await.ok()?;
    if resp.status() != StatusCode::OK {
        return None;
    }
    let body = Limited::new(resp.into_body(), MAX_BODY_BYTES);
    let bytes = body.collect().await.ok()?.to_bytes();
    serde_json::from_slice(&bytes).ok()
}
