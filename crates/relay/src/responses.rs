//! Responses that the daemon itself creates.

use std::time::Duration;

use http::{HeaderValue, Response, StatusCode, header};

use crate::payload::Payload;

/// Returns a 503 with a `Retry-After` header in fractional seconds, to a request that did not run.
pub(crate) fn service_unavailable(retry_after: Duration) -> Response<Payload> {
    let mut res = status_only(StatusCode::SERVICE_UNAVAILABLE);
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        res.headers_mut().insert(header::RETRY_AFTER, value);
    }
    res
}

/// Returns a response with an empty body.
pub(crate) fn status_only(status: StatusCode) -> Response<Payload> {
    let mut res = Response::new(Payload::empty());
    *res.status_mut() = status;
    res
}
