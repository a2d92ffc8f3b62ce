/*!
Membership and configuration of a fleet of daemons.

The daemons replicate two kinds of state among each other, the configuration document and the
instance list, so that only a few read the platform, and detect failed members by heartbeats
and gossip.

A [`Node`] is the state machine of one daemon. It does no I/O and reads no clock: its inputs
are messages, answers of the platform and the current time, its outputs are [`Action`]s.

```
use std::time::{Duration, Instant};

use fleet::{Action, Node, NodeConfig, Outbox};

let now = Instant::now();
let mut node = Node::new(
    NodeConfig {
        id: "reservas-a1".into(),
        data_centre: "norte-a".into(),
        control: "127.0.0.1:4200".parse().unwrap(),
        seeds: Vec::new(),
        expected_members: 16,
        generation: 1,
        seed: 1,
    },
    now,
);
let mut out = Outbox::default();
node.tick(now + Duration::from_secs(1), &mut out);
assert!(out.drain().any(|action| matches!(action, Action::ReadDocument(_))));
assert!(node.view().index.is_none(), "a daemon without a document is not ready");
```

# Modules

* [`node`]: the state machine of one daemon
* [`outbox`]: the actions that it requests and the results that it gets back
* [`view`]: the snapshot published for the data path
* [`instances`]: the platform's instance list
* [`stamp`]: the order of the versions of a state
* [`readers`]: which daemons read the platform, and at what intervals
* [`overlay`]: which daemons exchange control messages
* [`detector`]: the failure detector
* [`membership`]: claims about the state of members
* [`reachability`]: which other data centres have been heard from recently
* [`pulls`]: pulls of newer states from peers
* [`pause`]: detection of pauses of the process
* [`boot`]: readiness of a newly started daemon
*/
#![deny(missing_docs)]

pub mod boot;
pub mod detector;
mod document;
mod gossip;
mod history;
pub mod instances;
pub mod membership;
pub mod node;
pub mod outbox;
pub mod overlay;
pub mod pause;
pub mod pulls;
pub mod reachability;
pub mod readers;
mod replica;
pub mod stamp;
pub mod view;

pub use crate::instances::{Instance, InstanceList, ListedState};
pub use crate::node::{Node, NodeConfig};
pub use crate::outbox::{Action, Alarm, Outbox, PlatformAnswer, Read, ReadResult};
pub use crate::stamp::Stamp;
pub use crate::view::{Member, MemberStanding, View};
