//! Outcomes of a call, and reasons for a refusal.

use std::time::Duration;

use derive_more::Display;

/// Outcome of a call, as reported to its caller.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The target ran the call and its complete answer is passed on.
    #[display("answered")]
    Answered,
    /// No byte of the call reached a target.
    #[display("not-run")]
    NotRun,
    /// Bytes may have reached a target; whether the call ran is not known.
    #[display("unknown")]
    Unknown,
}

impl Outcome {
    /// True if the call cannot run twice when it is sent again.
    #[must_use]
    pub fn is_retry_safe(self) -> bool {
        self == Outcome::NotRun
    }

    /// Parses the text form used on the wire.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "answered" => Some(Outcome::Answered),
            "not-run" => Some(Outcome::NotRun),
            "unknown" => Some(Outcome::Unknown),
            _ => None,
        }
    }
}

/// Why a call was not run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// The slots and the queue are full of more important calls.
    #[display("overloaded")]
    Overloaded,
    /// A more important call that arrived later took its place in the queue.
    #[display("evicted")]
    Evicted,
    /// The time left until the deadline is shorter than the usual run time.
    #[display("deadline")]
    Deadline,
    /// The instance is leaving and accepts no new calls.
    #[display("leaving")]
    Leaving,
    /// No instance of the service can accept the call.
    #[display("no-instance")]
    NoInstance,
    /// The daemon has no configuration yet.
    #[display("not-ready")]
    NotReady,
    /// The call may not be repeated and carries no valid ticket.
    #[display("ticket-required")]
    TicketRequired,
    /// The ticket was issued by another incarnation or expired unused.
    #[display("ticket-foreign")]
    TicketForeign,
    /// The request is malformed or names an unknown operation.
    #[display("invalid")]
    Invalid,
    /// While the call was waiting, the caller disconnected or the deadline passed.
    #[display("cancelled")]
    Cancelled,
    /// The request crashed the targets that ran it.
    #[display("held-back")]
    HeldBack,
}

impl RefusalReason {
    /// True if the instance refused the call because it is overloaded.
    #[must_use]
    pub fn is_overload(self) -> bool {
        matches!(
            self,
            RefusalReason::Overloaded | RefusalReason::Evicted | RefusalReason::Deadline
        )
    }

    /// True if the instance cannot serve at all, so that another one is likely to accept the call.
    #[must_use]
    pub fn is_instance_unavailable(self) -> bool {
        matches!(
            self,
            RefusalReason::Leaving | RefusalReason::NoInstance | RefusalReason::NotReady
        )
    }

    /// Parses the text form used on the wire.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        const ALL: [RefusalReason; 11] = [
            RefusalReason::Overloaded,
            RefusalReason::Evicted,
            RefusalReason::Deadline,
            RefusalReason::Leaving,
            RefusalReason::NoInstance,
            RefusalReason::NotReady,
            RefusalReason::TicketRequired,
            RefusalReason::TicketForeign,
            RefusalReason::Invalid,
            RefusalReason::Cancelled,
            RefusalReason::HeldBack,
        ];
        ALL.into_iter().find(|reason| reason.to_string() == text)
    }
}

/// Reason for a refusal, and the earliest time for a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the call was refused.
    pub reason: RefusalReason,
    /// Time to wait before a retry.
    pub retry_after: Duration,
}
