/*!
Starts daemons as real processes among stand-ins, and breaks what stands between them.

The proofs are in `tests/`, one file for each promise. Each builds a [`Rig`], sends
requests to its daemons, and holds what callers were told against what really ran.

```no_run
# async fn example(program: &str) -> anyhow::Result<()> {
use proof::{Link, NodeSpec, Rig, fleets};

let rig = Rig::builder(program)
    .document(fleets::arriaga())
    .node(NodeSpec::new("caja", "norte-a", "caja-a1").through(Link::Mesh))
    .start()
    .await?;
rig.proxy("caja-a1", Link::Mesh).reset_connections();
# Ok(())
# }
```

# Sections

* [`rig`]: the processes and stand-ins of one proof
* [`node`]: one instance: its daemon, its target and the proxies around them
* [`process`]: a daemon process, its signals and its log
* [`sender`]: one send of a call that may not be repeated, and what its caller is told
* [`story`]: a caller's sends under one idempotency key, to be held against what ran
* [`breakage`]: seeded faults on all that a rig is made of
* [`schedule`]: seeded schedules of callers and faults
* [`fleets`]: the configuration documents that proofs run under
* [`wait`]: waiting for what can be observed
*/
#![deny(missing_docs)]

pub mod breakage;
pub mod fleets;
mod judgement;
pub(crate) mod layouts;
pub mod node;
pub mod process;
pub mod rig;
pub mod schedule;
pub mod sender;
pub mod story;
pub mod wait;

pub use crate::breakage::{Breakage, break_rig, mend};
pub use crate::node::{Link, Node, NodeSpec};
pub use crate::process::{Bound, DaemonProcess, Signal};
pub use crate::rig::{Rig, RigBuilder};
pub use crate::sender::{Send, Sender, Told};
pub use crate::story::{Habit, Story};
pub use crate::wait::{CAP, until};
