//! Running requests in the local target, the one beside this daemon.

use std::rc::Rc;
use std::time::Duration;

use http::request::Parts;
use http::response::Parts as Head;
use http::{HeaderValue, Method, Request, StatusCode, Uri, header};
use model::{Refusal, RefusalReason};
use policy::{Fingerprint, Run, RunOutcome, SendKey, Work};
use smol_str::SmolStr;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;
use wire::Hop;

use crate::admission::Slot;
use crate::connection_pool::{Reply, SendError};
use crate::fate;
use crate::guards::{InFlightGuard, RunGuard, RunTimer};
use crate::header_names::HeaderNames;
use crate::headers::strip_hop_by_hop;
use crate::payload::Payload;
use crate::relay::{Phase, Relay};
use crate::stopping::RunEstimate;
use crate::suspects;
use crate::target_end;
use crate::target_notice::TargetNotice;

/// Retry delay of a request that the local target can't run or refuses, such as when it is leaving.
const LOCAL_REFUSAL_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Outcome of a forwarded request.
pub(crate) enum ForwardOutcome {
    /// The target answered the request.
    Answered {
        head: Head,
        body: Payload,
        /// Time that the run took in the local target; `None` if it is not known here.
        run_time: Option<Duration>,
    },
    /// The request did not run and never will.
    NotRun {
        refusal: Refusal,
        /// True if the target itself refused the request, rather than a daemon.
        at_target: bool,
    },
    /// The request may have run.
    Unknown { why: String },
}

impl ForwardOutcome {
    /// A refusal by a daemon.
    pub(crate) fn not_run(reason: RefusalReason, retry_after: Duration) -> Self {
        ForwardOutcome::from(Refusal {
            reason,
            retry_after,
        })
    }
}

/// A refusal by a daemon.
impl From<Refusal> for ForwardOutcome {
    fn from(refusal: Refusal) -> Self {
        ForwardOutcome::NotRun {
            refusal,
            at_target: false,
        }
    }
}

/// A request to be forwarded.
pub(crate) struct ForwardedRequest {
    pub(crate) head: Parts,
    pub(crate) body: Payload,
}

impl ForwardedRequest {
    /// Copies the request; `None` if its body is streamed.
    pub(crate) fn copy(&self) -> Option<ForwardedRequest> {
        let body = self.body.try_clone()?;
        let mut req = Request::new(());
        *req.method_mut() = self.head.method.clone();
        *req.uri_mut() = self.head.uri.clone();
        *req.headers_mut() = self.head.headers.clone();
        let (head, ()) = req.into_parts();
        Some(ForwardedRequest { head, body })
    }

    /// Identifies the request among those that its caller sends under other ids. Of a streamed body
    /// only the bytes read so far are known.
    pub(crate) fn fingerprint(&self, names: &HeaderNames) -> Fingerprint {
        let headers = &self.head.headers;
        let bytes = |name| headers.get(name).map_or(&b""[..], HeaderValue::as_bytes);
        let path = self.head.uri.path_and_query();
        let length = if matches!(self.body, Payload::Streamed(_)) {
            bytes(&header::CONTENT_LENGTH)
        } else {
            b""
        };
        Fingerprint::of(&[
            self.head.method.as_str().as_bytes(),
            &bytes(&header::HOST).to_ascii_lowercase(),
            path.map_or("", |path| path.as_str()).as_bytes(),
            bytes(&names.origin_service),
            length,
            self.body.known_bytes(),
        ])
    }

    /// Converts it to a request whose URI is in origin form.
    pub(crate) fn into_request(self) -> Request<Payload> {
        let mut req = Request::new(self.body);
        *req.method_mut() = self.head.method;
        *req.uri_mut() = origin_form(self.head.uri);
        *req.headers_mut() = self.head.headers;
        req
    }

    /// True for a HEAD request, whose answer has no body.
    fn is_head(&self) -> bool {
        self.head.method == Method::HEAD
    }
}

