/*!
How the daemons of a fleet agree on the configuration in force and on who is there.

A [`Node`] is one daemon's part in that. It does no I/O and reads no clock: messages, answers
of the platform and the present time go in, and [`Action`]s come out.

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

# Sections

* [`node`]: the aggregate
* [`outbox`]: what the shell is asked to do, and what it answers
* [`view`]: what the data path reads
* [`instances`]: the platform's instance list
* [`stamp`]: which state is newer
* [`readers`]: who reads the platform, and how often
* [`overlay`]: which daemons are neighbours
* [`detector`]: heartbeats, and what follows from silence
* [`membership`]: claims about members beyond the instance list
* [`reachability`]: which data centres have been heard from recently
* [`pulls`]: how newer state is fetched
* [`pause`]: what follows when the process was stopped for a while
* [`boot`]: when a newly started daemon may serve
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
