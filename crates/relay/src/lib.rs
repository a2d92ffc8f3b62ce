/*!
Runs the daemon beside one target, on a platform that publishes the configuration and the
target list.

The daemon forwards requests that originate on its machine to a target of their route's
service, and runs requests from other daemons in the local target, the one beside it.
Routing and admission are decided by `policy` and `routes`, which do no I/O; this crate
connects them to sockets. The platform's header names and its source of published states
are parameters: [`HeaderNames`] and [`Source`].

```no_run
# async fn example(cfg: relay::Settings, names: relay::HeaderNames, source: relay::Source) {
let stop = std::future::pending();
let result = tokio::task::LocalSet::new()
    .run_until(relay::run(cfg, names, source, stop))
    .await;
# let _ = result;
# }
```

# Modules

* [`settings`]: settings of one daemon
* [`header_names`]: names of the headers exchanged with callers and targets
* [`source`]: interface to the source of the published states
* [`start`](mod@start): start and graceful shutdown
* [`error`]: errors of starting a daemon
*/
#![deny(missing_docs)]

mod admission;
mod answer_memory;
mod connection_pool;
mod crash_news;
mod dispatch;
pub mod error;
mod fate;
mod final_answer;
mod guards;
pub mod header_names;
mod headers;
mod held;
mod listen;
mod local_target;
mod locations;
mod mesh;
mod metrics;
mod origin;
mod origin_request;
mod payload;
mod pending_send;
mod piggyback;
mod pull;
mod relay;
mod responses;
mod service;
pub mod settings;
mod shared_stream;
pub mod source;
pub mod start;
mod stopping;
mod suspects;
mod sync;
mod target_end;
mod target_notice;
mod time_limit;
mod view;

pub use crate::error::Error;
pub use crate::header_names::HeaderNames;
pub use crate::settings::{Bounds, Listen, Settings};
pub use crate::source::{
    Document, Parsers, PublishedState, RESTORATION_SHIFT, ReadMode, Source, SourceError,
    SourceFuture, WatchResult,
};
pub use crate::start::run;