/// Runs a request in the local target once the gate admits it.
pub(crate) async fn run(
    relay: &Rc<Relay>,
    hop: Hop,
    mut forward: ForwardedRequest,
    fingerprint: Fingerprint,
) -> ForwardOutcome {
    let arrived = Instant::now();
    let deadline = arrived + hop.time_left;
    let is_closing = relay.phase.get() == Phase::Closing;
    if is_closing || ends_too_late(relay, &hop, deadline, arrived) {
        return ForwardOutcome::not_run(RefusalReason::Leaving, LOCAL_REFUSAL_RETRY_AFTER);
    }
    if let Some(outcome) = refuse_unserved(relay, &hop) {
        return outcome;
    }
    let work = to_work(relay, &hop, arrived, deadline);
    let admitted = tokio::select! {
        admitted = admit(relay, work, fingerprint, deadline) => admitted,
        () = relay.until_too_late(&hop.route, deadline, || RunEstimate::UpperBound) => Err(Refusal {
            reason: RefusalReason::Leaving,
            retry_after: LOCAL_REFUSAL_RETRY_AFTER,
        }),
    };
    let (mut alone, slot) = match admitted {
        Ok(admitted) => admitted,
        Err(refusal) => return refusal.into(),
    };
    // The daemon or the target may have started to leave while the request was queued.
    if ends_too_late(relay, &hop, deadline, Instant::now()) {
        return ForwardOutcome::not_run(RefusalReason::Leaving, LOCAL_REFUSAL_RETRY_AFTER);
    }
    if let Some(outcome) = refuse_unserved(relay, &hop) {
        return outcome;
    }
    if let Err(refusal) = suspects::check_turn(relay, fingerprint, &mut alone) {
        return refusal.into();
    }
    let left = deadline.saturating_duration_since(Instant::now());
    let Ok(left_ms @ 1..) = u64::try_from(left.as_millis()) else {
        return ForwardOutcome::not_run(RefusalReason::Deadline, LOCAL_REFUSAL_RETRY_AFTER);
    };
    if !fate::begin(relay, SendKey(hop.send_id), deadline) {
        return ForwardOutcome::not_run(RefusalReason::Cancelled, LOCAL_REFUSAL_RETRY_AFTER);
    }
    let headers = &mut forward.head.headers;
    headers.insert(relay.names.time_left_ms.clone(), HeaderValue::from(left_ms));
    if let Ok(id) = HeaderValue::from_str(hop.target.as_str()) {
        headers.insert(relay.names.expected_target.clone(), id);
    }
    relay.dependencies.borrow_mut().record_run(&hop.route);
    let run = RunGuard::new(
        relay,
        Run {
            operation: relay.admission.operation_key(&hop.route),
            class: hop.class,
            worth: hop.worth,
            shed_hash: hop.shed_hash,
            deadline: deadline.into_std(),
            repeated: hop.attempt > 0,
        },
        alone,
    );
    let outcome = send(relay, &hop.route, forward, fingerprint, deadline, slot, run).await;
    if matches!(outcome, ForwardOutcome::NotRun { .. }) {
        relay.fates.borrow_mut().refused(SendKey(hop.send_id));
    }
    outcome
}

/// Waits until a request may run, and for a slot of the target.
async fn admit(
    relay: &Rc<Relay>,
    work: Work,
    fingerprint: Fingerprint,
    deadline: Instant,
) -> Result<(Option<OwnedSemaphorePermit>, Slot), Refusal> {
    let alone = suspects::wait_for_turn(relay, fingerprint, deadline).await?;
    let slot = relay.admission.acquire(work).await?;
    Ok((alone, slot))
}

/// True if a run that starts now may not end before this daemon exits. Its sender knows other
/// targets.
fn ends_too_late(relay: &Relay, hop: &Hop, deadline: Instant, now: Instant) -> bool {
    let latest = relay.latest_start(&hop.route, deadline, RunEstimate::UpperBound);
    latest.is_some_and(|latest| now >= latest)
}

/// Refuses a request that the local target must not run: it is draining, is no longer listed, or is
/// another one than the sender chose.
fn refuse_unserved(relay: &Relay, hop: &Hop) -> Option<ForwardOutcome> {
    let view = relay.view.borrow();
    let reason = match &view.local_target {
        None if view.local_target_was_listed => RefusalReason::Leaving,
        Some(local) if local.id != hop.target => RefusalReason::NoInstance,
        Some(local) if local.state == routes::TargetState::Draining => RefusalReason::Leaving,
        _ => return None,
    };
    Some(ForwardOutcome::not_run(reason, LOCAL_REFUSAL_RETRY_AFTER))
}

fn to_work(relay: &Relay, hop: &Hop, arrived: Instant, deadline: Instant) -> Work {
    Work {
        class: hop.class,
        worth: hop.worth,
        shed_hash: hop.shed_hash,
        attempt: 0,
        arrived: arrived.into_std(),
        deadline: deadline.into_std(),
        operation: relay.admission.operation_key(&hop.route),
    }
}

