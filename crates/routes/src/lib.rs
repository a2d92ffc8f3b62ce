/*!
Routes requests to services and lists the targets that serve them.

A [`RouteTable`] is one version of the operators' configuration; [`Targets`] is the list of
registered targets. The crate does no I/O and reads no clock: callers pass the current time.

```
use std::time::Duration;

use routes::{Idempotency, Limits, Route, RouteTable, Share};

let route = Route {
    name: "bookings".into(),
    host: "desk.example".into(),
    prefix: "/bookings/".into(),
    idempotency: Idempotency::AtMostOnce,
    shares: vec![Share { service: "reservas".into(), weight: 1 }],
    timeout: Duration::from_millis(800),
    target_latency: Duration::from_millis(300),
    priority: 0,
    max_sends: 2,
};
let table = RouteTable::new(7, vec![route], Vec::new(), Limits::default());
let key = table.find("desk.example", "/bookings/12").expect("the prefix matches");
assert_eq!(table.route(key).name, "bookings");
assert!(table.find("desk.example", "/bookings").is_none());
```

# Modules

* [`table`]: routes by host and longest prefix
* [`route`]: settings of one route, and limits on callers
* [`round_robin`]: weighted distribution of a route's requests among services
* [`freshness`]: versions and age of the configuration and the target list
* [`active_targets`]: targets in use, also while the list cannot be read
* [`readers`]: which daemons read the platform, and whom the others ask
* [`target`]: registered targets
*/
#![deny(missing_docs)]

pub mod active_targets;
pub mod freshness;
pub mod readers;
pub mod round_robin;
pub mod route;
pub mod table;
pub mod target;

pub use crate::active_targets::ActiveTargets;
pub use crate::freshness::{Freshness, StampDiff};
pub use crate::readers::{READERS, ReadAges, Readers};
pub use crate::round_robin::WeightedRoundRobin;
pub use crate::route::{Idempotency, Limits, Route, Service, Share};
pub use crate::table::{RouteKey, RouteTable};
pub use crate::target::{Target, TargetState, Targets};
