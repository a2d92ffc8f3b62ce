/*!
Client library for callers of services that berylhead protects. Each call has one
of three outcomes: it was answered, it was not run, or its outcome is unknown.

Calls are sent to *entry addresses*, where daemons accept calls.

A call that may not be repeated is made with [`once`](Call::once) and an
idempotency key that the caller chooses. The client obtains a *ticket* for it
from a daemon, which lets a call run at most once per ticket. The client presents
only that ticket while the outcome is unknown, so it never causes a second run.

```no_run
use client::{Call, Client, ClientConfig, Reply};

# async fn example() -> Result<(), client::Error> {
let client = Client::new(["10.0.0.7:8080".parse().unwrap()], ClientConfig::default());
let booking = Call::new("reservas", "book").once("club-7-outing-12").body("two tandems");
match client.call(&booking).await? {
    Reply::Answered { status, body, .. } => println!("{status}: {} bytes", body.len()),
    Reply::NotRun { refusal } => println!("not run ({}), try later", refusal.reason),
    Reply::Unknown => println!("it may have run; call again with the same key to find out"),
}
# Ok(())
# }
```

# Modules

* [`client`](mod@client): the client
* [`call`]: the description of a call
* [`reply`]: the reply to a call, with one of three outcomes
* [`body`]: streamed bodies of answers
* [`retry`]: the decision whether to send a call again
* [`cfg`](mod@cfg): limits and timeouts
* [`error`]: errors of calls that could not be made
*/
#![deny(missing_docs)]

pub mod body;
pub mod call;
pub mod cfg;
pub mod client;
mod entries;
pub mod error;
mod exchange;
mod instances;
pub mod reply;
pub mod retry;
mod tickets;
mod transport;

pub use crate::body::{Body, BodyError};
pub use crate::call::Call;
pub use crate::cfg::ClientConfig;
pub use crate::client::Client;
pub use crate::error::Error;
pub use crate::reply::{Head, Reply};
pub use crate::retry::{NextStep, RetryMode, RetryState, SendOutcome};
