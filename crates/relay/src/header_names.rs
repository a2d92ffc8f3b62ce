//! Names of the headers that callers and targets know.

use http::HeaderName;

/// Names under which callers and targets send and expect headers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    /// Id of one attempt of a caller; a target echoes it.
    pub request_id: HeaderName,
    /// Milliseconds that the caller will wait, or that a target has.
    pub time_left_ms: HeaderName,
    /// The target that is meant; any other refuses the request.
    pub expected_target: HeaderName,
    /// Service of the machine at which the request began.
    pub origin_service: HeaderName,
    /// Says on an answer that the target did not run the request.
    pub not_run: HeaderName,
}
