/*!
Test doubles for everything that surrounds a daemon: the platform, targets, callers
and a faulty network. For tests, benches and the demo; never published.

Everything runs on the caller's tokio runtime, on loopback, and stops when dropped.

```
# async fn example() -> std::io::Result<()> {
use standin::{Ledger, Target, TargetConfig};

let ledger = Ledger::default();
let target = Target::start(TargetConfig::new("caja", "caja-a1", 20), ledger.clone()).await?;
assert!(target.address().ip().is_loopback());
assert_eq!(ledger.runs().len(), 0);
# Ok(())
# }
```

# Modules

* [`platform`]: the configuration and the instance list, for daemons that don't run on the
  users' platform
* [`instance_list`]: the entries of that list
* [`target`]: an instance of a service, with slots, cold starts and draining
* [`store`]: the metadata store of the users' platform
* [`scripted_target`]: a target of the users' platform that sends the raw bytes a test chooses
* [`plan`]: the configuration of a target and the behaviour of its operations
* [`ledger`]: records every execution, to compare with what callers were told
* [`response_body`]: response bodies that a caller can verify byte for byte
* [`proxy`]: a TCP proxy that delays, cuts or discards traffic
* [`call`]: one request that a caller sends
* [`caller`]: an HTTP client that follows tickets and parses outcomes
* [`load`]: an open-loop load generator
* [`local_fleet`]: a whole fleet in one process
* [`tally`]: load results by class and by second
* [`random`]: seeded random interarrival gaps and service times
*/
#![deny(missing_docs)]

pub mod call;
pub mod caller;
pub(crate) mod http_server;
pub mod instance_list;
pub mod ledger;
pub mod load;
pub mod local_fleet;
pub mod plan;
pub mod platform;
pub mod proxy;
pub(crate) mod pump;
pub mod random;
pub(crate) mod request_params;
pub mod response_body;
pub mod scripted_target;
pub mod store;
pub mod tally;
pub mod target;

pub use crate::call::Call;
pub use crate::caller::{CallError, Caller, Reply};
pub use crate::instance_list::{ListedInstance, ListedState};
pub use crate::ledger::{Ledger, Run, RunEnd};
pub use crate::load::{Load, Phase, RetryPolicy, Share};
pub use crate::local_fleet::{LocalFleet, LocalInstance};
pub use crate::plan::{Downstream, Plan, TargetConfig};
pub use crate::platform::{Platform, PlatformMode, Serving};
pub use crate::proxy::{Direction, FaultProxy, Faults};
pub use crate::random::ServiceTime;
pub use crate::scripted_target::{Action, ReceivedRequest, ScriptedTarget};
pub use crate::store::{Store, StoreCopy, StoreMode};
pub use crate::tally::{Record, Report, Second, Tally};
pub use crate::target::{Health, Target};