/// Sends a request to the local target and reads its answer.
async fn send(
    relay: &Rc<Relay>,
    route: &SmolStr,
    forward: ForwardedRequest,
    fingerprint: Fingerprint,
    deadline: Instant,
    slot: Slot,
    run: RunGuard,
) -> ForwardOutcome {
    let id = forward.head.headers.get(&relay.names.request_id).cloned();
    let is_head = forward.is_head();
    let to = relay.cfg.target;
    let sent = Instant::now();
    let reply = match relay.connection_pool.send(to, forward.into_request()).await {
        Ok(reply) => reply,
        Err(error) => {
            slot.finish(RunOutcome::Failed);
            relay.connection_pool.close_idle_to(to);
            return match error {
                SendError::NotSent(_) => {
                    ForwardOutcome::not_run(RefusalReason::NoInstance, LOCAL_REFUSAL_RETRY_AFTER)
                }
                SendError::Broken(why) => {
                    target_end::record_broken_run(relay, fingerprint).await;
                    ForwardOutcome::Unknown { why }
                }
            };
        }
    };
    let Reply {
        mut head,
        body,
        connection,
    } = reply;
    // Without the id, even a refusal may belong to an earlier request of this connection.
    if head.headers.get(&relay.names.request_id) != id.as_ref() {
        slot.finish(RunOutcome::Failed);
        return ForwardOutcome::Unknown {
            why: format!(
                "the answer with status {} does not echo the request id",
                head.status
            ),
        };
    }
    // An answer of another target at this address says nothing about the local one.
    if head.status != StatusCode::MISDIRECTED_REQUEST {
        record_notice(relay, &head, sent);
    }
    let mut body = if is_head {
        Payload::empty()
    } else {
        match Payload::read_answer(body, &relay.answer_memory).await {
            Ok(body) => body,
            Err(error) => {
                slot.finish(RunOutcome::Failed);
                target_end::record_broken_run(relay, fingerprint).await;
                return ForwardOutcome::Unknown {
                    why: format!("the answer broke off: {error}"),
                };
            }
        }
    };
    if is_refusal(relay, &head) {
        return refused_by_target(relay, &head, slot, connection);
    }
    let now = Instant::now().into_std();
    let is_cleared = relay
        .crashes
        .borrow_mut()
        .record_whole_run(fingerprint, now);
    if is_cleared {
        relay.crash_exchange.notify();
    }
    let answer_headers = head.headers.clone();
    strip_hop_by_hop(&mut head.headers);
    if let Some(id) = &id {
        body.limit_time(id, deadline, Instant::now());
    }
    let timer = RunTimer::new(relay, route, sent);
    let run_time = if body.keep_until_end(Box::new(InFlightGuard::new(relay))) {
        body.keep_until_end(Box::new((connection, run, slot, timer)));
        None
    } else {
        slot.finish(RunOutcome::Answered);
        relay.connection_pool.put_back(connection, &answer_headers);
        Some(timer.record(Instant::now()))
    };
    ForwardOutcome::Answered {
        head,
        body,
        run_time,
    }
}

/// Records what the local target says about itself, and logs a change.
fn record_notice(relay: &Relay, head: &Head, sent: Instant) {
    let before = relay.target_notice.get();
    let notice = TargetNotice::read(&relay.names, &head.headers, before);
    relay.target_notice.set(notice);
    if relay.admission.record_answer(notice.limit_per_second, sent) {
        let per_second = notice.limit_per_second;
        let per_second = per_second.map_or("none".to_owned(), |limit| limit.to_string());
        log::info!(per_second = per_second.as_str(); "limit of the target changed");
    }
    if notice.is_leaving {
        let local = relay.view.borrow().local_target.clone();
        if let Some(local) = local {
            relay.mark_leaving(&local);
        }
    }
}

/// True if an answer states that the target did not run the request.
fn is_refusal(relay: &Relay, head: &Head) -> bool {
    head.headers.contains_key(&relay.names.not_run)
        || head.status == StatusCode::MISDIRECTED_REQUEST
}

fn refused_by_target(
    relay: &Relay,
    head: &Head,
    slot: Slot,
    connection: crate::connection_pool::PooledConnection,
) -> ForwardOutcome {
    let reason = if head.status == StatusCode::MISDIRECTED_REQUEST {
        RefusalReason::NoInstance
    } else {
        RefusalReason::Overloaded
    };
    slot.finish(RunOutcome::TargetRefused);
    relay.connection_pool.put_back(connection, &head.headers);
    ForwardOutcome::NotRun {
        refusal: Refusal {
            reason,
            retry_after: LOCAL_REFUSAL_RETRY_AFTER,
        },
        at_target: true,
    }
}

/// Reduces a URI to path and query, without scheme and authority.
fn origin_form(uri: Uri) -> Uri {
    if uri.scheme().is_none() && uri.authority().is_none() {
        return uri;
    }
    let mut parts = http::uri::Parts::default();
    parts.path_and_query = uri.into_parts().path_and_query;
    Uri::from_parts(parts).unwrap_or_default()
}
