//! Decides after each send whether a call is sent again.
//!
//! A call is *unresolved* from its first send with an unknown outcome. While it
//! is unresolved, a refusal says nothing about the earlier send, so the outcome
//! stays unknown and only the same ticket may be presented again.

use std::time::{Duration, Instant};

use model::{Outcome, Refusal, RefusalReason};

use crate::cfg::ClientConfig;

/// Wait before the first retry of a send that failed or was refused, if the
/// daemon sets no longer one; doubles with each send.
const MIN_RETRY_WAIT: Duration = Duration::from_millis(10);

/// Whether a call may be sent again after an unknown outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryMode {
    /// It may not be sent again.
    Never,
    /// It may be sent again with the same ticket.
    WithTicket,
    /// It may be sent again without a ticket, since it is safe to repeat.
    Always,
}

/// The outcome of one send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// The call was answered.
    Answered,
    /// This send was refused and did not run.
    NotRun(Refusal),
    /// The ticket's issuer refused the ticket: no send with it ran or ever will.
    TicketClosed(Refusal),
    /// No byte of the send left this process.
    NotSent,
    /// The call may have run. Holds the daemon's `retry-after`, zero if it sent
    /// none.
    Unknown(Duration),
}

/// The action to take after a send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Return the answer.
    ReturnAnswer,
    /// Wait, then send again with the same ticket, if the call has one.
    Resend(Duration),
    /// Wait, then send again with a new ticket, if the call needs one.
    ResendWithNewTicket(Duration),
    /// Report that the call was not run.
    ReportNotRun(Refusal),
    /// Report that the call may have run.
    ReportUnknown,
}

/// The retry state of one call: its bounds and its sends so far.
#[derive(Clone, Debug)]
pub struct RetryState {
    mode: RetryMode,
    max_sends: u16,
    max_wait: Duration,
    unknown_outcome_wait: Duration,
    deadline: Instant,
    sends: u16,
    unresolved: bool,
}

impl RetryState {
    /// Creates the state of a call that was not sent yet; `unresolved` if an
    /// earlier send with its ticket had an unknown outcome.
    #[must_use]
    pub fn new(cfg: &ClientConfig, mode: RetryMode, unresolved: bool, deadline: Instant) -> Self {
        RetryState {
            mode,
            max_sends: cfg.max_sends,
            max_wait: cfg.max_wait,
            unknown_outcome_wait: cfg.unknown_outcome_wait,
            deadline,
            sends: 0,
            unresolved,
        }
    }

    /// Returns the number of sends that [`next_step`](Self::next_step) counted,
    /// including those of which no byte left this process.
    #[must_use]
    pub fn sends(&self) -> u16 {
        self.sends
    }

    /// Returns the time left until the call's deadline.
    #[must_use]
    pub fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// True if an earlier send may have run and its outcome is still unknown.
    #[must_use]
    pub fn is_unresolved(&self) -> bool {
        self.unresolved
    }

    /// Records that the operation requires a ticket, so that earlier sends
    /// without one did not run.
    pub fn mark_ticket_required(&mut self) {
        self.unresolved = false;
    }

    /// Counts a send and decides what to do after it; `jitter` is a random
    /// number from 0 to 1.
    pub fn next_step(&mut self, outcome: SendOutcome, jitter: f64, now: Instant) -> NextStep {
        self.sends = self.sends.saturating_add(1);
        match outcome {
            SendOutcome::Answered => {
                self.unresolved = false;
                NextStep::ReturnAnswer
            }
            SendOutcome::Unknown(retry_after) => {
                self.unresolved = true;
                self.retry_wait(retry_after, self.unknown_outcome_wait, jitter, now)
                    .filter(|_| self.mode != RetryMode::Never)
                    .map_or(NextStep::ReportUnknown, NextStep::Resend)
            }
            SendOutcome::NotSent => self
                .retry_wait(Duration::ZERO, MIN_RETRY_WAIT, jitter, now)
                .map_or_else(
                    || self.report_refusal(unreachable_refusal()),
                    NextStep::Resend,
                ),
            SendOutcome::NotRun(refusal) => self.next_step_after_refusal(refusal, jitter, now),
            SendOutcome::TicketClosed(refusal) => {
                self.unresolved = false;
                self.next_step_after_refusal(refusal, jitter, now)
            }
        }
    }

    /// Decides what to do after an answer whose body could not be read to its
    /// end.
    pub fn next_step_after_lost_answer(&mut self, jitter: f64, now: Instant) -> NextStep {
        // The send was already counted when the head of the answer arrived.
        self.sends = self.sends.saturating_sub(1);
        self.next_step(SendOutcome::Unknown(Duration::ZERO), jitter, now)
    }

    fn next_step_after_refusal(&self, refusal: Refusal, jitter: f64, now: Instant) -> NextStep {
        let wait = self
            .retry_wait(refusal.retry_after, MIN_RETRY_WAIT, jitter, now)
            .filter(|_| refusal.reason != RefusalReason::Invalid);
        match wait {
            None => self.report_refusal(refusal),
            Some(wait) if self.unresolved => NextStep::Resend(wait),
            Some(wait) => NextStep::ResendWithNewTicket(wait),
        }
    }

    fn report_refusal(&self, refusal: Refusal) -> NextStep {
        if self.unresolved {
            NextStep::ReportUnknown
        } else {
            NextStep::ReportNotRun(refusal)
        }
    }

    /// Returns the wait before the next send, or `None` if the bounds of the
    /// call allow no further one.
    ///
    /// The wait is the daemon's `retry_after`, but at least `base` doubled with
    /// each send, plus up to half of it as jitter.
    fn retry_wait(
        &self,
        retry_after: Duration,
        base: Duration,
        jitter: f64,
        now: Instant,
    ) -> Option<Duration> {
        let backoff = base * 2_u32.pow(u32::from(self.sends.clamp(1, 9) - 1));
        let wait = retry_after
            .max(backoff)
            .mul_f64(1.0 + jitter.clamp(0.0, 1.0) / 2.0);
        let fits = self.sends < self.max_sends
            && retry_after <= self.max_wait
            && wait < self.time_left(now);
        fits.then_some(wait)
    }
}

impl NextStep {
    /// Returns the outcome to report, or `None` if the call is sent again.
    #[must_use]
    pub fn outcome(self) -> Option<Outcome> {
        match self {
            NextStep::ReturnAnswer => Some(Outcome::Answered),
            NextStep::ReportNotRun(_) => Some(Outcome::NotRun),
            NextStep::ReportUnknown => Some(Outcome::Unknown),
            NextStep::Resend(_) | NextStep::ResendWithNewTicket(_) => None,
        }
    }
}

/// Returns the refusal to report if no daemon could be reached.
pub(crate) fn unreachable_refusal() -> Refusal {
    Refusal {
        reason: RefusalReason::NoInstance,
        retry_after: Duration::from_secs(1),
    }
}
