/*!
The daemon beside one target on a platform that publishes configuration and targets: it takes
the requests that begin on its machine to a target of their route's service, and runs in its
own target what other daemons send.

The rules are in `policy` and `routes`, which do no I/O; this crate connects them to sockets.
How a platform spells things is told from outside: [`HeaderNames`] and [`Source`].

```no_run
# async fn example(cfg: relay::Settings, names: relay::HeaderNames, source: relay::Source) {
let stop = std::future::pending();
let ended = tokio::task::LocalSet::new()
    .run_until(relay::run(cfg, names, source, stop))
    .await;
# let _ = ended;
# }
```

# Sections

* [`settings`]: what one daemon is told at its start
* [`header_names`]: names of the headers that callers and targets know
* [`source`]: where the published states are read
* [`start`](mod@start): starting and stopping
* [`error`]: why a daemon could not start
*/
#![deny(missing_docs)]

mod admission;
mod beside;
mod connection_pool;
pub mod error;
mod fate;
mod guards;
pub mod header_names;
mod headers;
mod listen;
mod mesh;
mod metrics;
mod neighbours;
mod origin;
mod origin_request;
mod payload;
mod pull;
mod relay;
mod responses;
mod sending;
mod service;
pub mod settings;
pub mod source;
pub mod start;
mod sync;
mod view;
mod word;

pub use crate::error::Error;
pub use crate::header_names::HeaderNames;
pub use crate::settings::{Bounds, Listen, Settings};
pub use crate::source::{
    Document, Parsers, PublishedState, Source, SourceError, SourceFuture, WatchResult,
};
pub use crate::start::run;
