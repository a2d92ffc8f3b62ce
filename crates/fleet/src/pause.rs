//! Detection of pauses of the process, such as a suspended container or machine.

use std::time::{Duration, Instant};

/// Gap between two ticks beyond which the view counts as stale until it is confirmed.
pub const PAUSE_LIMIT: Duration = Duration::from_secs(2);

/// Time after a pause after which a view counts as confirmed even if nobody has answered.
///
/// A data centre that is cut off must go on serving, so it can't wait for outside answers.
pub const CONFIRM_TIMEOUT: Duration = Duration::from_secs(3);

/// Tracks whether the view has been confirmed since the last pause.
#[derive(Debug)]
pub(crate) struct Pause {
    last_tick: Instant,
    unconfirmed: Option<Unconfirmed>,
}

/// A pause after which the view has not been confirmed yet.
#[derive(Clone, Copy, Debug)]
struct Unconfirmed {
    since: Instant,
    sequence: u64,
}

impl Pause {
    pub(crate) fn new(now: Instant) -> Self {
        Pause {
            last_tick: now,
            unconfirmed: None,
        }
    }

    /// Returns the length of the pause if there was one since the last tick.
    ///
    /// `sequence` is the last sequence number assigned to a probe. Acks up to it may have
    /// been waiting in a socket during the pause and so confirm nothing.
    pub(crate) fn tick(&mut self, sequence: u64, now: Instant) -> Option<Duration> {
        let gap = now.duration_since(self.last_tick);
        self.last_tick = now;
        if gap > PAUSE_LIMIT {
            self.unconfirmed = Some(Unconfirmed {
                since: now,
                sequence,
            });
            return Some(gap);
        }
        let waited = self.unconfirmed.map(|end| now.duration_since(end.since));
        if waited > Some(CONFIRM_TIMEOUT) {
            self.unconfirmed = None;
        }
        None
    }

    /// Records an ack from a peer that holds no newer document.
    pub(crate) fn confirm_by_peer(&mut self, sequence: u64) {
        if self.unconfirmed.is_some_and(|end| sequence > end.sequence) {
            self.unconfirmed = None;
        }
    }

    /// Records an answer of the platform to a read that was sent at `requested_at`.
    pub(crate) fn confirm_by_platform(&mut self, requested_at: Instant) {
        if self
            .unconfirmed
            .is_some_and(|end| requested_at >= end.since)
        {
            self.unconfirmed = None;
        }
    }

    pub(crate) fn is_stale(&self, now: Instant) -> bool {
        self.unconfirmed.is_some() || now.duration_since(self.last_tick) > PAUSE_LIMIT
    }
}
