//! Answers of the daemon's own.

use std::time::Duration;

use http::{HeaderValue, Response, StatusCode, header};

use crate::payload::Payload;

/// Tells that a request did not run, and when to come back.
pub(crate) fn service_unavailable(retry_after: Duration) -> Response<Payload> {
    let mut res = status_only(StatusCode::SERVICE_UNAVAILABLE);
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        res.headers_mut().insert(header::RETRY_AFTER, value);
    }
    res
}

/// An answer without a body.
pub(crate) fn status_only(status: StatusCode) -> Response<Payload> {
    let mut res = Response::new(Payload::empty());
    *res.status_mut() = status;
    res
}
