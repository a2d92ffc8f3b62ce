//! Requests that are held back, as operators see and release them.

use http::{Method, Request, Response, StatusCode};
use policy::Fingerprint;
use tokio::time::Instant;

use crate::payload::Payload;
use crate::relay::Relay;
use crate::responses::status_only;

/// Path of the list. One more segment names a request to release with `DELETE`.
const PATH: &str = "/held";

/// Serves the list of requests that are held back, or releases one; `None` for any other path.
///
/// The list has one line for each request: its fingerprint, then the targets that it crashed.
pub(crate) fn serve<B>(relay: &Relay, req: &Request<B>) -> Option<Response<Payload>> {
    let rest = req.uri().path().strip_prefix(PATH)?;
    if rest.is_empty() && req.method() == Method::GET {
        let now = Instant::now().into_std();
        let crashes = relay.crashes.borrow();
        let held = crashes.held(now);
        let lines = held.iter().map(|request| format!("{request}\n"));
        return Some(Response::new(Payload::Buffered(
            lines.collect::<String>().into(),
        )));
    }
    let fingerprint = rest.strip_prefix('/').and_then(Fingerprint::parse);
    let Some(fingerprint) = fingerprint.filter(|_| req.method() == Method::DELETE) else {
        return Some(status_only(StatusCode::BAD_REQUEST));
    };
    if !relay.crashes.borrow_mut().clear(&[fingerprint]) {
        return Some(status_only(StatusCode::NOT_FOUND));
    }
    log::warn!(fingerprint:%; "request released by an operator");
    relay.crash_exchange.notify();
    Some(status_only(StatusCode::NO_CONTENT))
}
