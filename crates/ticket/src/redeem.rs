//! Decisions about calls that present a ticket.

use std::sync::Arc;
use std::time::Duration;

use crate::answer::CachedAnswer;
use crate::entry::EntryKey;

/// Permission to run the call of one ticket. It must be ended explicitly.
#[derive(Debug)]
#[must_use = "end it by `finish`, `not_run` or `abandon`"]
pub struct RunPermit {
    pub(crate) entry: EntryKey,
}

/// Decision about a call that presents a ticket.
#[derive(Debug)]
pub enum RedeemDecision {
    /// Run the call now. Returned at most once for each ticket.
    Run(RunPermit),
    /// The call is already queued or running.
    Running,
    /// The call has run; returns its answer.
    Cached(Arc<CachedAnswer>),
    /// The call has started, and no complete answer is available.
    AnswerGone,
    /// Another instance issued the ticket. The call is not run here; whether it
    /// ran at the other instance is not known.
    Foreign,
    /// An earlier incarnation of this instance issued the ticket: outcome unknown.
    Superseded,
    /// The sequence number is below the lower edge of the bitmap of started
    /// calls: outcome unknown.
    BelowEdge,
    /// The ticket was altered, or was issued for another operation or key.
    Invalid,
    /// The ticket is closed: its call has certainly never run and never will.
    Expired,
}

/// Current size of a window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Tickets issued and not yet presented.
    pub open: usize,
    /// Calls queued or running.
    pub running: usize,
    /// Finished calls with an entry.
    pub finished: usize,
    /// Memory of cached answers, in bytes.
    pub cached_bytes: usize,
    /// Memory of the bitmap of started calls, in bytes.
    pub start_bitmap_bytes: usize,
    /// Time since the end of the oldest finished call with an entry.
    pub oldest_finished_age: Duration,
}
