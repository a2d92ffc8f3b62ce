//! Which newer state is known to exist, and whom it was asked of.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::stamp::Stamp;

/// Time after which a pull is tried with whoever announces next.
pub const PULL_TIMEOUT: Duration = Duration::from_secs(1);

/// The pull of one kind of state; at most one is outstanding.
#[derive(Debug, Default)]
pub(crate) struct Pulls {
    newest: Option<(Stamp, SocketAddr)>,
    requested_at: Option<Instant>,
}

impl Pulls {
    /// Notes an announcement. Returns whom to ask now, if anybody.
    pub(crate) fn on_announcement(
        &mut self,
        stamp: Stamp,
        by: SocketAddr,
        now: Instant,
    ) -> Option<SocketAddr> {
        let is_pending = self
            .requested_at
            .is_some_and(|at| now.duration_since(at) < PULL_TIMEOUT);
        if self.newest.is_none_or(|(newest, _)| newest < stamp) || !is_pending {
            self.newest = Some((stamp, by));
        }
        if is_pending {
            return None;
        }
        self.requested_at = Some(now);
        Some(by)
    }

    /// Notes that an answer came. Returns whom to ask for what is still newer.
    pub(crate) fn on_reply(&mut self, held: Option<Stamp>, now: Instant) -> Option<SocketAddr> {
        self.requested_at = None;
        let (_, by) = self.newest.filter(|(newest, _)| Some(*newest) > held)?;
        // One more try only: the next announcement starts over.
        self.newest = None;
        self.requested_at = Some(now);
        Some(by)
    }
}
