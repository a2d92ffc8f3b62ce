//! The reply to a call, with one of three outcomes.

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use model::{Outcome, Refusal};

/// How a call ended.
#[derive(Clone, Debug)]
pub enum Reply<B = Bytes> {
    /// The target ran the call and answered it.
    Answered {
        /// The status from the target.
        status: StatusCode,
        /// The headers of the response.
        headers: HeaderMap,
        /// The response body.
        body: B,
    },
    /// The call was not run and will not be.
    NotRun {
        /// The reason, and the time to wait before a retry.
        refusal: Refusal,
    },
    /// The call may have run. Another call with the same key queries its outcome.
    Unknown,
}

impl<B> Reply<B> {
    /// Returns the outcome without its details.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        match self {
            Reply::Answered { .. } => Outcome::Answered,
            Reply::NotRun { .. } => Outcome::NotRun,
            Reply::Unknown => Outcome::Unknown,
        }
    }
}

/// Status and headers of a daemon's response, such as the request id.
#[derive(Clone, Debug)]
pub struct Head {
    /// The HTTP status.
    pub status: StatusCode,
    /// The response headers.
    pub headers: HeaderMap,
}
