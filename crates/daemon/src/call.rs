//! Context of a call at this daemon.

use std::time::{Duration, Instant};

use model::{Class, OperationKey, RequestId};
use policy::EdgeCall;
use rand::Rng;
use wire::CallContext;

/// Generates a random id for a new root request.
pub(crate) fn new_request_id() -> RequestId {
    RequestId::from(rand::rng().random::<u128>())
}

/// Context of one call, with its deadline on the clock of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Call {
    /// Id of the root request.
    pub(crate) root: RequestId,
    /// Priority class of the root request.
    pub(crate) class: Class,
    /// Worth of the complete answer to the root request.
    pub(crate) worth: u32,
    /// Number of earlier sends of the root request.
    pub(crate) attempt: u16,
    /// Time at which this daemon received the call.
    pub(crate) arrived: Instant,
    /// Time after which the answer is of no use.
    pub(crate) deadline: Instant,
    /// Retries that this call and all calls below it may spend.
    pub(crate) retries: u16,
}

impl Call {
    /// Creates the call from the context that another daemon sent.
    pub(crate) fn from_context(context: &CallContext, now: Instant) -> Self {
        Call {
            root: context.root,
            class: context.class,
            worth: context.worth,
            attempt: context.attempt,
            arrived: now,
            deadline: now + context.time_left,
            retries: context.retries,
        }
    }

    /// Returns the context to send to the next daemon, with the retries that it may use.
    pub(crate) fn context(&self, retries: u16, now: Instant) -> CallContext {
        CallContext {
            root: self.root,
            class: self.class,
            worth: self.worth,
            attempt: self.attempt,
            time_left: self.time_left(now),
            retries,
        }
    }

    /// Describes a call to an operation on behalf of the same root request.
    pub(crate) fn edge_call(&self, operation: OperationKey) -> EdgeCall {
        EdgeCall {
            operation,
            class: self.class,
            worth: self.worth,
            attempt: self.attempt,
            shed_hash: self.root.shed_hash(),
        }
    }

    /// Time left until the deadline.
    pub(crate) fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }
}
