//! A call at the own target: at most once where it must be, admitted, run, answered.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use model::{Outcome, Refusal, RefusalReason};
use policy::{ChildRetries, Permit, RetryBudget, RunOutcome, Work};
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;
use wire::{ExecutionId, header};

use crate::admission::{OfferResult, StartDecision};
use crate::body::AnswerBody;
use crate::call::Call;
use crate::claim::{self, Claim};
use crate::collect::{self, Collected};
use crate::execution::Execution;
use crate::inbound::{self, Inbound};
use crate::reply::{self, Answer, UnknownReason};
use crate::state::DaemonState;
use crate::upstream::{self, Failure};

/// Time past its deadline for which a call that may not be repeated runs on, so that
/// its answer can be kept for whoever asks again.
pub(crate) const DEADLINE_GRACE: Duration = Duration::from_secs(5);
/// The own target gets no new work; another instance may be asked at once.
const LEAVING: Refusal = Refusal {
    reason: RefusalReason::Leaving,
    retry_after: Duration::ZERO,
};
/// The caller is gone, or its time is over.
const CANCELLED: Refusal = Refusal {
    reason: RefusalReason::Cancelled,
    retry_after: reply::ASK_AGAIN,
};

/// Runs a call at the own target.
pub(crate) async fn run(state: &Arc<DaemonState>, call: Call, req: Inbound) -> Answer {
    if state.settings.features.cancellation {
        return run_while_wanted(state, call, req).await;
    }
    let gone = req.connection.gone().clone();
    let state = Arc::clone(state);
    let (tx, rx) = oneshot::channel();
    tokio::task::spawn_local(async move {
        let _ = tx.send(run_while_wanted(&state, call, req).await);
    });
    answer_in_time(rx, &gone, call.deadline).await
}

async fn run_while_wanted(state: &Arc<DaemonState>, call: Call, req: Inbound) -> Answer {
    let claim = match claim::claim(state, &req, Instant::now()) {
        Ok(claim) => claim,
        Err(answer) => return answer,
    };
    if state.is_leaving() {
        return claim.refuse(state, &req, LEAVING);
    }
    // Work whose calls would be refused is not begun.
    if let Some(refusal) = state.predict_refusal(&call, &req) {
        return claim.refuse(state, &req, refusal);
    }
    match admit(state, &call, &req).await {
        Ok(permit) => start(state, call, req, claim, permit).await,
        Err(refusal) => claim.refuse(state, &req, refusal),
    }
}

/// Waits for a slot of the target.
async fn admit(state: &Arc<DaemonState>, call: &Call, req: &Inbound) -> Result<Permit, Refusal> {
    let features = state.settings.features;
    let now = Instant::now();
    let work = Work {
        class: call.class,
        worth: call.worth,
        shed_hash: call.root.shed_hash(),
        attempt: call.attempt,
        arrived: call.arrived,
        deadline: call.deadline,
        operation: req.operation,
    };
    let mut waiter = match state.admission.offer(features.work(work, now), now) {
        OfferResult::Decided(StartDecision::Start(permit)) => return Ok(permit),
        OfferResult::Decided(StartDecision::Refuse(refusal)) => return Err(refusal),
        OfferResult::Waiting(waiter) => waiter,
    };
    let decision = tokio::select! {
        biased;
        decision = waiter.decision() => decision,
        () = req.connection.gone().cancelled(), if features.cancellation => None,
        () = tokio::time::sleep_until(call.deadline.into()), if features.cancellation => None,
        // What waits can still run elsewhere.
        () = state.leaving.wait_until_leaving() => return Err(LEAVING),
    };
    match decision {
        Some(StartDecision::Start(permit)) => Ok(permit),
        Some(StartDecision::Refuse(refusal)) => Err(refusal),
        None => Err(CANCELLED),
    }
}

/// One run at the target; gives the slot back at its end.
struct Running {
    state: Arc<DaemonState>,
    permit: Permit,
    id: ExecutionId,
    execution: Arc<Execution>,
    end: RunOutcome,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.state.executions.remove(self.id);
        self.state
            .admission
            .finish(self.permit, self.end, Instant::now());
    }
}

