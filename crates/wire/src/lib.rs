/*!
Formats of everything that crosses process boundaries: header names, the call context
that daemons propagate, and the messages of the control connection.

```
use http::HeaderMap;
use wire::header;

let mut headers = HeaderMap::new();
headers.insert(header::ATTEMPT, "2".parse().unwrap());
assert_eq!(wire::parse::attempt(&headers), Ok(Some(2)));
```

# Modules

* [`header`]: header names of the HTTP interface
* [`parse`]: bounded parsing of headers from untrusted callers
* [`context`]: the call context that daemons propagate
* [`hop`]: headers that daemons exchange with a forwarded request and its answer
* [`control`]: messages of the control connection
* [`error`]: the error of reading a header
*/
#![deny(missing_docs)]

pub mod context;
pub mod control;
pub mod error;
pub mod header;
pub mod hop;
pub mod parse;

pub use crate::context::{CallContext, ExecutionId};
pub use crate::error::Error;
pub use crate::hop::{Hop, HopEnd, MalformedHeader, ServiceShare, ViewStamp};
