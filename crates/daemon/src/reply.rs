//! Answers that the daemon generates itself: refusals and unknown outcomes.

use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use model::{Outcome, Refusal, RefusalReason};
use serde_json::json;
use wire::header;

use crate::body::AnswerBody;

/// Time after which to repeat a request, such as one whose call is still running.
pub(crate) const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Time after which to repeat a request for which no instance could be reached.
pub(crate) const RETRY_AFTER_UNREACHABLE: Duration = Duration::from_secs(1);

/// Answer of the daemon to a caller, another daemon, the target or an operator.
pub(crate) type Answer = Response<AnswerBody>;

/// Why it is not known whether a call ran, or with which answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UnknownReason {
    /// The deadline passed after bytes had been sent.
    Deadline,
    /// The connection to the target, another daemon or the caller broke after bytes had been
    /// sent.
    Broken,
    /// A call with the same ticket is running.
    Running,
    /// The call ran, and its answer is not cached any more.
    AnswerGone,
    /// The incarnation that issued the ticket has ended, and what it ran is not known.
    Superseded,
    /// The instance that issued the ticket can't be reached.
    Unreachable,
    /// The execution that made the call has ended, and so has the record of its calls.
    ExecutionEnded,
}

impl UnknownReason {
    fn text(self) -> &'static str {
        match self {
            UnknownReason::Deadline => "deadline",
            UnknownReason::Broken => "broken",
            UnknownReason::Running => "running",
            UnknownReason::AnswerGone => "answer-gone",
            UnknownReason::Superseded => "superseded",
            UnknownReason::Unreachable => "unreachable",
            UnknownReason::ExecutionEnded => "execution-ended",
        }
    }

    fn status(self) -> StatusCode {
        match self {
            UnknownReason::Deadline => StatusCode::GATEWAY_TIMEOUT,
            UnknownReason::Running => StatusCode::CONFLICT,
            _ => StatusCode::BAD_GATEWAY,
        }
    }
}

/// Returns the status of the answer to a refused call.
pub(crate) fn refusal_status(reason: RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::Overloaded | RefusalReason::Evicted | RefusalReason::Deadline => {
            StatusCode::TOO_MANY_REQUESTS
        }
        RefusalReason::Leaving
        | RefusalReason::NoInstance
        | RefusalReason::NotReady
        | RefusalReason::Cancelled
        | RefusalReason::HeldBack => StatusCode::SERVICE_UNAVAILABLE,
        RefusalReason::TicketRequired => StatusCode::PRECONDITION_REQUIRED,
        RefusalReason::TicketForeign => StatusCode::CONFLICT,
        RefusalReason::Invalid => StatusCode::BAD_REQUEST,
    }
}

/// Answer to a call that was not run.
pub(crate) fn not_run(refusal: Refusal) -> Answer {
    let mut answer = with_outcome(
        refusal_status(refusal.reason),
        Outcome::NotRun,
        &refusal.reason.to_string(),
        "",
    );
    put_retry_after(answer.headers_mut(), refusal.retry_after);
    answer
}

/// Answer to a call for which no instance can be reached.
pub(crate) fn no_instance() -> Answer {
    not_run(Refusal {
        reason: RefusalReason::NoInstance,
        retry_after: RETRY_AFTER_UNREACHABLE,
    })
}

/// Answer to a call whose deadline passed before it was forwarded.
pub(crate) fn deadline_passed() -> Answer {
    not_run(Refusal {
        reason: RefusalReason::Deadline,
        retry_after: Duration::ZERO,
    })
}

/// Answer to a call that was not run because its request is invalid.
pub(crate) fn invalid(status: StatusCode, detail: &str) -> Answer {
    with_outcome(
        status,
        Outcome::NotRun,
        &RefusalReason::Invalid.to_string(),
        detail,
    )
}

/// Answer to an invalid request with a ticket of which an earlier send may have run.
pub(crate) fn invalid_resend(status: StatusCode) -> Answer {
    let reason = RefusalReason::Invalid.to_string();
    let detail = "this send was refused; an earlier send of its ticket may have run";
    with_outcome(status, Outcome::Unknown, &reason, detail)
}

/// Answer to a call that may not be repeated and has no ticket; contains a ticket for it.
pub(crate) fn ticket_required(ticket: &str) -> Answer {
    let reason = RefusalReason::TicketRequired;
    let mut answer = with_outcome(
        refusal_status(reason),
        Outcome::NotRun,
        &reason.to_string(),
        "send the request again with the ticket in berylhead-ticket",
    );
    put_text(answer.headers_mut(), &header::TICKET, ticket);
    answer
}

/// Answer to a call whose outcome is unknown.
pub(crate) fn unknown(reason: UnknownReason, retry_after: Option<Duration>) -> Answer {
    let mut answer = with_outcome(reason.status(), Outcome::Unknown, reason.text(), "");
    if let Some(retry_after) = retry_after {
        put_retry_after(answer.headers_mut(), retry_after);
    }
    answer
}

/// Answer without an outcome, as the admin listener gives it.
pub(crate) fn plain(status: StatusCode, content_type: &'static str, body: Bytes) -> Answer {
    let mut answer = Response::new(AnswerBody::buffered(body));
    *answer.status_mut() = status;
    answer
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    answer
}

fn with_outcome(status: StatusCode, outcome: Outcome, reason: &str, detail: &str) -> Answer {
    let body =
        json!({ "outcome": outcome.to_string(), "reason": reason, "detail": detail }).to_string();
    let mut answer = plain(status, "application/json", Bytes::from(body));
    let headers = answer.headers_mut();
    put_text(headers, &header::OUTCOME, &outcome.to_string());
    put_text(headers, &header::REASON, reason);
    answer
}

/// Sets the time after which to repeat the request, in milliseconds and, in the standard
/// header, in whole seconds.
pub(crate) fn put_retry_after(headers: &mut HeaderMap, retry_after: Duration) {
    let ms = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX);
    headers.insert(header::RETRY_AFTER_MS, HeaderValue::from(ms));
    headers.insert(RETRY_AFTER, HeaderValue::from(ms.div_ceil(1000)));
}

/// Sets a header to a text; does nothing if the text is not a valid header value.
pub(crate) fn put_text(headers: &mut HeaderMap, name: &http::HeaderName, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name, value);
    }
}
