//! Input and output of a [`Router`](crate::Router): instances, settings, picks and call outcomes.

use std::time::Duration;

use model::{DataCentre, InstanceId, Refusal, RefusalReason};
use slotmap::new_key_type;

new_key_type! {
    /// Key of one instance in a [`Router`](crate::Router).
    pub struct InstanceKey;
}

/// State of an instance in the view of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceStatus {
    /// Running, as far as is known.
    Live,
    /// Not heard from recently; used only if no live instance is left.
    Suspect,
    /// Shutting down; gets no new calls.
    Leaving,
}

/// Instance of the called service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Id of the instance.
    pub id: InstanceId,
    /// Data centre in which it runs.
    pub data_centre: DataCentre,
    /// State in the view of the fleet.
    pub status: InstanceStatus,
}

/// Settings of a [`Router`](crate::Router).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouterConfig {
    /// Instance of the daemon that routes.
    pub own_id: InstanceId,
    /// Data centre in which that instance runs.
    pub data_centre: DataCentre,
    /// Maximum number of instances to call in the local data centre, and in all others together;
    /// 0 for no maximum.
    pub subset: usize,
    /// How an instance is chosen.
    pub strategy: RoutingStrategy,
    /// Time for which an instance that reports to be leaving gets no calls although it is listed
    /// as live. If it is still listed after that, it has been restarted under the same id.
    pub leaving_ttl: Duration,
}

impl RouterConfig {
    /// Creates the default settings of a daemon.
    #[must_use]
    pub fn new(own_id: InstanceId, data_centre: DataCentre, subset: usize) -> Self {
        /// Longer than an instance takes to shut down.
        const LEAVING_TTL: Duration = Duration::from_secs(30);

        RouterConfig {
            own_id,
            data_centre,
            subset,
            strategy: RoutingStrategy::default(),
            leaving_ttl: LEAVING_TTL,
        }
    }
}

/// How the router chooses between the instances of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RoutingStrategy {
    /// Prefers the local data centre until it reports no free slot, and ejects failing instances.
    #[default]
    LocalFirst,
    /// Takes the instance with the least expected cost over all data centres. Shedding is left to
    /// the instances: reports of what they shed are ignored.
    LeastCost,
}

/// Result of picking an instance for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum Pick {
    /// The call goes to this instance, where it now counts as in flight.
    Chosen(InstanceKey),
    /// No instance takes the call.
    Refuse(Refusal),
}

/// How a call to a chosen instance ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The target answered.
    Answered,
    /// The target answered that it failed, which may also be the fault of a call that it made.
    ServerError,
    /// The instance's daemon refused the call.
    NotRun(RefusalReason),
    /// The target refused the call.
    TargetRefused,
    /// The connection ended before an answer; whether the call ran is unknown.
    Unknown,
    /// No answer arrived within a time that should have sufficed.
    TimedOut,
    /// The caller disconnected or set too short a deadline, which tells nothing about the instance.
    Cancelled,
}

impl CallOutcome {
    /// Whether the instance failed the call; `None` if the outcome tells nothing about the instance.
    pub(crate) fn is_failure(self) -> Option<bool> {
        match self {
            CallOutcome::Answered | CallOutcome::ServerError => Some(false),
            CallOutcome::NotRun(reason) => reason.is_instance_unavailable().then_some(true),
            CallOutcome::TargetRefused | CallOutcome::Unknown | CallOutcome::TimedOut => Some(true),
            CallOutcome::Cancelled => None,
        }
    }
}
