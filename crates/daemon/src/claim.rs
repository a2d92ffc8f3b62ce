//! The right to run a call once, where it may not be repeated.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use model::{Refusal, RefusalReason};
use ticket::{
    AdmitDecision, CallNumber, KeyHash, OperationHash, RedeemDecision, RunPermit, Ticket,
};
use wire::header;

use crate::fate;
use crate::inbound::InboundRequest;
use crate::reply::{self, Answer, UnknownReason};
use crate::run;
use crate::shell::Shell;

/// What a caller sends as its ticket to be given one, and nothing else.
pub(crate) const ISSUE: &str = "issue";

/// What allows a call to run.
#[derive(Debug)]
pub(crate) struct Claim {
    kind: Kind,
}

#[derive(Debug)]
enum Kind {
    /// It may be repeated.
    Free,
    /// Another daemon numbered it, and the number was not seen before. The number is used
    /// up whatever becomes of the call, so that there is nothing to give back.
    Source,
    /// A caller's ticket; its slot is taken once.
    Ticket(Mutex<Option<RunPermit>>, Arc<Shell>),
}

/// Decides whether a call may run at all, before it is offered to the gate.
pub(crate) fn claim(
    shell: &Arc<Shell>,
    req: &InboundRequest,
    now: Instant,
) -> Result<Claim, Answer> {
    let ticket = req.ticket()?;
    if req.operation().repeatable {
        refuse_issue(ticket)?;
        return Ok(Claim { kind: Kind::Free });
    }
    let (operation, key) = identify(req)?;
    match ticket {
        None | Some(ISSUE) => Err(without_ticket(shell, operation, key, now)),
        Some(text) if text.starts_with("c1.") => numbered(shell, text),
        Some(text) => ticketed(shell, text, operation, key, now),
    }
}

/// Refuses to issue a ticket where none is needed; running the call is not what was asked.
pub(crate) fn refuse_issue(ticket: Option<&str>) -> Result<(), Answer> {
    if ticket != Some(ISSUE) {
        return Ok(());
    }
    let detail = "header berylhead-ticket: this call takes no ticket";
    Err(reply::invalid(StatusCode::BAD_REQUEST, detail))
}

/// What a call that may not be repeated is bound to.
pub(crate) fn identify(req: &InboundRequest) -> Result<(OperationHash, KeyHash), Answer> {
    if !runs_by(&req.method) {
        let detail = "allowed for this operation: GET, POST, PUT, PATCH, DELETE";
        return Err(reply::invalid(StatusCode::METHOD_NOT_ALLOWED, detail));
    }
    // An empty key would be the same for all callers who send none.
    let Some(key) = req.idempotency_key()?.filter(|key| !key.is_empty()) else {
        let detail = "missing header idempotency-key; the operation may not be repeated";
        return Err(reply::invalid(StatusCode::BAD_REQUEST, detail));
    };
    let operation = OperationHash::of(req.service().name.as_str(), req.operation().name.as_str());
    Ok((operation, KeyHash::of(key)))
}

/// False for methods whose answers say nothing of a run, so that none could be kept.
fn runs_by(method: &Method) -> bool {
    [
        Method::GET,
        Method::POST,
        Method::PUT,
        Method::PATCH,
        Method::DELETE,
    ]
    .contains(method)
}

fn without_ticket(shell: &Shell, operation: OperationHash, key: KeyHash, now: Instant) -> Answer {
    let mut tickets = shell.tickets();
    if let Some(fate) = tickets.lookup(operation, key) {
        drop(tickets);
        return fate_answer(fate);
    }
    if shell.is_leaving() {
        return reply::not_run(Refusal {
            reason: RefusalReason::Leaving,
            retry_after: Duration::ZERO,
        });
    }
    let ticket = tickets.issue(operation, key, now);
    reply::ticket_required(&ticket.to_string())
}

fn numbered(shell: &Shell, text: &str) -> Result<Claim, Answer> {
    let call: CallNumber = text.parse().map_err(|_| fate::not_a_ticket())?;
    match shell.sources().admit(&call) {
        AdmitDecision::Run => Ok(Claim { kind: Kind::Source }),
        AdmitDecision::Seen | AdmitDecision::BelowEdge => {
            Err(reply::unknown(UnknownReason::AnswerGone, None))
        }
        AdmitDecision::Full => Err(reply::not_run(Refusal {
            reason: RefusalReason::Overloaded,
            retry_after: reply::ASK_AGAIN,
        })),
    }
}

