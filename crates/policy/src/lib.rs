/*!
Admission control, retry limits and routing for one daemon: decides which calls
run, wait or are refused, how often a call may be retried, and which instance
receives it.

Nothing here does I/O or reads a clock: each function that depends on time takes
the current time as an argument.

```
use std::time::{Duration, Instant};

use model::{Class, OperationKey};
use policy::{End, Gate, GateConfig, Offer, Work};

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
let Offer::Run(permit) = gate.offer(work, now) else {
    panic!("an idle gate runs what it is offered");
};
assert_eq!(gate.load(now).in_flight, 1);
gate.finish(permit, End::Answered, now + Duration::from_millis(5));
```

# Modules

* [`gate`]: admission to one target: limit, queue, order of shedding
* [`settings`]: settings of a gate
* [`work`]: what is offered to a gate and what comes back
* [`fates`]: whether a send whose answer was lost has begun to run
* [`dependencies`]: services that requests of a route depend on, inferred from calls
* [`load`]: load that a daemon reports to others
* [`budget`]: retries that one request may cost over its whole tree
* [`children`]: retry budget of one run, divided among the calls that it makes
* [`answer_time`]: whether a call without an answer counts as a failure
* [`edge`]: retries that one edge may add to its first tries
* [`acceptance`]: how much of the work for a callee is worth beginning
* [`router`]: selection of the instance that receives a call
* [`origins`]: routes that targets call, inferred from the origins of requests
* [`pressure`]: how much work targets have, over what they can run at once
* [`resend`]: further sends out of a budget that all daemons share
* [`runs`]: which run a target's own call belongs to
* [`window`]: how many root requests may be under way to a scarce service
* [`candidate`]: input and output of a router
*/
#![deny(missing_docs)]

pub mod acceptance;
pub mod answer_time;
pub mod budget;
pub mod candidate;
pub mod children;
pub mod dependencies;
pub mod edge;
pub mod fates;
pub mod gate;
pub mod load;
pub mod origins;
pub mod pressure;
pub mod resend;
pub mod router;
pub mod runs;
pub mod settings;
pub mod window;
pub mod work;

mod cost;
mod eject;
mod expiry;
mod headroom;
mod instance;
mod lane;
mod limiter;
mod overload;
mod queue;
mod scale;
mod service_times;
mod subset;

pub use crate::acceptance::{Acceptance, EdgeCall, Room};
pub use crate::answer_time::AnswerTime;
pub use crate::budget::{Loan, RetryBudget};
pub use crate::candidate::{
    CallOutcome, Candidate, InstanceKey, InstanceStatus, Pick, RouterConfig, RoutingStrategy,
};
pub use crate::children::ChildRetries;
pub use crate::dependencies::{RequestKind, RouteDependencies};
pub use crate::edge::EdgeRetries;
pub use crate::fates::{Fates, SendKey};
pub use crate::gate::Gate;
pub use crate::load::{Load, MalformedLoad};
pub use crate::origins::{DaemonCounts, Location, RouteOrigins};
pub use crate::pressure::{Pressure, PressureMeter, Pressures};
pub use crate::resend::ResendBudget;
pub use crate::router::Router;
pub use crate::runs::{Run, RunKey, Runs};
pub use crate::settings::{GateConfig, Headroom, Order};
pub use crate::window::{Short, Windows};
pub use crate::work::{End, Event, Offer, Permit, WaiterKey, Work};
