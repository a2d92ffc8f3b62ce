//! What is offered to a gate and what comes back.

use std::time::Instant;

use model::{Class, OperationKey, Refusal};
use slotmap::new_key_type;

new_key_type! {
    /// Key of one piece of work that waits in a gate.
    pub struct WaiterKey;
}

/// One call that asks for a slot of the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Work {
    /// Importance of the root request.
    pub class: Class,
    /// Worth of the root request's whole answer.
    pub worth: u32,
    /// Hash of the root request, by which all hops choose the same victims.
    pub shed_hash: u64,
    /// Number of earlier sends of this call; 0 for a first try.
    pub attempt: u16,
    /// When the call reached this daemon.
    pub arrived: Instant,
    /// When its answer stops being of use.
    pub deadline: Instant,
    /// The operation called.
    pub operation: OperationKey,
}

/// The right to one slot of the target, until [`Gate::finish`](crate::Gate::finish).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// The operation that runs.
    pub operation: OperationKey,
    /// Importance of what runs.
    pub class: Class,
    /// When it was started.
    pub started: Instant,
}

/// Answer to one offer of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum Decision {
    /// The work starts now.
    Run(Permit),
    /// The work waits; its end comes as an [`Event`].
    Wait {
        /// Key of the waiter.
        key: WaiterKey,
        /// Less important work that lost its place and is answered at once.
        evicted: Option<(WaiterKey, Refusal)>,
    },
    /// The work is not run.
    Refuse(Refusal),
}

/// End of one wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The waiter starts now.
    Start(WaiterKey, Permit),
    /// The waiter is not run.
    Refuse(WaiterKey, Refusal),
}

/// How work that held a permit ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The target answered.
    Answered,
    /// The target shed the call itself.
    TargetRefused,
    /// The target broke off or could not be reached.
    Failed,
    /// The caller went away or the deadline passed.
    Cancelled,
}
