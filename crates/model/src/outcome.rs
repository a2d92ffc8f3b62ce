//! The three ways a call ends, and why a refused one was refused.

use std::time::Duration;

use derive_more::Display;

/// How a call ended, as told to whoever made it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The target ran the call and its whole answer is passed on.
    #[display("answered")]
    Answered,
    /// No byte of the call reached a target.
    #[display("not-run")]
    NotRun,
    /// Bytes may have reached a target; whether it ran is not known.
    #[display("unknown")]
    Unknown,
}

impl Outcome {
    /// True if sending the same call again cannot run it twice.
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
    /// More important work fills the slots and the queue.
    #[display("overloaded")]
    Overloaded,
    /// A more important arrival took the place in the queue.
    #[display("evicted")]
    Evicted,
    /// The time left is shorter than the work usually takes.
    #[display("deadline")]
    Deadline,
    /// The instance is leaving and takes no new work.
    #[display("leaving")]
    Leaving,
    /// No instance of the service can take the call.
    #[display("no-instance")]
    NoInstance,
    /// The daemon holds no configuration yet.
    #[display("not-ready")]
    NotReady,
    /// A call that may not be repeated came without a valid ticket.
    #[display("ticket-required")]
    TicketRequired,
    /// The ticket belongs to another incarnation or has expired unused.
    #[display("ticket-foreign")]
    TicketForeign,
    /// The request is malformed or names an unknown operation.
    #[display("invalid")]
    Invalid,
    /// The caller went away or its deadline passed while waiting.
    #[display("cancelled")]
    Cancelled,
}

impl RefusalReason {
    /// True if the instance has more to do than it can.
    #[must_use]
    pub fn is_overload(self) -> bool {
        matches!(
            self,
            RefusalReason::Overloaded | RefusalReason::Evicted | RefusalReason::Deadline
        )
    }

    /// True if another instance may well take what this one refused.
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
        const ALL: [RefusalReason; 10] = [
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
        ];
        ALL.into_iter().find(|reason| reason.to_string() == text)
    }
}

/// A refusal and when asking again is worth it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the call was refused.
    pub reason: RefusalReason,
    /// Time after which the caller may ask again.
    pub retry_after: Duration,
}
