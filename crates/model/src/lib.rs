/*!
Types shared by the crates of the workspace: names of services and operations,
importance of a request, and outcome of a call.

Crates exchange data in these types, so that none depends on the internals of
another.

```
use model::{Class, Outcome};

assert!(Class::Critical > Class::Bulk);
assert!(Outcome::NotRun.is_retry_safe());
assert!(!Outcome::Unknown.is_retry_safe());
```

# Modules

* [`name`]: names of services, operations, instances and data centres
* [`key`]: small `Copy` indices into the lists of a configuration document
* [`class`]: importance of a root request, and the scheduling goal
* [`outcome`]: outcomes of a call, and reasons for a refusal
* [`id`]: request identifiers, revisions and incarnations
*/
#![deny(missing_docs)]

pub mod class;
pub mod id;
pub mod key;
pub mod name;
pub mod outcome;

pub use crate::class::{Class, Goal, UnknownClass};
pub use crate::id::{Incarnation, MalformedRequestId, RequestId, Revision};
pub use crate::key::{OperationKey, ServiceKey};
pub use crate::name::{DataCentre, InstanceId, OperationName, Region, ServiceName};
pub use crate::outcome::{Outcome, Refusal, RefusalReason};
