/*!
Admission control, retry limits and routing for one daemon: decides which calls
run, wait or are refused, how often a call may be retried, and which instance
receives it.

Nothing here does I/O or reads a clock: each function that depends on time takes
the current time as an argument.

```
use std::time::{Duration, Instant};

use model::{Class, OperationKey};
use policy::{Decision, Gate, GateConfig, RunOutcome, Work};

let now = Instant::now();
let mut gate = Gate::new(GateConfig::new(4), now);
let work = Work {
    class: Class::Critical,
    worth: 40,
    shed_hash: 7,
    attempt: 0,
    arrived: now,
    deadline: now + Duration::from_secs(1),
    operation: OperationKey(0),
};
let Decision::Run(permit) = gate.offer(work, now) else {
    panic!("an idle gate runs what it is offered");
};
assert_eq!(gate.load(now).in_flight, 1);
gate.finish(permit, RunOutcome::Answered, now + Duration::from_millis(5));
```

# Modules

* [`gate`]: admission control for one target: limit, queue, order of shedding
* [`settings`]: settings of a gate
* [`work`]: calls offered to a gate, its decisions and its events
* [`fates`]: whether a send whose answer was lost has started to run
* [`fingerprint`]: identity of a request that comes again under another id
* [`crashes`]: requests that crash the targets that run them
* [`crash_news`]: what daemons tell each other about ended targets
* [`dependencies`]: services that requests of a route depend on, inferred from calls
* [`load`]: load that a daemon reports to others
* [`budget`]: limit on the retries of one request over its whole call tree
* [`children`]: retry budget of one run, divided among the calls that it makes
* [`answer_time`]: whether a call without an answer counts as a failure
* [`edge`]: retry limit of one edge of the call graph
* [`acceptance`]: early refusal of work whose call the callee would probably refuse
* [`router`]: selection of the instance that receives a call
* [`origins`]: routes that targets call, inferred from the origins of requests
* [`pressure`]: running and waiting work of a target, relative to its limit
* [`resend`]: limit on resends, out of a budget shared by all daemons
* [`route_run_times`]: how long runs of each route have taken lately
* [`runs`]: matching of a target's outgoing calls to the runs that made them
* [`admission_share`]: share of the demand for a target that it can bear
* [`shares`]: admission shares of services, as learned from other daemons
* [`root_admission`]: which root requests may start, by the shares of the services they depend on
* [`candidate`]: input and output of a router
* [`stop_plan`]: until when a daemon that stops takes work, and when it exits
*/
#![deny(missing_docs)]

pub mod acceptance;
pub mod admission_share;
pub mod answer_time;
pub mod budget;
pub mod candidate;
pub mod children;
pub mod crash_news;
pub mod crashes;
pub mod dependencies;
pub mod edge;
pub mod fates;
pub mod fingerprint;
pub mod gate;
pub mod load;
pub mod origins;
pub mod pressure;
pub mod resend;
pub mod root_admission;
pub mod route_run_times;
pub mod router;
pub mod runs;
pub mod settings;
pub mod shares;
pub mod stop_plan;
pub mod work;

mod cost;
mod eject;
mod expiry;
mod headroom;
mod instance;
mod limiter;
mod pacer;
mod priority;
mod queue;
mod recent_runs;
mod run_times;
mod scale;
mod standing_queue;
mod subset;

pub use crate::acceptance::{EdgeCall, RefusalPredictor, SpareCapacity};
pub use crate::admission_share::{AdmissionShare, ShareController};
pub use crate::answer_time::AnswerTime;
pub use crate::budget::{Loan, RetryBudget};
pub use crate::candidate::{
    CallOutcome, Candidate, InstanceKey, InstanceStatus, Pick, RouterConfig, RoutingStrategy,
};
pub use crate::children::ChildRetries;
pub use crate::crash_news::{CrashNews, EndKey, EndReport, MalformedNews};
pub use crate::crashes::{Crashes, HeldRequest, Treatment};
pub use crate::dependencies::{MatchedRun, RequestKind, RouteDependencies};
pub use crate::edge::EdgeRetries;
pub use crate::fates::{Fates, SendKey};
pub use crate::fingerprint::Fingerprint;
pub use crate::gate::Gate;
pub use crate::load::{Load, MalformedLoad};
pub use crate::origins::{DaemonCounts, Location, RouteOrigins};
pub use crate::pressure::{Pressure, PressureMeter};
pub use crate::resend::ResendBudget;
pub use crate::root_admission::{RootAdmission, RootRequest, Shed};
pub use crate::route_run_times::RouteRunTimes;
pub use crate::router::Router;
pub use crate::runs::{Run, RunKey, Runs};
pub use crate::settings::{GateConfig, Headroom, Order};
pub use crate::shares::AdmissionShares;
pub use crate::stop_plan::StopPlan;
pub use crate::work::{Decision, Permit, QueueEvent, RunOutcome, WaiterKey, Work};
