//! Answers kept for duplicates of a call that has run.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, StatusCode};

/// Bytes that one kept answer or header occupies beside its text.
const FIXED_BYTES: usize = 64;

/// One whole answer of a target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CachedAnswer {
    /// The target's own status.
    pub status: StatusCode,
    /// The target's headers as passed on to the caller.
    pub headers: HeaderMap,
    /// The whole body.
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

/// What remains of a call that has run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The whole answer, which duplicates may be given.
    Cached(Arc<CachedAnswer>),
    /// The call ran, or may have run, and there is no whole answer.
    Gone,
}
