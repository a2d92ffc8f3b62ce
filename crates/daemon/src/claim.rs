//! Claims, by which a call that may not be repeated runs at most once.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use model::{Refusal, RefusalReason};
use ticket::{
    AdmitDecision, CallNumber, KeyHash, OperationHash, RedeemDecision, RunPermit, Ticket,
};
use wire::header;

use crate::inbound::InboundRequest;
use crate::refusal;
use crate::reply::{self, Answer, UnknownReason};
use crate::run;
use crate::state::DaemonState;

/// Value of the ticket header with which a caller only requests a ticket.
pub(crate) const ISSUE_REQUEST: &str = "issue";

/// Permission for a call to run, to be resolved by [`Claim::finish`] or [`Claim::refuse`].
///
/// A claim that is dropped unresolved abandons its ticket.
#[derive(Debug)]
pub(crate) struct Claim {
    kind: Kind,
}

#[derive(Debug)]
enum Kind {
    /// The call may be repeated and needs no permission.
    Repeatable,
    /// The call carries a number from another daemon that was not seen before. The number
    /// can't be used again whatever the outcome, so there is nothing to release.
    Numbered,
    /// The call carries a caller's ticket; the permit is taken when the claim is resolved.
    Ticket(Mutex<Option<RunPermit>>, Arc<DaemonState>),
}

/// Returns the claim of a call, or the answer if it may not run. To be called before the call
/// is offered to the admission gate.
pub(crate) fn claim(
    state: &Arc<DaemonState>,
    req: &InboundRequest,
    now: Instant,
) -> Result<Claim, Answer> {
    let ticket = req.ticket()?;
    if req.operation().repeatable {
        refuse_issue(ticket)?;
        return Ok(Claim {
            kind: Kind::Repeatable,
        });
    }
    let (operation, key) = identify(req)?;
    match ticket {
        None | Some(ISSUE_REQUEST) => Err(look_up_or_issue(state, operation, key, now)),
        Some(text) if text.starts_with("c1.") => admit_numbered(state, text),
        Some(text) => redeem_ticket(state, text, operation, key, now),
    }
}

/// Refuses a request for a ticket for a call that needs none. The call isn't run either, as
/// the caller did not ask for that.
pub(crate) fn refuse_issue(ticket: Option<&str>) -> Result<(), Answer> {
    if ticket != Some(ISSUE_REQUEST) {
        return Ok(());
    }
    let detail = "header berylhead-ticket: this call takes no ticket";
    Err(reply::invalid(StatusCode::BAD_REQUEST, detail))
}

/// Returns the operation and the idempotency key that a call which may not be repeated is
/// bound to.
pub(crate) fn identify(req: &InboundRequest) -> Result<(OperationHash, KeyHash), Answer> {
    if !is_allowed_method(&req.method) {
        let detail = "allowed for this operation: GET, POST, PUT, PATCH, DELETE";
        return Err(reply::invalid(StatusCode::METHOD_NOT_ALLOWED, detail));
    }
    // Different callers that send an empty key would share it.
    let Some(key) = req.idempotency_key()?.filter(|key| !key.is_empty()) else {
        let detail = "missing header idempotency-key; the operation may not be repeated";
        return Err(reply::invalid(StatusCode::BAD_REQUEST, detail));
    };
    let operation = OperationHash::of(req.service().name.as_str(), req.operation().name.as_str());
    Ok((operation, KeyHash::of(key)))
}

/// False for methods whose answers do not carry the result of a run, so that an answer could
/// not be cached for duplicates.
fn is_allowed_method(method: &Method) -> bool {
    [
        Method::GET,
        Method::POST,
        Method::PUT,
        Method::PATCH,
        Method::DELETE,
    ]
    .contains(method)
}

fn look_up_or_issue(
    state: &DaemonState,
    operation: OperationHash,
    key: KeyHash,
    now: Instant,
) -> Answer {
    let mut tickets = state.tickets();
    if let Some(decision) = tickets.lookup(operation, key) {
        drop(tickets);
        return decision_answer(decision);
    }
    if state.is_leaving() {
        return reply::not_run(Refusal {
            reason: RefusalReason::Leaving,
            retry_after: Duration::ZERO,
        });
    }
    let ticket = tickets.issue(operation, key, now);
    reply::ticket_required(&ticket.to_string())
}

