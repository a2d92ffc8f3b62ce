/*!
The daemon beside one target: it admits, limits, queues, sheds, routes, retries and
cancels the calls to and from that target.

The logic is in `policy`, `ticket` and `fleet`, which do no I/O; this crate connects
them to sockets. It has no global state except the logger, so one process may run many
daemons.

```no_run
use std::path::Path;

let settings = daemon::Settings::load(Path::new("reservas-a1.ini"))?;
let running = daemon::start(settings, std::future::pending())?;
println!("callers connect to {}", running.addresses().callers);
running.join();
# Ok::<(), daemon::Error>(())
```

# Modules

* [`settings`]: the settings of one daemon, an INI file
* [`start`](mod@start): starting and stopping
* [`features`]: switches that disable mechanisms of the daemon, for benchmarks
* [`on_platform`]: the daemon on the users' platform
* [`logging`]: the logger, which writes JSON lines to standard error or standard output
* [`error`]: errors of starting a daemon
*/
#![deny(missing_docs)]

mod admin;
mod admission;
mod body;
mod call;
mod claim;
mod collect;
mod control;
mod edges;
mod entry;
pub mod error;
mod execution;
pub mod features;
mod forward;
mod health;
mod inbound;
mod leaving;
mod listen;
mod local;
pub mod logging;
mod mesh;
mod metrics;
pub mod on_platform;
mod outcomes;
mod prediction;
mod refusal;
mod reply;
mod run;
mod serve;
pub mod settings;
pub mod start;
mod state;
mod upstream;

pub use crate::error::Error;
pub use crate::features::Features;
pub use crate::settings::{Advertise, Identity, Listen, Settings};
pub use crate::start::{Daemon, start};
