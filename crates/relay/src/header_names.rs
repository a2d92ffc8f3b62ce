//! Names of the headers exchanged with callers and targets.

use http::HeaderName;

/// Header names that callers and targets use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    /// Id of one attempt by a caller. The target returns it with its response.
    pub request_id: HeaderName,
    /// Time until the deadline of the request, in milliseconds.
    pub time_left_ms: HeaderName,
    /// Id of the target that the request is for. Any other target refuses it.
    pub expected_target: HeaderName,
    /// Service of the machine on which the request originated.
    pub origin_service: HeaderName,
    /// Marks a response to a request that the target did not run.
    pub not_run: HeaderName,
    /// Requests per second that a target takes from all callers together, a decimal number.
    pub rate_limit: HeaderName,
    /// Marks the responses of a target that is leaving with the value 1.
    pub leaving: HeaderName,
}
