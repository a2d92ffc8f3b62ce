//! Runs of calls at this daemon's target: claim, admission, execution and answer.

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
use crate::inbound::{self, InboundRequest};
use crate::reply::{self, Answer, UnknownReason};
use crate::state::DaemonState;
use crate::upstream::{self, SendError};

/// Time past its deadline for which a call that may not be repeated continues to run, so
/// that its answer can be cached for duplicates.
pub(crate) const DEADLINE_GRACE: Duration = Duration::from_secs(5);
/// Refusal while this instance is leaving; another instance may be tried at once.
pub(crate) const LEAVING: Refusal = Refusal {
    reason: RefusalReason::Leaving,
    retry_after: Duration::ZERO,
};
/// Refusal after the caller disconnected or its deadline passed.
const CANCELLED: Refusal = Refusal {
    reason: RefusalReason::Cancelled,
    retry_after: reply::DEFAULT_RETRY_AFTER,
};

/// Runs a call at this daemon's target.
///
/// With [`cancellation`](crate::Features::cancellation) disabled, the run continues after its
/// caller disconnects or its deadline passes.
pub(crate) async fn run(state: &Arc<DaemonState>, call: Call, req: InboundRequest) -> Answer {
    if state.settings.features.cancellation {
        return claim_and_run(state, call, req).await;
    }
    let disconnected = req.connection.disconnected().clone();
    let state = Arc::clone(state);
    let (tx, rx) = oneshot::channel();
    tokio::task::spawn_local(async move {
        let _ = tx.send(claim_and_run(&state, call, req).await);
    });
    answer_before_deadline(rx, &disconnected, call.deadline).await
}

async fn claim_and_run(state: &Arc<DaemonState>, call: Call, req: InboundRequest) -> Answer {
    let claim = match claim::claim(state, &req, Instant::now()) {
        Ok(claim) => claim,
        Err(answer) => return answer,
    };
    if state.is_leaving() {
        return claim.refuse(state, &req, LEAVING);
    }
    // Work is not started if a callee would probably refuse one of its calls.
    if let Some(refusal) = state.predict_refusal(&call, &req) {
        return claim.refuse(state, &req, refusal);
    }
    match admit(state, &call, &req).await {
        Ok(permit) => start(state, call, req, claim, permit).await,
        Err(refusal) => claim.refuse(state, &req, refusal),
    }
}

/// Waits until the admission gate starts or refuses the call.
async fn admit(
    state: &Arc<DaemonState>,
    call: &Call,
    req: &InboundRequest,
) -> Result<Permit, Refusal> {
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
    let mut waiter = match state.admission.offer(features.adjust_work(work, now), now) {
        OfferResult::Decided(StartDecision::Start(permit)) => return Ok(permit),
        OfferResult::Decided(StartDecision::Refuse(refusal)) => return Err(refusal),
        OfferResult::Waiting(waiter) => waiter,
    };
    let decision = tokio::select! {
        biased;
        decision = waiter.decision() => decision,
        () = req.connection.disconnected().cancelled(), if features.cancellation => None,
        () = tokio::time::sleep_until(call.deadline.into()), if features.cancellation => None,
        // A waiting call has not started and can still run at another instance.
        () = state.leaving.wait_until_leaving() => return Err(LEAVING),
    };
    match decision {
        Some(StartDecision::Start(permit)) => Ok(permit),
        Some(StartDecision::Refuse(refusal)) => Err(refusal),
        None => Err(CANCELLED),
    }
}

/// One run at the target; returns its slot when dropped.
struct RunGuard {
    state: Arc<DaemonState>,
    permit: Permit,
    id: ExecutionId,
    execution: Arc<Execution>,
    outcome: RunOutcome,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.state.executions.remove(self.id);
        self.state
            .admission
            .finish(self.permit, self.outcome, Instant::now());
    }
}

async fn start(
    state: &Arc<DaemonState>,
    call: Call,
    mut req: InboundRequest,
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
    let running = RunGuard {
        state: Arc::clone(state),
        permit,
        id,
        execution,
        outcome: RunOutcome::Cancelled,
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
        run_cancellable(call, &req, running, target_req).await
    } else {
        run_detached(call, req, claim, running, target_req).await
    }
}

/// Runs a call that may be repeated. It is cancelled when its caller disconnects and at its
/// deadline.
async fn run_cancellable(
    call: Call,
    req: &InboundRequest,
    mut running: RunGuard,
    target_req: Request<crate::body::CallBody>,
) -> Answer {
    let state = Arc::clone(&running.state);
    let sent = tokio::select! {
        biased;
        sent = state.target.send(target_req) => sent,
        () = req.connection.disconnected().cancelled() => return reply::unknown(UnknownReason::Broken, None),
        () = tokio::time::sleep_until(call.deadline.into()) => return reply::unknown(UnknownReason::Deadline, None),
    };
    match sent {
        Ok(resp) if means_not_run(req, &resp) => {
            running.outcome = RunOutcome::TargetRefused;
            target_refusal_answer(&resp)
        }
        Ok(resp) => relay(call.deadline, running, resp),
        Err(failure) => {
            running.outcome = RunOutcome::Failed;
            let mut answer = failure_answer(failure);
            // The remaining retries are known, and with them the caller's daemon can try another
            // instance.
            let retries = take_remaining_retries(&running);
            answer.headers_mut().insert(header::RETRIES, retries);
            answer
        }
    }
}

