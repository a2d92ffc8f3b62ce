//! Parameters of a request to a target.

use std::time::Duration;

use http::{HeaderMap, HeaderName, Request};
use hyper::body::Incoming;
use smol_str::SmolStr;
use wire::header;

use crate::http_server::{query_parsed, query_value};
use crate::plan::TargetConfig;

/// The parameters that a target reads from the path, query and headers of a request.
pub(crate) struct RequestParams {
    pub(crate) operation: SmolStr,
    pub(crate) token: SmolStr,
    pub(crate) answer_bytes: usize,
    pub(crate) chunked: bool,
    pub(crate) hold: Duration,
    pub(crate) root: Option<SmolStr>,
    pub(crate) key: Option<SmolStr>,
    pub(crate) request_id: Option<SmolStr>,
}

impl RequestParams {
    pub(crate) fn parse(cfg: &TargetConfig, req: &Request<Incoming>) -> Self {
        let path = req.uri().path().trim_start_matches('/');
        let operation: SmolStr = path.split('/').next().unwrap_or_default().into();
        let query = req.uri().query();
        let request_id = text(req.headers(), &header::REQUEST_ID);
        let root = request_id
            .as_ref()
            .map(|id| id.split('.').next().unwrap_or_default().into());
        let token = query_value(query, "token").map(SmolStr::new);
        let requested_bytes = query_parsed(query, "bytes").filter(|bytes| *bytes > 0);
        RequestParams {
            token: token.or_else(|| request_id.clone()).unwrap_or_default(),
            answer_bytes: requested_bytes.unwrap_or(cfg.plan_of(&operation).answer_bytes),
            chunked: query_parsed(query, "chunked").unwrap_or(false),
            hold: query_parsed(query, "hold_ms").map_or(Duration::ZERO, Duration::from_millis),
            key: text(req.headers(), &header::IDEMPOTENCY_KEY),
            root,
            request_id,
            operation,
        }
    }
}

fn text(headers: &HeaderMap, name: &HeaderName) -> Option<SmolStr> {
    headers.get(name)?.to_str().ok().map(SmolStr::new)
}
