/*!
What crosses process boundaries: header names, the context of a call between
daemons, and the messages of the control connection.

```
use http::HeaderMap;
use wire::header;

let mut headers = HeaderMap::new();
headers.insert(header::ATTEMPT, "2".parse().unwrap());
assert_eq!(wire::parse::attempt(&headers), Ok(Some(2)));
```

# Sections

* [`header`]: names of the headers
* [`parse`]: bounded reading of the headers that anybody may send
* [`context`]: the context that one daemon passes to the next
* [`hop`]: one forwarded request between daemons
* [`error`]: a header that could not be read
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
pub use crate::hop::{Hop, HopEnd, MalformedHeader, ServicePressure, ViewStamp};
