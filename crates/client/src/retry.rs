//! What may follow on each reply.
//!
//! A call is *open* from its first send of unknown outcome. While it is open,
//! a refusal says nothing about the earlier send, so the call stays unknown
//! and only its own ticket may be presented again.

use std::time::{Duration, Instant};

use model::{Outcome, Refusal, RefusalReason};

use crate::cfg::ClientConfig;

/// Shortest wait before a send that follows a failure without advice.
const MIN_RETRY_WAIT: Duration = Duration::from_millis(10);

/// What may be done after a send of unknown outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryMode {
    /// Nothing.
    Never,
    /// The same ticket may be presented again.
    WithTicket,
    /// The call may be sent again.
    Always,
}

/// What one send came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// It was answered.
    Answered,
    /// This send was refused before it ran.
    NotRun(Refusal),
    /// The issuer closed the ticket: no send of it ran or ever will.
    TicketClosed(Refusal),
    /// No byte of it left this process.
    NotSent,
    /// It may have run; when asking for its fate is worth it.
    Unknown(Duration),
}

/// What follows on a send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Pass on the answer.
    ReturnAnswer,
    /// Wait, then present the same ticket, or send again if it needs none.
    Resend(Duration),
    /// Wait, then obtain another ticket and send again.
    ResendWithNewTicket(Duration),
    /// Report that the call was not run.
    ReportNotRun(Refusal),
    /// Report that the call may have run.
    ReportUnknown,
}

/// The sends of one call.
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
    /// Plans a call; `open` if its ticket already had a send of unknown outcome.
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

    /// Returns the number of sends that ended.
    #[must_use]
    pub fn sends(&self) -> u16 {
        self.sends
    }

    /// Returns the time left for the next send.
    #[must_use]
    pub fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// True if an earlier send may have run and no answer has settled it.
    #[must_use]
    pub fn is_unresolved(&self) -> bool {
        self.unresolved
    }

    /// Notes that the operation takes tickets, so that earlier sends without
    /// one were not run.
    pub fn mark_ticket_required(&mut self) {
        self.unresolved = false;
    }

    /// Decides what follows on a send; `jitter` is drawn from 0 to 1.
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

    /// Decides what follows on an answer whose body broke off.
    pub fn next_step_after_lost_answer(&mut self, jitter: f64, now: Instant) -> NextStep {
        // The send was counted when the answer's head came.
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

    /// Returns the wait before another send, if one fits the bounds.
    ///
    /// It is the daemon's `retry_after`, but at least `base`, doubled with each send.
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
    /// Returns the outcome that is reported, if the call ends here.
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

/// The refusal reported when no daemon could be reached.
pub(crate) fn unreachable_refusal() -> Refusal {
    Refusal {
        reason: RefusalReason::NoInstance,
        retry_after: Duration::from_secs(1),
    }
}
