/*!
Decides for one daemon which calls run, wait or are refused, how often one may
be retried, and which instance takes it.

Nothing here does I/O or reads a clock: each deciding function takes the present
time and returns a value.

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

# Sections

* [`gate`]: admission control for one target: limit, queue, order of shedding
* [`settings`]: what a gate is built from
* [`work`]: calls offered to a gate, its decisions and its events
* [`fates`]: whether a send whose answer was lost has started to run
* [`leads`]: where requests of a route lead, learned from their calls
* [`load`]: what a daemon tells others about its load
* [`budget`]: limit on the retries of one request over its whole call tree
* [`children`]: retries of one run, shared among the calls that it makes
* [`answer_time`]: whether a call has waited long enough to blame the instance
* [`edge`]: retry limit of one edge of the call graph
* [`acceptance`]: early refusal of work whose call the callee would probably refuse
* [`router`]: choice of the instance that takes a call
* [`origins`]: which routes targets call, told by where requests come from
* [`pressure`]: running and waiting work of targets, relative to their limits
* [`resend`]: limit on resends, out of a budget shared by all daemons
* [`runs`]: matching of a target's outgoing calls to the runs that made them
* [`congestion_window`]: how many root requests may be in flight towards an overloaded service
* [`candidate`]: what a router is told of instances and what it answers
*/
#![deny(missing_docs)]

pub mod acceptance;
pub mod answer_time;
pub mod budget;
pub mod candidate;
pub mod children;
pub mod congestion_window;
pub mod edge;
pub mod fates;
pub mod gate;
pub mod leads;
pub mod load;
pub mod origins;
pub mod pressure;
pub mod resend;
pub mod router;
pub mod runs;
pub mod settings;
pub mod work;

mod completion;
mod eject;
mod expiry;
mod headroom;
mod instance;
mod limiter;
mod priority;
mod queue;
mod scale;
mod service;
mod standing_queue;
mod subset;

pub use crate::acceptance::{EdgeCall, RefusalPredictor, SpareCapacity};
pub use crate::answer_time::AnswerTime;
pub use crate::budget::{Loan, RetryBudget};
pub use crate::candidate::{CallEnd, Candidate, Choice, InstanceKey, Pick, RouterConfig, Standing};
pub use crate::children::ChildRetries;
pub use crate::congestion_window::{CongestionWindows, WindowFull};
pub use crate::edge::EdgeRetries;
pub use crate::fates::{Fates, SendKey};
pub use crate::gate::Gate;
pub use crate::leads::{Began, Leads};
pub use crate::load::{Load, MalformedLoad};
pub use crate::origins::{Census, Origins, Place};
pub use crate::pressure::{Pressure, PressureMeter, Pressures};
pub use crate::resend::ResendBudget;
pub use crate::router::Router;
pub use crate::runs::{Run, RunKey, Runs};
pub use crate::settings::{GateConfig, Headroom, Order};
pub use crate::work::{Decision, Permit, QueueEvent, RunOutcome, WaiterKey, Work};
