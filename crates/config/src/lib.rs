/*!
The configuration document of a fleet, which is generated from a questionnaire and published
by the platform.

A [`Document`] is plain data. [`Document::parse`] rejects an invalid one and lists every
fault. [`Index`] provides constant-time look-ups for a daemon.

```
use config::Document;

let text = br#"{"revision":1,"goal":"goodput","retry_budget":3,"retry_percent":10,"services":[
    {"name":"caja","slots":0,"connections":230,"refusal_means_not_run":false,"operations":[]}]}"#;
let error = Document::parse(text).unwrap_err();
assert_eq!(
    error.to_string(),
    "service caja: slots: 0 is out of range; allowed: 1 to 100000",
);
```

# Modules

* [`document`]: the document's schema
* [`index`]: look-ups by name, with `Copy` keys
* [`check`]: allowed ranges, sizes and names
* [`fault`]: a fault of a document, with its place and a remedy
* [`error`]: the error of parsing or validating a document
*/
#![deny(missing_docs)]

pub mod check;
pub mod document;
pub mod error;
pub mod fault;
mod graph;
pub mod index;

pub use crate::document::{
    DEFAULT_OBJECTIVE_PERMILLE, Document, MAX_CHAIN_DEPTH, MAX_DOCUMENT_BYTES, Operation, Service,
};
pub use crate::error::Error;
pub use crate::fault::{Fault, Place};
pub use crate::index::Index;
