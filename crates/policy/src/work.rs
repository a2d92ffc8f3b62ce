//! Types of the admission interface: calls offered to a gate, its decisions and its events.

use std::time::Instant;

use model::{Class, OperationKey, Refusal};
use slotmap::new_key_type;

new_key_type! {
    /// Key of one call that waits in a gate.
    pub struct WaiterKey;
}

/// One call that requests a slot of the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Work {
    /// Priority class of the root request.
    pub class: Class,
    /// Worth of the complete answer to the root request.
    pub worth: u32,
    /// Hash of the root request, so that all hops shed the same requests.
    pub shed_hash: u64,
    /// Number of earlier sends of this call; 0 for a first try.
    pub attempt: u16,
    /// When the call reached this daemon.
    pub arrived: Instant,
    /// When its answer is no longer useful.
    pub deadline: Instant,
    /// The operation called.
    pub operation: OperationKey,
}

/// Permit to use one slot of the target, until [`Gate::finish`](crate::Gate::finish).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// The operation that runs.
    pub operation: OperationKey,
    /// Priority class of the call.
    pub class: Class,
    /// When the run started.
    pub started: Instant,
}

/// Decision of a gate on one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum Decision {
    /// The call starts now.
    Run(Permit),
    /// The call waits; a [`QueueEvent`] reports when it starts or is refused.
    Wait {
        /// Key of the waiter.
        key: WaiterKey,
        /// A less important waiter that was evicted and is refused now.
        evicted: Option<(WaiterKey, Refusal)>,
    },
    /// The call is refused.
    Refuse(Refusal),
}

/// Reported by [`Gate::poll`](crate::Gate::poll) when a call stops waiting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueEvent {
    /// The waiter starts now.
    Start(WaiterKey, Permit),
    /// The waiter is refused.
    Refuse(WaiterKey, Refusal),
}

/// How a call that held a permit ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The target answered.
    Answered,
    /// The target shed the call itself.
    TargetRefused,
    /// The target aborted its answer or could not be reached.
    Failed,
    /// The caller disconnected or the deadline passed.
    Cancelled,
}
