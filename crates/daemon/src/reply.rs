//! Answers that the daemon gives itself: refusals and calls whose fate is unknown.

use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use model::{Outcome, Refusal, RefusalReason};
use serde_json::json;
use wire::header;

use crate::body::AnswerBody;

/// When to ask again for the fate of a call that still runs.
pub(crate) const ASK_AGAIN: Duration = Duration::from_millis(200);
/// When to come back if no instance can be reached.
pub(crate) const RETRY_AFTER_UNREACHABLE: Duration = Duration::from_secs(1);

/// Answer of the daemon to whoever called.
pub(crate) type Answer = Response<AnswerBody>;

/// Why the fate of a call is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UnknownReason {
    /// The deadline passed after bytes had left.
    Deadline,
    /// The connection broke after bytes had left.
    Broken,
    /// The same ticket runs now.
    Running,
    /// It ran, and its answer isn't kept any more.
    AnswerGone,
    /// The ticket's incarnation ended, and what it ran is not known.
    Superseded,
    /// The ticket's instance cannot be reached.
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

/// Status that a refusal is told with.
pub(crate) fn refusal_status(reason: RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::Overloaded | RefusalReason::Evicted | RefusalReason::Deadline => {
            StatusCode::TOO_MANY_REQUESTS
        }
        RefusalReason::Leaving
        | RefusalReason::NoInstance
        | RefusalReason::NotReady
        | RefusalReason::Cancelled => StatusCode::SERVICE_UNAVAILABLE,
        RefusalReason::TicketRequired => StatusCode::PRECONDITION_REQUIRED,
        RefusalReason::TicketForeign => StatusCode::CONFLICT,
        RefusalReason::Invalid => StatusCode::BAD_REQUEST,
    }
}

/// A call that was not run.
pub(crate) fn not_run(refusal: Refusal) -> Answer {
    let mut answer = own(
        refusal_status(refusal.reason),
        Outcome::NotRun,
        &refusal.reason.to_string(),
        "",
    );
    put_retry_after(answer.headers_mut(), refusal.retry_after);
    answer
}

/// A call for which no instance can be reached.
pub(crate) fn no_instance() -> Answer {
    not_run(Refusal {
        reason: RefusalReason::NoInstance,
        retry_after: RETRY_AFTER_UNREACHABLE,
    })
}

/// A call that came too late to be sent on.
pub(crate) fn deadline_passed() -> Answer {
    not_run(Refusal {
        reason: RefusalReason::Deadline,
        retry_after: Duration::ZERO,
    })
}

/// A call that was not run because of what the caller sent.
pub(crate) fn invalid(status: StatusCode, detail: &str) -> Answer {
    own(
        status,
        Outcome::NotRun,
        &RefusalReason::Invalid.to_string(),
        detail,
    )
}

/// A send that was refused because of what the caller sent, while an earlier send of its
/// ticket may have run.
pub(crate) fn invalid_repeat(status: StatusCode) -> Answer {
    let reason = RefusalReason::Invalid.to_string();
    let detail = "this send was refused; an earlier send of its ticket may have run";
    own(status, Outcome::Unknown, &reason, detail)
}

/// A call that may not be repeated and came without a ticket: here is one.
pub(crate) fn ticket_required(ticket: &str) -> Answer {
    let reason = RefusalReason::TicketRequired;
    let mut answer = own(
        refusal_status(reason),
        Outcome::NotRun,
        &reason.to_string(),
        "send the request again with the ticket in berylhead-ticket",
    );
    put_text(answer.headers_mut(), &header::TICKET, ticket);
    answer
}

/// A call whose fate is not known.
pub(crate) fn unknown(reason: UnknownReason, retry_after: Option<Duration>) -> Answer {
    let mut answer = own(reason.status(), Outcome::Unknown, reason.text(), "");
    if let Some(retry_after) = retry_after {
        put_retry_after(answer.headers_mut(), retry_after);
    }
    answer
}

/// A plain answer of the admin listener.
pub(crate) fn plain(status: StatusCode, content_type: &'static str, body: Bytes) -> Answer {
    let mut answer = Response::new(AnswerBody::buffered(body));
    *answer.status_mut() = status;
    answer
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    answer
}

fn own(status: StatusCode, outcome: Outcome, reason: &str, detail: &str) -> Answer {
    let body =
        json!({ "outcome": outcome.to_string(), "reason": reason, "detail": detail }).to_string();
    let mut answer = plain(status, "application/json", Bytes::from(body));
    let headers = answer.headers_mut();
    put_text(headers, &header::OUTCOME, &outcome.to_string());
    put_text(headers, &header::REASON, reason);
    answer
}

/// Says when to come back, exactly and in the customary whole seconds.
pub(crate) fn put_retry_after(headers: &mut HeaderMap, retry_after: Duration) {
    let ms = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX);
    headers.insert(header::RETRY_AFTER_MS, HeaderValue::from(ms));
    headers.insert(RETRY_AFTER, HeaderValue::from(ms.div_ceil(1000)));
}

/// Puts a text into the headers; a text that no header can hold is left out.
pub(crate) fn put_text(headers: &mut HeaderMap, name: &http::HeaderName, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name, value);
    }
}
