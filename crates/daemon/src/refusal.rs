//! Who may say that a call with a ticket was not run.
//!
//! A ticket may have been sent before. Whoever did not issue it cannot know what became
//! of that send, so that a refusal of its own is about this send alone.

use http::{HeaderMap, StatusCode};
use model::{Outcome, RefusalReason};
use ticket::Ticket;
use wire::{header, parse};

use crate::listen::Side;
use crate::reply::{self, Answer, UnknownReason};
use crate::serve;

/// Marks an answer whose "not run" is about every send of the ticket.
#[derive(Clone, Copy, Debug)]
struct Definitive;

/// Marks a refusal as the issuer's own, or as one of a text that no issuer gave out.
pub(crate) fn mark_definitive(mut answer: Answer) -> Answer {
    answer.extensions_mut().insert(Definitive);
    answer
}

/// True if the request presents a ticket that may have been sent before.
///
/// Another daemon passes on what callers send, so it never says that a send is the first.
pub(crate) fn may_be_resend(side: Side, headers: &HeaderMap) -> bool {
    let is_ticket = |text: &str| text.parse::<Ticket>().is_ok();
    let mut tickets = headers.get_all(&header::TICKET).iter();
    let presented = tickets.any(|value| value.to_str().is_ok_and(is_ticket));
    let first = side == Side::Callers && matches!(parse::attempt(headers), Ok(Some(0)));
    presented && !first
}

/// Makes of a refusal without certainty what it is to whoever sent the ticket before.
pub(crate) fn qualify_for_resend(answer: Answer) -> Answer {
    let is_definitive = answer.extensions().get::<Definitive>().is_some();
    if is_definitive || serve::outcome(&answer) != Some(Outcome::NotRun) {
        return answer;
    }
    match serve::refusal_reason(&answer) {
        Some(RefusalReason::Invalid) => reply::invalid_resend(answer.status()),
        _ => reply::unknown(
            UnknownReason::Unreachable,
            Some(reply::RETRY_AFTER_UNREACHABLE),
        ),
    }
}

/// A ticket that is none, or is for another call.
pub(crate) fn invalid_ticket() -> Answer {
    let detail = "header berylhead-ticket: not a ticket for this operation and idempotency-key";
    mark_definitive(reply::invalid(StatusCode::BAD_REQUEST, detail))
}
