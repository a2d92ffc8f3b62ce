//! Pulls of newer states from the peers that announced them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::stamp::Stamp;

/// Time after which an unanswered pull is retried with the next announcer.
pub const PULL_TIMEOUT: Duration = Duration::from_secs(1);

/// Tracks the pulls of one kind of state, of which at most one is outstanding.
#[derive(Debug, Default)]
pub(crate) struct Pulls {
    newest: Option<(Stamp, SocketAddr)>,
    requested_at: Option<Instant>,
}

impl Pulls {
    /// Records an announcement. Returns the peer to pull from now, if any.
    pub(crate) fn on_announcement(
        &mut self,
        stamp: Stamp,
        announcer: SocketAddr,
        now: Instant,
    ) -> Option<SocketAddr> {
        let is_pending = self
            .requested_at
            .is_some_and(|at| now.duration_since(at) < PULL_TIMEOUT);
        if self.newest.is_none_or(|(newest, _)| newest < stamp) || !is_pending {
            self.newest = Some((stamp, announcer));
        }
        if is_pending {
            return None;
        }
        self.requested_at = Some(now);
        Some(announcer)
    }

    /// Records a reply. Returns the peer to pull from next if a newer state was announced.
    pub(crate) fn on_reply(&mut self, held: Option<Stamp>, now: Instant) -> Option<SocketAddr> {
        self.requested_at = None;
        let (_, announcer) = self.newest.filter(|(newest, _)| Some(*newest) > held)?;
        // Retries once; after that the next announcement triggers a pull.
        self.newest = None;
        self.requested_at = Some(now);
        Some(announcer)
    }
}
