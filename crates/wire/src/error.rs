//! The error of reading a header.

use derive_more::{Display, Error};
use http::HeaderName;

/// A header that is missing, repeated, malformed, too long or out of range.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("header {name}: {kind}")]
pub struct Error {
    name: HeaderName,
    kind: Kind,
}

#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum Kind {
    #[display("given more than once; allowed: once")]
    Repeated,
    #[display("too long; allowed: at most {} bytes", crate::parse::MAX_VALUE_BYTES)]
    TooLong,
    #[display("not visible text")]
    NotText,
    #[display("not a whole number in range")]
    NotANumber,
    #[display("not a request id")]
    NotARequestId,
    #[display("not a class")]
    NotAClass,
    #[display("missing")]
    Missing,
}

impl Error {
    pub(crate) fn new(name: &HeaderName, kind: Kind) -> Self {
        Error {
            name: name.clone(),
            kind,
        }
    }
}