/// Runs a call that may not be repeated. It continues after its caller disconnects, and its
/// answer is cached.
async fn run_detached(
    call: Call,
    req: InboundRequest,
    claim: Claim,
    running: RunGuard,
    target_req: Request<crate::body::CallBody>,
) -> Answer {
    let (tx, rx) = oneshot::channel();
    let disconnected = req.connection.disconnected().clone();
    tokio::task::spawn_local(async move {
        let answer = run_and_cache(call, &req, claim, running, target_req).await;
        let _ = tx.send(answer);
    });
    answer_before_deadline(rx, &disconnected, call.deadline).await
}

/// Waits for the answer of a call in another task, until the caller disconnects or the
/// deadline passes. The task continues to run.
async fn answer_before_deadline(
    rx: oneshot::Receiver<Answer>,
    disconnected: &CancellationToken,
    deadline: Instant,
) -> Answer {
    tokio::select! {
        biased;
        answer = rx => answer.unwrap_or_else(|_| reply::unknown(UnknownReason::Broken, Some(reply::DEFAULT_RETRY_AFTER))),
        () = disconnected.cancelled() => reply::unknown(UnknownReason::Broken, Some(reply::DEFAULT_RETRY_AFTER)),
        () = tokio::time::sleep_until(deadline.into()) => reply::unknown(UnknownReason::Deadline, Some(reply::DEFAULT_RETRY_AFTER)),
    }
}

async fn run_and_cache(
    call: Call,
    req: &InboundRequest,
    claim: Claim,
    mut running: RunGuard,
    target_req: Request<crate::body::CallBody>,
) -> Answer {
    let state = Arc::clone(&running.state);
    let end = call.deadline + DEADLINE_GRACE;
    let Ok(sent) = tokio::time::timeout_at(end.into(), state.target.send(target_req)).await else {
        claim.finish(&state, ticket::Answer::Gone);
        return reply::unknown(UnknownReason::Deadline, None);
    };
    let resp = match sent {
        Ok(resp) if means_not_run(req, &resp) => {
            running.outcome = RunOutcome::TargetRefused;
            return claim.refuse_with(&state, req, target_refusal_answer(&resp));
        }
        Ok(resp) => resp,
        Err(failure) => {
            running.outcome = RunOutcome::Failed;
            if failure == SendError::NotSent {
                return claim.refuse_with(&state, req, failure_answer(failure));
            }
            claim.finish(&state, ticket::Answer::Gone);
            return failure_answer(failure);
        }
    };
    match tokio::time::timeout_at(
        end.into(),
        collect::collect_answer(relay(end, running, resp)),
    )
    .await
    {
        Ok(Collected::Complete(cached)) => {
            let cached = Arc::new(cached);
            claim.finish(&state, ticket::Answer::Cached(Arc::clone(&cached)));
            cached_answer(&cached)
        }
        Ok(Collected::TooLong(answer)) => {
            claim.finish(&state, ticket::Answer::Gone);
            answer
        }
        Ok(Collected::Aborted) | Err(_) => {
            claim.finish(&state, ticket::Answer::Gone);
            reply::unknown(UnknownReason::Broken, None)
        }
    }
}

/// Returns a cached answer as it is sent to a duplicate.
pub(crate) fn cached_answer(cached: &ticket::CachedAnswer) -> Answer {
    let mut answer = Response::new(AnswerBody::buffered(cached.body.clone()));
    *answer.status_mut() = cached.status;
    *answer.headers_mut() = cached.headers.clone();
    mark_answered(answer)
}

/// Sets the outcome header of an answer from the target.
pub(crate) fn mark_answered(mut answer: Answer) -> Answer {
    reply::put_text(
        answer.headers_mut(),
        &header::OUTCOME,
        &Outcome::Answered.to_string(),
    );
    answer
}

fn relay(deadline: Instant, running: RunGuard, resp: Response<Incoming>) -> Answer {
    let (parts, incoming) = resp.into_parts();
    let length = inbound::content_length(&parts.headers).ok().flatten();
    let headers = inbound::end_to_end(&parts.headers);
    let retries = take_remaining_retries(&running);
    let on_end = Box::new(move |complete: bool| {
        let mut ended = running;
        ended.outcome = if complete {
            RunOutcome::Answered
        } else {
            RunOutcome::Failed
        };
    });
    let body = AnswerBody::streamed(incoming, length, deadline, on_end);
    let mut answer = Response::new(body);
    *answer.status_mut() = parts.status;
    *answer.headers_mut() = headers;
    answer.headers_mut().insert(header::RETRIES, retries);
    mark_answered(answer)
}

fn take_remaining_retries(running: &RunGuard) -> HeaderValue {
    HeaderValue::from(running.execution.retries().take_remaining())
}

fn target_request(
    state: &DaemonState,
    call: &Call,
    req: &mut InboundRequest,
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

/// True if the target refused, and its service is configured such that a refusal means that
/// nothing ran.
fn means_not_run(req: &InboundRequest, resp: &Response<Incoming>) -> bool {
    resp.status() == StatusCode::SERVICE_UNAVAILABLE && req.service().refusal_means_not_run
}

fn target_refusal_answer(resp: &Response<Incoming>) -> Answer {
    let retry_after = wire::parse::retry_after(resp.headers())
        .ok()
        .flatten()
        .unwrap_or(reply::DEFAULT_RETRY_AFTER);
    reply::not_run(Refusal {
        reason: RefusalReason::Overloaded,
        retry_after,
    })
}

fn failure_answer(failure: SendError) -> Answer {
    match failure {
        SendError::NotSent => reply::not_run(Refusal {
            reason: RefusalReason::NoInstance,
            retry_after: reply::DEFAULT_RETRY_AFTER,
        }),
        SendError::MaybeSent => reply::unknown(UnknownReason::Broken, None),
    }
}
