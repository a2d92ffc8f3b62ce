//! Header names of the HTTP interface between callers, daemons and targets.

use http::HeaderName;

/// Id of the root request; in requests to a target, followed by the execution id.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("berylhead-request-id");
/// Number of times that the caller sent this request before.
pub const ATTEMPT: HeaderName = HeaderName::from_static("berylhead-attempt");
/// Time until the deadline, in milliseconds.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("berylhead-deadline-ms");
/// Priority class of the root request. Between daemons only.
pub const CLASS: HeaderName = HeaderName::from_static("berylhead-class");
/// Worth of the root request. Between daemons only.
pub const WORTH: HeaderName = HeaderName::from_static("berylhead-worth");
/// Retry budget granted to a call, or in its answer the unspent rest. Between daemons only.
pub const RETRIES: HeaderName = HeaderName::from_static("berylhead-retries");
/// Ticket that allows a non-repeatable operation to run once.
pub const TICKET: HeaderName = HeaderName::from_static("berylhead-ticket");
/// Outcome of the call.
pub const OUTCOME: HeaderName = HeaderName::from_static("berylhead-outcome");
/// Reason why the call was refused.
pub const REASON: HeaderName = HeaderName::from_static("berylhead-reason");
/// Load of the answering target. Between daemons only.
pub const LOAD: HeaderName = HeaderName::from_static("berylhead-load");
/// Id of the instance that answered.
pub const INSTANCE: HeaderName = HeaderName::from_static("berylhead-instance");
/// Revision of the configuration that applied to the call.
pub const REVISION: HeaderName = HeaderName::from_static("berylhead-revision");
/// Key that the caller chooses for one intended execution.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Delay before a retry, in milliseconds; `retry-after` carries it in whole seconds.
pub const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("retry-after-ms");

/// Common prefix of the headers that this project defines.
pub const PREFIX: &str = "berylhead-";