fn ticketed(
    shell: &Arc<Shell>,
    text: &str,
    operation: OperationHash,
    key: KeyHash,
    now: Instant,
) -> Result<Claim, Answer> {
    let ticket: Ticket = text.parse().map_err(|_| fate::not_a_ticket())?;
    let mut tickets = shell.tickets();
    match tickets.redeem(&ticket, operation, key, now) {
        RedeemDecision::Run(slot) => Ok(Claim {
            kind: Kind::Ticket(Mutex::new(Some(slot)), Arc::clone(shell)),
        }),
        fate => {
            let closed = matches!(fate, RedeemDecision::Expired);
            let mut answer = fate_answer(fate);
            if closed && !shell.is_leaving() {
                let next = tickets.issue(operation, key, now);
                reply::put_text(answer.headers_mut(), &header::TICKET, &next.to_string());
            }
            Err(answer)
        }
    }
}

fn fate_answer(fate: RedeemDecision) -> Answer {
    match fate {
        RedeemDecision::Running | RedeemDecision::Run(_) => {
            reply::unknown(UnknownReason::Running, Some(reply::ASK_AGAIN))
        }
        RedeemDecision::Cached(kept) => run::kept_answer(&kept),
        RedeemDecision::AnswerGone => reply::unknown(UnknownReason::AnswerGone, None),
        RedeemDecision::Superseded | RedeemDecision::BelowEdge => {
            reply::unknown(UnknownReason::Superseded, None)
        }
        // It may have run at the instance that issued the ticket.
        RedeemDecision::Foreign => reply::unknown(UnknownReason::Unreachable, None),
        RedeemDecision::Expired => fate::certain(reply::not_run(Refusal {
            reason: RefusalReason::TicketForeign,
            retry_after: Duration::ZERO,
        })),
        RedeemDecision::Invalid => fate::not_a_ticket(),
    }
}

impl Claim {
    /// True if the call may be repeated.
    pub(crate) fn is_free(&self) -> bool {
        matches!(self.kind, Kind::Free)
    }

    /// Notes that bytes may leave for the target from now on.
    pub(crate) fn start(&self, shell: &Shell) {
        if let Kind::Ticket(slot, _) = &self.kind
            && let Some(slot) = locked(slot).as_ref()
        {
            shell.tickets().start(slot);
        }
    }

    /// Records that the call ran, or may have run.
    pub(crate) fn finish(&self, shell: &Shell, answer: ticket::Answer) {
        if let Kind::Ticket(slot, _) = &self.kind
            && let Some(slot) = locked(slot).take()
        {
            shell.tickets().finish(slot, answer, Instant::now());
        }
    }

    /// Answers a call that was not run.
    pub(crate) fn refuse(&self, shell: &Shell, req: &InboundRequest, refusal: Refusal) -> Answer {
        self.refuse_with(shell, req, reply::not_run(refusal))
    }

    /// Closes the ticket of a call that was not run, and adds the next one to the answer.
    pub(crate) fn refuse_with(
        &self,
        shell: &Shell,
        req: &InboundRequest,
        mut answer: Answer,
    ) -> Answer {
        if let Kind::Ticket(slot, _) = &self.kind
            && let Some(slot) = locked(slot).take()
        {
            answer = fate::certain(answer);
            let mut tickets = shell.tickets();
            tickets.not_run(slot);
            if let (false, Ok((operation, key))) = (shell.is_leaving(), identify(req)) {
                let next = tickets.issue(operation, key, Instant::now());
                reply::put_text(answer.headers_mut(), &header::TICKET, &next.to_string());
            }
        }
        answer
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        if let Kind::Ticket(slot, shell) = &self.kind
            && let Some(slot) = locked(slot).take()
        {
            // The answer of a call that was dropped half-way reaches nobody.
            let _ = shell.tickets().abandon(slot, Instant::now());
        }
    }
}

/// Locks a shared aggregate; a poisoned lock means that a broken invariant was reported already.
pub(crate) fn locked<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}