async fn start(
    state: &Arc<DaemonState>,
    call: Call,
    mut req: Inbound,
    claim: Claim,
    permit: Permit,
) -> Answer {
    let execution = Arc::new(Execution {
        root: call.root,
        class: call.class,
        worth: call.worth,
        attempt: call.attempt,
        deadline: call.deadline,
        retries: ChildRetries::new(RetryBudget::new(call.retries), req.operation().calls.len())
            .into(),
        ledger: ticket::CallLedger::new(ticket::LedgerConfig::default()).into(),
    });
    let id = state.executions.insert(Arc::clone(&execution));
    let running = Running {
        state: Arc::clone(state),
        permit,
        id,
        execution,
        end: RunOutcome::Cancelled,
    };
    let Some(target_req) = target_request(state, &call, &mut req, id) else {
        return claim.refuse(
            state,
            &req,
            Refusal {
                reason: RefusalReason::Invalid,
                retry_after: Duration::ZERO,
            },
        );
    };
    claim.start(state);
    if claim.is_repeatable() && state.settings.features.cancellation {
        repeatable(call, &req, running, target_req).await
    } else {
        once(call, req, claim, running, target_req).await
    }
}

/// A call that may be repeated is cancelled with its caller and at its deadline.
async fn repeatable(
    call: Call,
    req: &Inbound,
    mut running: Running,
    target_req: Request<crate::body::CallBody>,
) -> Answer {
    let state = Arc::clone(&running.state);
    let sent = tokio::select! {
        biased;
        sent = state.target.send(target_req) => sent,
        () = req.connection.gone().cancelled() => return reply::unknown(UnknownReason::Broken, None),
        () = tokio::time::sleep_until(call.deadline.into()) => return reply::unknown(UnknownReason::Deadline, None),
    };
    match sent {
        Ok(resp) if means_not_run(req, &resp) => {
            running.end = RunOutcome::TargetRefused;
            target_refused(&resp)
        }
        Ok(resp) => relay(call.deadline, running, resp),
        Err(failure) => {
            running.end = RunOutcome::Failed;
            let mut answer = failed(failure);
            // The retries are known here, so that the caller's daemon may try elsewhere.
            let retries = retries_left(&running);
            answer.headers_mut().insert(header::RETRIES, retries);
            answer
        }
    }
}

/// A call that may not be repeated runs to its end without its caller, and its answer is kept.
async fn once(
    call: Call,
    req: Inbound,
    claim: Claim,
    running: Running,
    target_req: Request<crate::body::CallBody>,
) -> Answer {
    let (tx, rx) = oneshot::channel();
    let gone = req.connection.gone().clone();
    tokio::task::spawn_local(async move {
        let answer = run_once(call, &req, claim, running, target_req).await;
        let _ = tx.send(answer);
    });
    answer_in_time(rx, &gone, call.deadline).await
}

/// Waits for the answer of a call that runs on by itself.
async fn answer_in_time(
    rx: oneshot::Receiver<Answer>,
    gone: &CancellationToken,
    deadline: Instant,
) -> Answer {
    tokio::select! {
        biased;
        answer = rx => answer.unwrap_or_else(|_| reply::unknown(UnknownReason::Broken, Some(reply::ASK_AGAIN))),
        () = gone.cancelled() => reply::unknown(UnknownReason::Broken, Some(reply::ASK_AGAIN)),
        () = tokio::time::sleep_until(deadline.into()) => reply::unknown(UnknownReason::Deadline, Some(reply::ASK_AGAIN)),
    }
}

