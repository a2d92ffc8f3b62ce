//! Calls that this daemon's target makes to other services.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::StatusCode;
use model::{Outcome, Refusal, RefusalReason};
use policy::RetryBudget;
use ticket::{BeginDecision, SendPermit, SendResult};
use wire::context::parse_target_request_id;
use wire::{header, parse};

use crate::call::{self, Call};
use crate::claim;
use crate::collect::{self, Collected};
use crate::execution::Execution;
use crate::forward::{Destination, Forwarder, TicketHeader};
use crate::inbound::{self, InboundRequest};
use crate::reply::{self, Answer, UnknownReason};
use crate::run;
use crate::serve;
use crate::state::DaemonState;

/// Handles a call from the target.
pub(crate) async fn serve(state: &Arc<DaemonState>, mut req: InboundRequest) -> Answer {
    let parent = match parent(state, &req) {
        Ok(parent) => parent,
        Err(answer) => return answer,
    };
    if let Err(answer) = req.ticket().and_then(claim::refuse_issue) {
        return answer;
    }
    let parent = match parent {
        Parent::Running(execution) => Some(execution),
        Parent::Ended => return execution_ended(&req),
        Parent::None if req.operation().repeatable => None,
        Parent::None => return missing_parent(),
    };
    let call = match child_call(&req, parent.as_deref()) {
        Ok(call) => call,
        Err(answer) => return answer,
    };
    let Some(parent) = parent else {
        let mut no_retries = RetryBudget::new(0);
        return forward(state, call, &mut req, &mut no_retries).await;
    };
    if req.operation().repeatable {
        return forward_with_loan(state, &parent, call, &mut req).await;
    }
    let (operation, key) = match claim::identify(&req) {
        Ok(identity) => identity,
        Err(answer) => return answer,
    };
    let begin = parent.ledger().begin(operation, key);
    match begin {
        BeginDecision::Send(permit) => {
            let entry = LedgerEntry {
                parent,
                permit: Some(permit),
            };
            forward_recorded(state, entry, call, &mut req).await
        }
        BeginDecision::Cached(cached) => run::cached_answer(&cached),
        BeginDecision::Running => reply::unknown(UnknownReason::Running, None),
        BeginDecision::AnswerGone => reply::unknown(UnknownReason::AnswerGone, None),
        BeginDecision::Unknown => reply::unknown(UnknownReason::Broken, None),
        BeginDecision::Full => reply::not_run(Refusal {
            reason: RefusalReason::Overloaded,
            retry_after: Duration::ZERO,
        }),
    }
}

/// The execution at the target that makes a call.
enum Parent {
    /// The call names an execution that is running.
    Running(Arc<Execution>),
    /// The call names an execution that is not running here any more.
    Ended,
    /// The call names no execution.
    None,
}

fn parent(state: &DaemonState, req: &InboundRequest) -> Result<Parent, Answer> {
    let text =
        parse::text(&req.headers, &header::REQUEST_ID).map_err(|e| inbound::invalid_header(&e))?;
    let Some((root, execution)) = text.and_then(parse_target_request_id) else {
        return Ok(Parent::None);
    };
    let running = state.executions.get(root, execution);
    Ok(running.map_or(Parent::Ended, Parent::Running))
}

/// Returns the answer to a call whose execution has ended.
///
/// The record of an execution's calls ends with it, so whether this call repeats one that
/// ran is not known any more.
fn execution_ended(req: &InboundRequest) -> Answer {
    if req.operation().repeatable {
        return reply::not_run(Refusal {
            reason: RefusalReason::Cancelled,
            retry_after: Duration::ZERO,
        });
    }
    reply::unknown(UnknownReason::ExecutionEnded, None)
}

/// Refuses a call that may not be repeated and names no execution: there is no record in
/// which a repeat would be found.
fn missing_parent() -> Answer {
    let detail =
        "missing header berylhead-request-id as received; the operation may not be repeated";
    reply::invalid(StatusCode::BAD_REQUEST, detail)
}

fn child_call(req: &InboundRequest, parent: Option<&Execution>) -> Result<Call, Answer> {
    let operation = req.operation();
    let now = Instant::now();
    let allowed = Duration::from_millis(u64::from(operation.deadline_ms));
    let asked = parse::time_left(&req.headers).map_err(|e| inbound::invalid_header(&e))?;
    let deadline = now + asked.unwrap_or(allowed).min(allowed);
    Ok(match parent {
        Some(parent) => Call {
            root: parent.root,
            class: parent.class,
            worth: parent.worth,
            attempt: parent.attempt,
            arrived: now,
            deadline: deadline.min(parent.deadline),
            retries: 0,
        },
        None => Call {
            root: call::new_request_id(),
            class: operation.class,
            worth: operation.worth,
            attempt: 0,
            arrived: now,
            deadline,
            retries: 0,
        },
    })
}

/// Forwards a call with retries lent from the parent's budget, and returns the unspent ones
/// to it.
async fn forward_with_loan(
    state: &Arc<DaemonState>,
    parent: &Execution,
    call: Call,
    req: &mut InboundRequest,
) -> Answer {
    let loan = parent.retries().lend();
    let mut budget = RetryBudget::new(loan.amount);
    let answer = forward(state, call, req, &mut budget).await;
    parent.retries().settle(loan, budget.left());
    answer
}

async fn forward(
    state: &Arc<DaemonState>,
    call: Call,
    req: &mut InboundRequest,
    budget: &mut RetryBudget,
) -> Answer {
    let ticket = if req.operation().repeatable {
        TicketHeader::PassThrough
    } else {
        TicketHeader::CallNumber
    };
    let forwarder = Forwarder {
        state,
        call,
        destination: Destination::Any,
        ticket,
    };
    forwarder.send(req, budget).await
}

/// An open entry of the parent's ledger; records an unknown result if it is dropped.
struct LedgerEntry {
    parent: Arc<Execution>,
    permit: Option<SendPermit>,
}

impl LedgerEntry {
    fn finish(&mut self, result: SendResult) {
        if let Some(permit) = self.permit.take() {
            self.parent.ledger().finish(permit, result);
        }
    }

    fn not_run(&mut self) {
        if let Some(permit) = self.permit.take() {
            self.parent.ledger().not_run(permit);
        }
    }
}

impl Drop for LedgerEntry {
    fn drop(&mut self) {
        self.finish(SendResult::Unknown);
    }
}

/// Sends a call that may not be repeated, and records its result in the ledger, so that a
/// repeat by the target gets the same answer.
async fn forward_recorded(
    state: &Arc<DaemonState>,
    mut entry: LedgerEntry,
    call: Call,
    req: &mut InboundRequest,
) -> Answer {
    let parent = Arc::clone(&entry.parent);
    let answer = forward_with_loan(state, &parent, call, req).await;
    match serve::outcome(&answer) {
        Some(Outcome::NotRun) => {
            entry.not_run();
            answer
        }
        Some(Outcome::Answered) => match collect::collect_answer(answer).await {
            Collected::Complete(cached) => {
                let cached = Arc::new(cached);
                entry.finish(SendResult::Answered(ticket::Answer::Cached(Arc::clone(
                    &cached,
                ))));
                run::cached_answer(&cached)
            }
            Collected::TooLong(answer) => {
                entry.finish(SendResult::Answered(ticket::Answer::Gone));
                answer
            }
            Collected::Aborted => reply::unknown(UnknownReason::Broken, None),
        },
        Some(Outcome::Unknown) | None => answer,
    }
}
