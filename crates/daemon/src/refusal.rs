//! Refusals of calls with a ticket that may have been sent before.
//!
//! Only the instance that issued a ticket knows the outcome of earlier sends. A refusal by
//! any other daemon covers the current send only, so the outcome of the ticket is unknown.

use http::{HeaderMap, StatusCode};
use model::{Outcome, RefusalReason};
use ticket::Ticket;
use wire::{header, parse};

use crate::listen::ListenerKind;
use crate::reply::{self, Answer, UnknownReason};
use crate::serve;

/// Marks a refusal that covers every send of the ticket.
#[derive(Clone, Copy, Debug)]
struct Definitive;

/// Marks a refusal as covering every send of the ticket, as it comes from the issuer or the
/// ticket was never issued.
pub(crate) fn mark_definitive(mut answer: Answer) -> Answer {
    answer.extensions_mut().insert(Definitive);
    answer
}

/// True if the request carries a ticket that may have been sent before.
///
/// Only a caller may declare a send to be the first: other daemons forward what callers sent.
pub(crate) fn may_be_resend(listener: ListenerKind, headers: &HeaderMap) -> bool {
    let is_ticket = |text: &str| text.parse::<Ticket>().is_ok();
    let mut tickets = headers.get_all(&header::TICKET).iter();
    let presented = tickets.any(|value| value.to_str().is_ok_and(is_ticket));
    let is_first =
        listener == ListenerKind::Callers && matches!(parse::attempt(headers), Ok(Some(0)));
    presented && !is_first
}

/// Replaces a refusal that covers only the current send with an unknown outcome, as an
/// earlier send may have run.
pub(crate) fn unknown_unless_definitive(answer: Answer) -> Answer {
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

/// Answer to a ticket that is malformed or bound to another call.
pub(crate) fn invalid_ticket() -> Answer {
    let detail = "header berylhead-ticket: not a ticket for this operation and idempotency-key";
    mark_definitive(reply::invalid(StatusCode::BAD_REQUEST, detail))
}
