//! Cached answers for duplicates of a call that has run.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, StatusCode};

/// Fixed memory of one cached answer or header, in bytes, in addition to its text.
const FIXED_BYTES: usize = 64;

/// A complete answer of a target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CachedAnswer {
    /// Status that the target returned.
    pub status: StatusCode,
    /// Headers of the target as passed on to the caller.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

impl CachedAnswer {
    /// Returns the memory that the answer occupies, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let headers: usize = self
            .headers
            .iter()
            .map(|(name, value)| FIXED_BYTES + name.as_str().len() + value.len())
            .sum();
        FIXED_BYTES + headers + self.body.len()
    }
}

/// Answer of a call that has run, as far as it is available.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The complete answer, which is returned to duplicates of the call.
    Cached(Arc<CachedAnswer>),
    /// The call ran, or may have run, but there is no complete answer.
    Gone,
}
