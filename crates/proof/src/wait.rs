//! Waiting for what can be observed, with a cap that only a fault reaches.

use std::time::Duration;

/// Longest time that a proof waits for something to be seen.
pub const CAP: Duration = Duration::from_secs(30);

pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Waits until something is seen.
///
/// # Panics
///
/// If it is not seen within [`CAP`].
pub async fn until(what: &str, seen: impl AsyncFn() -> bool) {
    let poll = async {
        while !seen().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let waited = tokio::time::timeout(CAP, poll).await;
    assert!(waited.is_ok(), "not seen within {CAP:?}: {what}");
}
