//! Readiness of a newly started daemon.
//!
//! A daemon that holds a document becomes ready when the platform and, if it has peers, one of
//! them have answered, or after [`SETTLE_TIME`].

use std::time::{Duration, Instant};

/// Maximum time that a daemon with a document waits for a higher revision from the other
/// source, the platform or a peer.
pub const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Tracks which sources of the first document have answered.
#[derive(Debug, Default)]
pub(crate) struct Boot {
    held_since: Option<Instant>,
    peer_answered: bool,
    ready: bool,
}

impl Boot {
    /// Records that a peer holds a document no newer than the one held here.
    pub(crate) fn peer_answered(&mut self) {
        self.peer_answered = true;
    }

    /// Updates readiness. Returns true in the one call in which the daemon becomes ready.
    pub(crate) fn tick(
        &mut self,
        holds_document: bool,
        platform_answered: bool,
        has_peers: bool,
        now: Instant,
    ) -> bool {
        if self.ready || !holds_document {
            return false;
        }
        let since = *self.held_since.get_or_insert(now);
        let peers = self.peer_answered || !has_peers;
        let settled = now.duration_since(since) >= SETTLE_TIME;
        self.ready = (peers && platform_answered) || settled;
        self.ready
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.ready
    }
}
