/*!
Which service a request goes to, how it may be handled there, and which targets serve it.

A [`RouteTable`] is one version of the operators' configuration; [`Targets`] is what is known
of the targets that register themselves. Both are plain data: nothing here does I/O or reads
a clock.

```
use std::time::Duration;

use routes::{Limits, Repeat, Route, RouteTable, Share};

let route = Route {
    name: "bookings".into(),
    host: "desk.example".into(),
    prefix: "/bookings/".into(),
    repeat: Repeat::AtMostOnce,
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

# Sections

* [`table`]: routes by host and longest prefix
* [`route`]: one route and what it promises
* [`round_robin`]: distribution of a route's requests by weight
* [`freshness`]: how old the known states are, and who knows newer ones
* [`active_targets`]: which of the listed targets are still there
* [`target`]: targets that registered themselves
*/
#![deny(missing_docs)]

pub mod active_targets;
pub mod freshness;
pub mod round_robin;
pub mod route;
pub mod table;
pub mod target;

pub use crate::active_targets::ActiveTargets;
pub use crate::freshness::{Freshness, StampDiff};
pub use crate::round_robin::WeightedRoundRobin;
pub use crate::route::{Limits, Repeat, Route, Service, Share};
pub use crate::table::{RouteKey, RouteTable};
pub use crate::target::{Target, TargetState, Targets};
