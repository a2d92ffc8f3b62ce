//! What a router is told of instances and what it answers.

use std::time::Duration;

use model::{DataCentre, InstanceId, Refusal, RefusalReason};
use slotmap::new_key_type;

new_key_type! {
    /// Key of one instance in a [`Router`](crate::Router).
    pub struct InstanceKey;
}

/// What the fleet's view says of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceStatus {
    /// Believed to run.
    Live,
    /// Not heard of lately; used only when no live instance is left.
    Suspect,
    /// Takes no new work.
    Leaving,
}

/// One instance of the service that is called.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The instance.
    pub id: InstanceId,
    /// Where it runs.
    pub data_centre: DataCentre,
    /// What the view says of it.
    pub status: InstanceStatus,
}

/// Who routes, and over how many instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouterConfig {
    /// The instance of the daemon that routes.
    pub own: InstanceId,
    /// Where it runs.
    pub data_centre: DataCentre,
    /// Instances to call in its own data centre, and as many in all others.
    pub subset: usize,
    /// What decides between instances.
    pub strategy: RoutingStrategy,
    /// Time for which an instance's own word that it leaves is believed while it is still
    /// listed as live: then it has been started again under its name.
    pub leaving_ttl: Duration,
}

impl RouterConfig {
    /// The usual settings of a daemon.
    #[must_use]
    pub fn new(own: InstanceId, data_centre: DataCentre, subset: usize) -> Self {
        /// Longer than an instance takes to leave.
        const LEAVING_TTL: Duration = Duration::from_secs(30);

        RouterConfig {
            own,
            data_centre,
            subset,
            strategy: RoutingStrategy::default(),
            leaving_ttl: LEAVING_TTL,
        }
    }
}

/// What decides between the instances of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RoutingStrategy {
    /// The own data centre until it reports no free slot; failing instances are left alone.
    #[default]
    LocalFirst,
    /// The least expected cost until the answer, over all data centres; what instances shed
    /// is left to them.
    LeastCost,
}

/// Answer to one question for an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum Pick {
    /// The call goes to this instance and counts as in flight there.
    Chosen(InstanceKey),
    /// No instance takes the call.
    Refuse(Refusal),
}

/// How a call to a chosen instance ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The target answered.
    Answered,
    /// The instance's daemon refused the call.
    NotRun(RefusalReason),
    /// The target itself refused the call.
    TargetRefused,
    /// The call broke off.
    Unknown,
    /// No answer came in a time that was long enough.
    Late,
    /// The caller went away or left too little time, which says nothing of the instance.
    Cancelled,
}

impl CallEnd {
    /// Whether the instance failed the call; `None` if the end says nothing of the instance.
    pub(crate) fn is_failure(self) -> Option<bool> {
        match self {
            CallEnd::Answered => Some(false),
            CallEnd::NotRun(reason) => reason.is_about_instance().then_some(true),
            CallEnd::TargetRefused | CallEnd::Unknown | CallEnd::Late => Some(true),
            CallEnd::Cancelled => None,
        }
    }
}
