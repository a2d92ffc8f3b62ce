//! What becomes of a call that presents a ticket.

use std::sync::Arc;
use std::time::Duration;

use crate::answer::CachedAnswer;
use crate::entry::EntryKey;

/// The right to run the call of one ticket, which must be ended explicitly.
#[derive(Debug)]
#[must_use = "end it by `finish`, `not_run` or `abandon`"]
pub struct RunPermit {
    pub(crate) entry: EntryKey,
}

/// What becomes of a call that presents a ticket.
#[derive(Debug)]
pub enum RedeemDecision {
    /// Run it now. Given at most once for each ticket.
    Run(RunPermit),
    /// An earlier send of the call is queued or running.
    Running,
    /// The call has run; this is its answer.
    Cached(Arc<CachedAnswer>),
    /// The call has started, and there is no whole answer to give.
    AnswerGone,
    /// Another instance issued the ticket. This send is not run here; whether
    /// the call ran there is not known here.
    Foreign,
    /// An earlier process of this instance issued the ticket: unknown.
    Superseded,
    /// The sequence is older than the record reaches: unknown.
    BelowEdge,
    /// The ticket was altered, or is for another operation or key.
    Invalid,
    /// The ticket is closed: its call certainly never ran and never will.
    Expired,
}

/// Memory in use by a window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Tickets handed out and not yet presented.
    pub open: usize,
    /// Calls queued or running.
    pub running: usize,
    /// Calls that ran and are remembered.
    pub finished: usize,
    /// Memory of kept answers, in bytes.
    pub cached_bytes: usize,
    /// Memory of the record of started sequences, in bytes.
    pub start_bitmap_bytes: usize,
    /// Age of the oldest call that is remembered as having run.
    pub oldest_finished_age: Duration,
}
