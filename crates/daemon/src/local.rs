//! Calls that the own target makes to other services.

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
use crate::forward::{Destination, Forward, TicketUse};
use crate::inbound::{self, InboundRequest};
use crate::reply::{self, Answer, UnknownReason};
use crate::run;
use crate::serve;
use crate::shell::Shell;

/// Answers the own target.
pub(crate) async fn serve(shell: &Arc<Shell>, mut req: InboundRequest) -> Answer {
    let parent = match parent(shell, &req) {
        Ok(parent) => parent,
        Err(answer) => return answer,
    };
    if let Err(answer) = req.ticket().and_then(claim::refuse_issue) {
        return answer;
    }
    let parent = match parent {
        Parent::Running(execution) => Some(execution),
        Parent::Ended => return of_ended(&req),
        Parent::None if req.operation().repeatable => None,
        Parent::None => return without_parent(),
    };
    let call = match child_call(&req, parent.as_deref()) {
        Ok(call) => call,
        Err(answer) => return answer,
    };
    let Some(parent) = parent else {
        let mut none = RetryBudget::new(0);
        return forward(shell, call, &mut req, &mut none).await;
    };
    if req.operation().repeatable {
        return with_loan(shell, &parent, call, &mut req).await;
    }
    let (operation, key) = match claim::identify(&req) {
        Ok(identity) => identity,
        Err(answer) => return answer,
    };
    let begin = parent.ledger().begin(operation, key);
    match begin {
        BeginDecision::Send(slot) => {
            let open = OpenEntry {
                parent,
                slot: Some(slot),
            };
            recorded(shell, open, call, &mut req).await
        }
        BeginDecision::Cached(kept) => run::kept_answer(&kept),
        BeginDecision::Running => reply::unknown(UnknownReason::Running, None),
        BeginDecision::AnswerGone => reply::unknown(UnknownReason::AnswerGone, None),
        BeginDecision::Unknown => reply::unknown(UnknownReason::Broken, None),
        BeginDecision::Full => reply::not_run(Refusal {
            reason: RefusalReason::Overloaded,
            retry_after: Duration::ZERO,
        }),
    }
}

/// The execution of the own target that makes a call.
enum Parent {
    /// It runs.
    Running(Arc<Execution>),
    /// It is named, and does not run here any more.
    Ended,
    /// None is named.
    None,
}

fn parent(shell: &Shell, req: &InboundRequest) -> Result<Parent, Answer> {
    let text =
        parse::text(&req.headers, &header::REQUEST_ID).map_err(|e| inbound::invalid_header(&e))?;
    let Some((root, execution)) = text.and_then(parse_target_request_id) else {
        return Ok(Parent::None);
    };
    let running = shell.executions.get(root, execution);
    Ok(running.map_or(Parent::Ended, Parent::Running))
}

/// The record of the calls of an execution ends with it: whether this call is a repeat
/// of one that ran cannot be told any more.
fn of_ended(req: &InboundRequest) -> Answer {
    if req.operation().repeatable {
        return reply::not_run(Refusal {
            reason: RefusalReason::Cancelled,
            retry_after: Duration::ZERO,
        });
    }
    reply::unknown(UnknownReason::ExecutionEnded, None)
}

/// Without an execution there is no record that would find a repeat.
fn without_parent() -> Answer {
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

async fn with_loan(
    shell: &Arc<Shell>,
    parent: &Execution,
    call: Call,
    req: &mut InboundRequest,
) -> Answer {
    let loan = parent.retries().lend();
    let mut budget = RetryBudget::new(loan.amount);
    let answer = forward(shell, call, req, &mut budget).await;
    parent.retries().settle(loan, budget.left());
    answer
}

async fn forward(
    shell: &Arc<Shell>,
    call: Call,
    req: &mut InboundRequest,
    budget: &mut RetryBudget,
) -> Answer {
    let ticket = if req.operation().repeatable {
        TicketUse::Passed
    } else {
        TicketUse::Numbered
    };
    let forward = Forward {
        shell,
        call,
        destination: Destination::Any,
        ticket,
    };
    forward.send(req, budget).await
}

/// An entry of the parent's ledger; dropped without an end it counts as unknown.
struct OpenEntry {
    parent: Arc<Execution>,
    slot: Option<SendPermit>,
}

impl OpenEntry {
    fn finish(&mut self, end: SendResult) {
        if let Some(slot) = self.slot.take() {
            self.parent.ledger().finish(slot, end);
        }
    }

    fn not_run(&mut self) {
        if let Some(slot) = self.slot.take() {
            self.parent.ledger().not_run(slot);
        }
    }
}

impl Drop for OpenEntry {
    fn drop(&mut self) {
        self.finish(SendResult::Unknown);
    }
}

/// Sends a call that may not be repeated, and keeps its fate for the target's own repeats.
async fn recorded(
    shell: &Arc<Shell>,
    mut open: OpenEntry,
    call: Call,
    req: &mut InboundRequest,
) -> Answer {
    let parent = Arc::clone(&open.parent);
    let answer = with_loan(shell, &parent, call, req).await;
    match serve::outcome(&answer) {
        Some(Outcome::NotRun) => {
            open.not_run();
            answer
        }
        Some(Outcome::Answered) => match collect::collect_answer(answer).await {
            Collected::Complete(kept) => {
                let kept = Arc::new(kept);
                open.finish(SendResult::Answered(ticket::Answer::Cached(Arc::clone(
                    &kept,
                ))));
                run::kept_answer(&kept)
            }
            Collected::TooLong(answer) => {
                open.finish(SendResult::Answered(ticket::Answer::Gone));
                answer
            }
            Collected::Aborted => reply::unknown(UnknownReason::Broken, None),
        },
        Some(Outcome::Unknown) | None => answer,
    }
}
