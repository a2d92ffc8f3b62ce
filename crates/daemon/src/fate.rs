//! Who may say that a call with a ticket was not run.
//!
//! A ticket may have been sent before. Whoever did not issue it cannot know what became
//! of that send, so that a refusal of its own is about this send alone.

use http::{HeaderMap, StatusCode};
use model::{Outcome, RefusalReason};
use ticket::Ticket;
use wire::{header, parse};

use crate::listen::ListenerKind;
use crate::reply::{self, Answer, UnknownReason};
use crate::serve;

/// Marks an answer whose "not run" is about every send of the ticket.
#[derive(Clone, Copy, Debug)]
struct Certain;

/// Marks a refusal as the issuer's own, or as one of a text that no issuer gave out.
pub(crate) fn certain(mut answer: Answer) -> Answer {
    answer.extensions_mut().insert(Certain);
    answer
}

/// True if the request presents a ticket that may have been sent before.
///
/// Another daemon passes on what callers send, so it never says that a send is the first.
pub(crate) fn may_be_repeat(side: ListenerKind, headers: &HeaderMap) -> bool {
    let is_ticket = |text: &str| text.parse::<Ticket>().is_ok();
    let mut tickets = headers.get_all(&header::TICKET).iter();
    let presented = tickets.any(|value| value.to_str().is_ok_and(is_ticket));
    let first = side == ListenerKind::Callers && matches!(parse::attempt(headers), Ok(Some(0)));
    presented && !first
}

/// Makes of a refusal without certainty what it is to whoever sent the ticket before.
pub(crate) fn of_repeat(answer: Answer) -> Answer {
    let certain = answer.extensions().get::<Certain>().is_some();
    if certain || serve::outcome(&answer) != Some(Outcome::NotRun) {
        return answer;
    }
    match serve::refusal_reason(&answer) {
        Some(RefusalReason::Invalid) => reply::invalid_repeat(answer.status()),
        _ => reply::unknown(
            UnknownReason::Unreachable,
            Some(reply::RETRY_AFTER_UNREACHABLE),
        ),
    }
}

/// A ticket that is none, or is for another call.
pub(crate) fn not_a_ticket() -> Answer {
    let detail = "header berylhead-ticket: not a ticket for this operation and idempotency-key";
    certain(reply::invalid(StatusCode::BAD_REQUEST, detail))
}
