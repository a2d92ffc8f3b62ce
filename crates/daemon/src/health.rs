//! Reads the own target's health, for the one thing in which it is believed: that it drains.
//!
//! Load and readiness as told there lag or mislead; the daemon measures them itself.

use std::sync::Arc;
use std::time::Duration;

use http::{Request, StatusCode};
use http_body_util::{BodyExt, Limited};
use serde::Deserialize;

use crate::body::CallBody;
use crate::leaving::Sign;
use crate::shell::Shell;
use crate::upstream::{Upstream, uri};

/// Time between two reads.
const INTERVAL: Duration = Duration::from_millis(500);
/// Time in which an answer is waited for.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Longest answer that is read.
const MAX_BODY_BYTES: usize = 4 * 1024;
/// Status of a target that is to get no new work.
const DRAINING: &str = "draining";

#[derive(Deserialize)]
struct Health {
    status: String,
}

/// Follows the target's health for as long as the daemon lives.
pub(crate) async fn follow(shell: Arc<Shell>) {
    let client = Upstream::new(INTERVAL * 2, 1);
    loop {
        // A target that doesn't answer, or not with this, has not said that it drains.
        if let Ok(Some(health)) = tokio::time::timeout(TIMEOUT, read(&shell, &client)).await {
            shell.leaving.set(Sign::Drain, health.status == DRAINING);
        }
        tokio::time::sleep(INTERVAL).await;
    }
}

async fn read(shell: &Shell, client: &Upstream) -> Option<Health> {
    let mut req = Request::new(CallBody::Buffered(None));
    *req.uri_mut() = uri(shell.settings.target, "/healthz")?;
    let resp = client.send(req).await.ok()?;
    if resp.status() != StatusCode::OK {
        return None;
    }
    let body = Limited::new(resp.into_body(), MAX_BODY_BYTES);
    let bytes = body.collect().await.ok()?.to_bytes();
    serde_json::from_slice(&bytes).ok()
}
