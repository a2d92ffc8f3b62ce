//! Calls of other daemons to this daemon's target.

use std::sync::Arc;
use std::time::Instant;

use http::{HeaderValue, StatusCode};
use model::Outcome;
use wire::{CallContext, header};

use crate::call::Call;
use crate::inbound::{self, InboundRequest};
use crate::reply::{self, Answer};
use crate::run;
use crate::serve;
use crate::state::DaemonState;

/// Handles a call from another daemon.
pub(crate) async fn serve(state: &Arc<DaemonState>, req: InboundRequest) -> Answer {
    let context = match CallContext::read(&req.headers) {
        Ok(context) => context,
        Err(e) => return inbound::invalid_header(&e),
    };
    if req.service().name != state.settings.identity.service {
        return reply::invalid(
            StatusCode::MISDIRECTED_REQUEST,
            "another service's target stands here",
        );
    }
    let call = Call::from_context(&context, Instant::now());
    let mut answer = run::run(state, call, req).await;
    let outcome = serve::outcome(&answer);
    let headers = answer.headers_mut();
    if outcome == Some(Outcome::NotRun) {
        headers.insert(header::RETRIES, HeaderValue::from(call.retries));
    }
    let load = state.admission.load(Instant::now());
    reply::put_text(headers, &header::LOAD, &load.to_string());
    reply::put_text(
        headers,
        &header::INSTANCE,
        state.settings.identity.id.as_str(),
    );
    answer
}