async fn run_once(
    call: Call,
    req: &Inbound,
    claim: Claim,
    mut running: Running,
    target_req: Request<crate::body::CallBody>,
) -> Answer {
    let state = Arc::clone(&running.state);
    let last = call.deadline + DEADLINE_GRACE;
    let Ok(sent) = tokio::time::timeout_at(last.into(), state.target.send(target_req)).await else {
        claim.finish(&state, ticket::Answer::Gone);
        return reply::unknown(UnknownReason::Deadline, None);
    };
    let resp = match sent {
        Ok(resp) if means_not_run(req, &resp) => {
            running.end = RunOutcome::TargetRefused;
            return claim.refuse_with(&state, req, target_refused(&resp));
        }
        Ok(resp) => resp,
        Err(failure) => {
            running.end = RunOutcome::Failed;
            if failure == Failure::NotSent {
                return claim.refuse_with(&state, req, failed(failure));
            }
            claim.finish(&state, ticket::Answer::Gone);
            return failed(failure);
        }
    };
    match tokio::time::timeout_at(
        last.into(),
        collect::collect_answer(relay(last, running, resp)),
    )
    .await
    {
        Ok(Collected::Whole(kept)) => {
            let kept = Arc::new(kept);
            claim.finish(&state, ticket::Answer::Cached(Arc::clone(&kept)));
            kept_answer(&kept)
        }
        Ok(Collected::Long(answer)) => {
            claim.finish(&state, ticket::Answer::Gone);
            answer
        }
        Ok(Collected::Broken) | Err(_) => {
            claim.finish(&state, ticket::Answer::Gone);
            reply::unknown(UnknownReason::Broken, None)
        }
    }
}

/// An answer that was kept, as a duplicate is given it.
pub(crate) fn kept_answer(kept: &ticket::CachedAnswer) -> Answer {
    let mut answer = Response::new(AnswerBody::whole(kept.body.clone()));
    *answer.status_mut() = kept.status;
    *answer.headers_mut() = kept.headers.clone();
    answered(answer)
}

/// Marks an answer as the target's own.
pub(crate) fn answered(mut answer: Answer) -> Answer {
    reply::put_text(
        answer.headers_mut(),
        &header::OUTCOME,
        &Outcome::Answered.to_string(),
    );
    answer
}

fn relay(deadline: Instant, running: Running, resp: Response<Incoming>) -> Answer {
    let (parts, incoming) = resp.into_parts();
    let length = inbound::content_length(&parts.headers).ok().flatten();
    let headers = inbound::end_to_end(&parts.headers);
    let retries = retries_left(&running);
    let on_end = Box::new(move |whole: bool| {
        let mut ended = running;
        ended.end = if whole {
            RunOutcome::Answered
        } else {
            RunOutcome::Failed
        };
    });
    let body = AnswerBody::relay(incoming, length, deadline, on_end);
    let mut answer = Response::new(body);
    *answer.status_mut() = parts.status;
    *answer.headers_mut() = headers;
    answer.headers_mut().insert(header::RETRIES, retries);
    answered(answer)
}

fn retries_left(running: &Running) -> HeaderValue {
    HeaderValue::from(running.execution.retries().take_remaining())
}

fn target_request(
    state: &DaemonState,
    call: &Call,
    req: &mut Inbound,
    id: ExecutionId,
) -> Option<Request<crate::body::CallBody>> {
    let mut target_req = Request::new(req.body.take()?);
    *target_req.method_mut() = req.method.clone();
    *target_req.uri_mut() = upstream::uri(state.settings.target, &req.target_path)?;
    *target_req.headers_mut() = req.end_to_end_headers();
    let headers = target_req.headers_mut();
    reply::put_text(
        headers,
        &header::REQUEST_ID,
        &wire::context::target_request_id(call.root, id),
    );
    let left = call.time_left(Instant::now()).as_millis();
    headers.insert(
        header::DEADLINE_MS,
        HeaderValue::from(u64::try_from(left).unwrap_or(u64::MAX)),
    );
    Some(target_req)
}

/// True if the target refused, and the questionnaire says that nothing ran then.
fn means_not_run(req: &Inbound, resp: &Response<Incoming>) -> bool {
    resp.status() == StatusCode::SERVICE_UNAVAILABLE && req.service().refusal_means_not_run
}

fn target_refused(resp: &Response<Incoming>) -> Answer {
    let retry_after = wire::parse::retry_after(resp.headers())
        .ok()
        .flatten()
        .unwrap_or(reply::ASK_AGAIN);
    reply::not_run(Refusal {
        reason: RefusalReason::Overloaded,
        retry_after,
    })
}

fn failed(failure: Failure) -> Answer {
    match failure {
        Failure::NotSent => reply::not_run(Refusal {
            reason: RefusalReason::NoInstance,
            retry_after: reply::ASK_AGAIN,
        }),
        Failure::Broken => reply::unknown(UnknownReason::Broken, None),
    }
}
