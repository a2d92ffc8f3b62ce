/*!
At-most-once execution of calls that may not be repeated.

The crate decides whether such a call runs now, has run already, or has certainly
never run. It does no I/O and keeps all state in memory. The daemon beside each
target has one [`TicketWindow`] for its callers and one [`SourceWindow`] for calls
from other daemons. For outgoing calls it has one [`CallLedger`] per execution of
its target.

```
use std::time::Instant;

use model::{Incarnation, InstanceId};
use ticket::{Answer, KeyHash, OperationHash, RedeemDecision, Secret, TicketWindow, WindowConfig};

let now = Instant::now();
let secret = Secret::new([7; 16]);
let mut window = TicketWindow::new(
    InstanceId::from("caja-a1"),
    Incarnation::from(1),
    secret,
    WindowConfig::default(),
);
let (operation, key) = (OperationHash::of("caja", "charge"), KeyHash::of("club-7-outing-12"));

let ticket = window.issue(operation, key, now);
let RedeemDecision::Run(permit) = window.redeem(&ticket, operation, key, now) else {
    panic!("a fresh ticket runs");
};
assert!(matches!(window.redeem(&ticket, operation, key, now), RedeemDecision::Running));
window.start(&permit);
window.finish(permit, Answer::Gone, now);
assert!(matches!(window.redeem(&ticket, operation, key, now), RedeemDecision::AnswerGone));
```

# Modules

* [`ticket`](mod@ticket): the ticket and its text form
* [`hash`]: hashes of the operation and the idempotency key of a ticket
* [`secret`]: the keyed checksum of a ticket
* [`window`]: tickets of one incarnation and their states
* [`redeem`]: decisions about calls that present a ticket
* [`limits`]: memory limits
* [`answer`]: cached answers for duplicates
* [`call`]: the number of a call between daemons
* [`source`]: numbered calls from other daemons
* [`ledger`]: calls made by one execution of a target
* [`owner`](mod@owner): the instance that issues tickets for a key
*/
#![deny(missing_docs)]

pub mod answer;
pub mod call;
mod entry;
mod finished;
pub mod hash;
mod intrusive_list;
pub mod ledger;
pub mod limits;
pub mod owner;
pub mod redeem;
mod replay_window;
pub mod secret;
pub mod source;
mod start_bitmap;
pub mod ticket;
pub mod window;

pub use crate::answer::{Answer, CachedAnswer};
pub use crate::call::{CallNumber, CallNumberGenerator};
pub use crate::hash::{KeyHash, OperationHash};
pub use crate::ledger::{BeginDecision, CallLedger, SendPermit, SendResult};
pub use crate::limits::{LedgerConfig, SourceConfig, WindowConfig};
pub use crate::owner::owner;
pub use crate::redeem::{RedeemDecision, RunPermit, Usage};
pub use crate::secret::Secret;
pub use crate::source::{AdmitDecision, SourceWindow};
pub use crate::ticket::{MAX_TICKET_BYTES, MalformedTicket, Ticket};
pub use crate::window::TicketWindow;
