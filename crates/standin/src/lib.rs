/*!
Small fakes of everything that surrounds a daemon: the platform, targets, callers
and a faulty network. For tests, benches and the demo; never published.

Everything runs on the caller's tokio runtime, on loopback, and ends when dropped.

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

# Sections

* [`platform`]: the configuration and the instance list, readable and watchable
* [`instance_list`]: the entries of that list
* [`target`]: an instance of a service, with slots, cold starts and draining
* [`store`]: the metadata store of the users' platform
* [`backend`]: a target of theirs whose bytes a test writes itself
* [`plan`]: what a target is started with and what its operations do
* [`ledger`]: what really ran, to be compared with what callers were told
* [`answer`]: bodies that a caller can check byte for byte
* [`proxy`]: a TCP proxy that delays, cuts and swallows
* [`call`]: what one caller sends
* [`caller`]: its ticket, and the outcome that it is told
* [`load`]: open-loop arrivals
* [`local_fleet`]: a whole fleet in one process
* [`tally`]: what became of them, by class and by second
* [`random`]: seeded draws of gaps and service times
*/
#![deny(missing_docs)]

pub mod answer;
pub(crate) mod asked;
pub mod backend;
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
pub mod store;
pub mod tally;
pub mod target;

pub use crate::backend::{Act, Backend, Seen};
pub use crate::call::Call;
pub use crate::caller::{Caller, NoAnswer, Reply};
pub use crate::instance_list::{ListedInstance, ListedState};
pub use crate::ledger::{Ledger, Run, RunEnd};
pub use crate::load::{Load, Manner, Phase, Share};
pub use crate::local_fleet::{LocalFleet, LocalInstance};
pub use crate::plan::{Downstream, Plan, TargetConfig};
pub use crate::platform::{Platform, PlatformMode, Serving};
pub use crate::proxy::{Direction, FaultProxy, Faults};
pub use crate::random::ServiceTime;
pub use crate::store::{Store, StoreMode};
pub use crate::tally::{Record, Report, Second, Tally};
pub use crate::target::{Health, Target};