fn admit_numbered(state: &DaemonState, text: &str) -> Result<Claim, Answer> {
    let call: CallNumber = text.parse().map_err(|_| refusal::invalid_ticket())?;
    match state.sources().admit(&call) {
        AdmitDecision::Run => Ok(Claim {
            kind: Kind::Numbered,
        }),
        AdmitDecision::Seen | AdmitDecision::BelowEdge => {
            Err(reply::unknown(UnknownReason::AnswerGone, None))
        }
        AdmitDecision::Full => Err(reply::not_run(Refusal {
            reason: RefusalReason::Overloaded,
            retry_after: reply::DEFAULT_RETRY_AFTER,
        })),
    }
}

fn redeem_ticket(
    state: &Arc<DaemonState>,
    text: &str,
    operation: OperationHash,
    key: KeyHash,
    now: Instant,
) -> Result<Claim, Answer> {
    let ticket: Ticket = text.parse().map_err(|_| refusal::invalid_ticket())?;
    let mut tickets = state.tickets();
    match tickets.redeem(&ticket, operation, key, now) {
        RedeemDecision::Run(permit) => Ok(Claim {
            kind: Kind::Ticket(Mutex::new(Some(permit)), Arc::clone(state)),
        }),
        decision => {
            let is_expired = matches!(decision, RedeemDecision::Expired);
            let mut answer = decision_answer(decision);
            if is_expired && !state.is_leaving() {
                let next = tickets.issue(operation, key, now);
                reply::put_text(answer.headers_mut(), &header::TICKET, &next.to_string());
            }
            Err(answer)
        }
    }
}

fn decision_answer(decision: RedeemDecision) -> Answer {
    match decision {
        RedeemDecision::Running | RedeemDecision::Run(_) => {
            reply::unknown(UnknownReason::Running, Some(reply::DEFAULT_RETRY_AFTER))
        }
        RedeemDecision::Cached(cached) => run::cached_answer(&cached),
        RedeemDecision::AnswerGone => reply::unknown(UnknownReason::AnswerGone, None),
        RedeemDecision::Superseded | RedeemDecision::BelowEdge => {
            reply::unknown(UnknownReason::Superseded, None)
        }
        // The call may have run at the instance that issued the ticket.
        RedeemDecision::Foreign => reply::unknown(UnknownReason::Unreachable, None),
        RedeemDecision::Expired => refusal::mark_definitive(reply::not_run(Refusal {
            reason: RefusalReason::TicketForeign,
            retry_after: Duration::ZERO,
        })),
        RedeemDecision::Invalid => refusal::invalid_ticket(),
    }
}

impl Claim {
    /// True if the call may be repeated.
    pub(crate) fn is_repeatable(&self) -> bool {
        matches!(self.kind, Kind::Repeatable)
    }

    /// Records that bytes of the call may be sent to the target from now on.
    pub(crate) fn start(&self, state: &DaemonState) {
        if let Kind::Ticket(permit, _) = &self.kind
            && let Some(permit) = lock(permit).as_ref()
        {
            state.tickets().start(permit);
        }
    }

    /// Records that the call ran or may have run, and the answer for duplicates.
    pub(crate) fn finish(&self, state: &DaemonState, answer: ticket::Answer) {
        if let Kind::Ticket(permit, _) = &self.kind
            && let Some(permit) = lock(permit).take()
        {
            state.tickets().finish(permit, answer, Instant::now());
        }
    }

    /// Returns the answer for a call that was not run; see [`Claim::refuse_with`].
    pub(crate) fn refuse(
        &self,
        state: &DaemonState,
        req: &InboundRequest,
        refusal: Refusal,
    ) -> Answer {
        self.refuse_with(state, req, reply::not_run(refusal))
    }

    /// Closes the ticket of a call that was not run, and adds a new ticket to the answer
    /// unless the instance is leaving.
    pub(crate) fn refuse_with(
        &self,
        state: &DaemonState,
        req: &InboundRequest,
        mut answer: Answer,
    ) -> Answer {
        if let Kind::Ticket(permit, _) = &self.kind
            && let Some(permit) = lock(permit).take()
        {
            answer = refusal::mark_definitive(answer);
            let mut tickets = state.tickets();
            tickets.not_run(permit);
            if let (false, Ok((operation, key))) = (state.is_leaving(), identify(req)) {
                let next = tickets.issue(operation, key, Instant::now());
                reply::put_text(answer.headers_mut(), &header::TICKET, &next.to_string());
            }
        }
        answer
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        if let Kind::Ticket(permit, state) = &self.kind
            && let Some(permit) = lock(permit).take()
        {
            // The answer of a cancelled call would reach nobody.
            let _ = state.tickets().abandon(permit, Instant::now());
        }
    }
}

/// Locks a mutex, even if it is poisoned: the panic that poisoned it was reported already.
pub(crate) fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}
