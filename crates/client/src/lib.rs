/*!
Calls a fleet that berylhead protects and says, for each call, which of three
things happened: it was answered, it was not run, or that is not known.

A call that may not be repeated is made [`once`](Call::once) under the caller's
own idempotency key. The client obtains its ticket, presents only that ticket
for as long as the call's fate is open, and so never causes a second run.

```no_run
use client::{Call, Client, ClientConfig, Reply};

# async fn example() -> Result<(), client::Error> {
let client = Client::new(["10.0.0.7:8080".parse().unwrap()], ClientConfig::default());
let booking = Call::new("reservas", "book").once("club-7-outing-12").body("two tandems");
match client.call(&booking).await? {
    Reply::Answered { status, body, .. } => println!("{status}: {} bytes", body.len()),
    Reply::NotRun { refusal } => println!("not run ({}), try later", refusal.reason),
    Reply::Unknown => println!("it may have run; call again with the same key to learn"),
}
# Ok(())
# }
```

# Sections

* [`client`](mod@client): the client
* [`call`]: one call as its caller means it
* [`reply`]: the three outcomes
* [`body`]: an answer's body as it arrives
* [`retry`]: the decision whether to send a call again
* [`cfg`](mod@cfg): bounds and times
* [`error`]: calls that could not be made at all
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
