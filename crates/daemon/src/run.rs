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

use crate::body::AnswerBody;
use crate::call::Call;
use crate::claim::{self, Claim};
use crate::collect::{self, Collected};
use crate::door::{Entry, Verdict};
use crate::execution::Execution;
use crate::inbound::{self, InboundRequest};
use crate::reply::{self, Answer, UnknownReason};
use crate::shell::Shell;
use crate::upstream::{self, SendError};

/// Time past its deadline for which a call that may not be repeated runs on, so that
/// its answer can be kept for whoever asks again.
pub(crate) const KEEP_GRACE: Duration = Duration::from_secs(5);
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
pub(crate) async fn run(shell: &Arc<Shell>, call: Call, req: InboundRequest) -> Answer {
    if shell.settings.parts.cancellation {
        return run_while_wanted(shell, call, req).await;
    }
    let gone = req.connection.disconnected().clone();
    let shell = Arc::clone(shell);
    let (tx, rx) = oneshot::channel();
    tokio::task::spawn_local(async move {
        let _ = tx.send(run_while_wanted(&shell, call, req).await);
    });
    answer_in_time(rx, &gone, call.deadline).await
}

async fn run_while_wanted(shell: &Arc<Shell>, call: Call, req: InboundRequest) -> Answer {
    let claim = match claim::claim(shell, &req, Instant::now()) {
        Ok(claim) => claim,
        Err(answer) => return answer,
    };
    if shell.is_leaving() {
        return claim.refuse(shell, &req, LEAVING);
    }
    // Work whose calls would be refused is not begun.
    if let Some(refusal) = shell.forecast(&call, &req) {
        return claim.refuse(shell, &req, refusal);
    }
    match admit(shell, &call, &req).await {
        Ok(permit) => start(shell, call, req, claim, permit).await,
        Err(refusal) => claim.refuse(shell, &req, refusal),
    }
}

/// Waits for a slot of the target.
async fn admit(shell: &Arc<Shell>, call: &Call, req: &InboundRequest) -> Result<Permit, Refusal> {
    let parts = shell.settings.parts;
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
    let mut waiter = match shell.door.offer(parts.work(work, now), now) {
        Entry::Decided(Verdict::Start(permit)) => return Ok(permit),
        Entry::Decided(Verdict::Refuse(refusal)) => return Err(refusal),
        Entry::Waiting(waiter) => waiter,
    };
    let verdict = tokio::select! {
        biased;
        verdict = waiter.verdict() => verdict,
        () = req.connection.disconnected().cancelled(), if parts.cancellation => None,
        () = tokio::time::sleep_until(call.deadline.into()), if parts.cancellation => None,
        // What waits can still run elsewhere.
        () = shell.leaving.begun() => return Err(LEAVING),
    };
    match verdict {
        Some(Verdict::Start(permit)) => Ok(permit),
        Some(Verdict::Refuse(refusal)) => Err(refusal),
        None => Err(CANCELLED),
    }
}

/// One run at the target; gives the slot back at its end.
struct Running {
    shell: Arc<Shell>,
    permit: Permit,
    id: ExecutionId,
    execution: Arc<Execution>,
    end: RunOutcome,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.shell.executions.remove(self.id);
        self.shell
            .door
            .finish(self.permit, self.end, Instant::now());
    }
}

async fn start(
    shell: &Arc<Shell>,
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
    let id = shell.executions.insert(Arc::clone(&execution));
    let running = Running {
        shell: Arc::clone(shell),
        permit,
        id,
        execution,
        end: RunOutcome::Cancelled,
    };
    let Some(target_req) = target_request(shell, &call, &mut req, id) else {
        return claim.refuse(
            shell,
            &req,
            Refusal {
                reason: RefusalReason::Invalid,
                retry_after: Duration::ZERO,
            },
        );
    };
    claim.start(shell);
    if claim.is_free() && shell.settings.parts.cancellation {
        repeatable(call, &req, running, target_req).await
    } else {
        once(call, req, claim, running, target_req).await
    }
}

/// A call that may be repeated is cancelled with its caller and at its deadline.
async fn repeatable(
    call: Call,
    req: &InboundRequest,
    mut running: Running,
    target_req: Request<crate::body::CallBody>,
) -> Answer {
    let shell = Arc::clone(&running.shell);
    let sent = tokio::select! {
        biased;
        sent = shell.target.send(target_req) => sent,
        () = req.connection.disconnected().cancelled() => return reply::unknown(UnknownReason::Broken, None),
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
    req: InboundRequest,
    claim: Claim,
    running: Running,
    target_req: Request<crate::body::CallBody>,
) -> Answer {
    let (tx, rx) = oneshot::channel();
    let gone = req.connection.disconnected().clone();
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
    req: &InboundRequest,
    claim: Claim,
    mut running: Running,
    target_req: Request<crate::body::CallBody>,
) -> Answer {
    let shell = Arc::clone(&running.shell);
    let last = call.deadline + KEEP_GRACE;
    let Ok(sent) = tokio::time::timeout_at(last.into(), shell.target.send(target_req)).await else {
        claim.finish(&shell, ticket::Answer::Gone);
        return reply::unknown(UnknownReason::Deadline, None);
    };
    let resp = match sent {
        Ok(resp) if means_not_run(req, &resp) => {
            running.end = RunOutcome::TargetRefused;
            return claim.refuse_with(&shell, req, target_refused(&resp));
        }
        Ok(resp) => resp,
        Err(failure) => {
            running.end = RunOutcome::Failed;
            if failure == SendError::NotSent {
                return claim.refuse_with(&shell, req, failed(failure));
            }
            claim.finish(&shell, ticket::Answer::Gone);
            return failed(failure);
        }
    };
    match tokio::time::timeout_at(
        last.into(),
        collect::collect_answer(relay(last, running, resp)),
    )
    .await
    {
        Ok(Collected::Complete(kept)) => {
            let kept = Arc::new(kept);
            claim.finish(&shell, ticket::Answer::Cached(Arc::clone(&kept)));
            kept_answer(&kept)
        }
        Ok(Collected::TooLong(answer)) => {
            claim.finish(&shell, ticket::Answer::Gone);
            answer
        }
        Ok(Collected::Aborted) | Err(_) => {
            claim.finish(&shell, ticket::Answer::Gone);
            reply::unknown(UnknownReason::Broken, None)
        }
    }
}

/// An answer that was kept, as a duplicate is given it.
pub(crate) fn kept_answer(kept: &ticket::CachedAnswer) -> Answer {
    let mut answer = Response::new(AnswerBody::buffered(kept.body.clone()));
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
    let body = AnswerBody::streamed(incoming, length, deadline, on_end);
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
    shell: &Shell,
    call: &Call,
    req: &mut InboundRequest,
    id: ExecutionId,
) -> Option<Request<crate::body::CallBody>> {
    let mut target_req = Request::new(req.body.take()?);
    *target_req.method_mut() = req.method.clone();
    *target_req.uri_mut() = upstream::uri(shell.settings.target, &req.target_path)?;
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
fn means_not_run(req: &InboundRequest, resp: &Response<Incoming>) -> bool {
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

fn failed(failure: SendError) -> Answer {
    match failure {
        SendError::NotSent => reply::not_run(Refusal {
            reason: RefusalReason::NoInstance,
            retry_after: reply::ASK_AGAIN,
        }),
        SendError::MaybeSent => reply::unknown(UnknownReason::Broken, None),
    }
}
