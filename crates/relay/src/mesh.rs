//! Forwarding requests between daemons: the sending and the receiving side.

use std::net::{IpAddr, SocketAddr};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use model::{Outcome, Refusal, RefusalReason};
use policy::SendKey;
use routes::Target;
use smol_str::{SmolStr, ToSmolStr};
use tokio::time::Instant;
use wire::hop::{HOP, HOP_END, RUN_TIME};
use wire::{Hop, HopEnd};

use crate::connection_pool::{Reply, SendError};
use crate::crash_news;
use crate::fate::{self, SendFate};
use crate::guards::{InFlightGuard, RunTimer};
use crate::headers::strip_hop_by_hop;
use crate::local_target::{self, ForwardOutcome, ForwardedRequest};
use crate::payload::Payload;
use crate::piggyback::{self, TargetReport};
use crate::pull;
use crate::relay::Relay;
use crate::responses::status_only;

/// Retry delay if the daemon beside the target can't be reached.
const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_millis(200);
/// `Keep-Alive` header value that tells other daemons for how many seconds they may reuse an idle
/// connection.
const KEEP_ALIVE_VALUE: &str = "timeout=30";

/// How to handle an answer that is overdue or lost.
#[derive(Clone, Copy, Debug)]
pub(crate) enum LossPolicy {
    /// The request is idempotent and may be sent again: give up the send if the daemon does not
    /// reply to a probe.
    Resend {
        /// Time after which the answer is overdue and the daemon is probed.
        overdue: Duration,
    },
    /// The request must not run twice: after a broken connection, ask the daemon whether it ran.
    QueryFate {
        /// Deadline of the request.
        deadline: Instant,
    },
}

/// Sends a request to the daemon beside a target.
///
/// Returns the outcome and the report that came with the daemon's answer; the report is `None` if
/// there is no valid answer. Once `too_late` completes, the request is withdrawn if it has not started
/// to run.
pub(crate) async fn send(
    relay: &Rc<Relay>,
    target: &Target,
    hop: &Hop,
    policy: LossPolicy,
    mut forward: ForwardedRequest,
    too_late: impl Future<Output = ()>,
) -> (ForwardOutcome, Option<TargetReport>) {
    let Ok(value) = HeaderValue::from_str(&hop.to_string()) else {
        let outcome = ForwardOutcome::not_run(RefusalReason::Invalid, UNREACHABLE_RETRY_AFTER);
        return (outcome, None);
    };
    forward.head.headers.insert(HOP, value);
    piggyback::write_view_stamp(relay, &mut forward.head.headers);
    let to = relay.daemon_address(target);
    let life = match policy {
        LossPolicy::Resend { .. } => relay.known_daemons.life(to),
        LossPolicy::QueryFate { .. } => fate::learn_life(relay, to).await,
    };
    let send = SendKey(hop.send_id);
    let sending = async {
        let sending = relay.connection_pool.send(to, forward.into_request());
        match policy {
            LossPolicy::Resend { overdue } => fate::while_alive(relay, to, overdue, sending).await,
            LossPolicy::QueryFate { .. } => sending.await,
        }
    };
    let began = Instant::now();
    let mut sending = pin!(sending);
    let withdrawn = async {
        too_late.await;
        let deadline = began + hop.time_left;
        if !fate::withdraw(relay, to, life, send, deadline).await {
            std::future::pending::<()>().await;
        }
    };
    let result = tokio::select! {
        result = &mut sending => result,
        () = withdrawn => {
            let retry_after = relay.stop_retry_after(Instant::now());
            // The target itself is not leaving.
            return (ForwardOutcome::not_run(RefusalReason::Cancelled, retry_after), None);
        }
    };
    let reply = match result {
        Ok(reply) => reply,
        Err(SendError::NotSent(why)) => {
            log::debug!(target_id = target.id.as_str(), why:%; "request to daemon not sent");
            relay.connection_pool.close_idle_to(to);
            let outcome =
                ForwardOutcome::not_run(RefusalReason::NoInstance, UNREACHABLE_RETRY_AFTER);
            return (outcome, None);
        }
        Err(SendError::Broken(why)) => {
            relay.connection_pool.close_idle_to(to);
            if let LossPolicy::QueryFate { deadline } = policy
                && fate::query(relay, to, life, send, deadline).await == SendFate::NeverRuns
            {
                let outcome =
                    ForwardOutcome::not_run(RefusalReason::NoInstance, UNREACHABLE_RETRY_AFTER);
                return (outcome, None);
            }
            return (ForwardOutcome::Unknown { why }, None);
        }
    };
    read_reply(relay, to, hop, began, reply).await
}

/// Reads the answer of another daemon, and the report that comes with it.
async fn read_reply(
    relay: &Rc<Relay>,
    to: SocketAddr,
    hop: &Hop,
    began: Instant,
    reply: Reply,
) -> (ForwardOutcome, Option<TargetReport>) {
    let mut head = reply.head;
    piggyback::take_view_stamp(relay, to, &mut head.headers);
    crash_news::take_verdict(relay, &mut head.headers);
    let end = head
        .headers
        .remove(HOP_END)
        .and_then(|value| value.to_str().ok()?.parse::<HopEnd>().ok());
    let Some(end) = end else {
        let why = format!(
            "answer with status {} lacks a valid {HOP_END} header",
            head.status
        );
        return (ForwardOutcome::Unknown { why }, None);
    };
    relay
        .known_daemons
        .record_answer(to, end.life, Instant::now());
    let report = Some(TargetReport {
        load: end.load.as_ref().and_then(|load| load.parse().ok()),
        run_time: end.run_time,
        share: piggyback::take_target_share(&mut head.headers),
    });
    piggyback::take_answer_headers(relay, &hop.route, &mut head.headers);
    let run_time = take_run_time(&mut head.headers);
    let mut body = match Payload::read_answer(reply.body, &relay.answer_memory).await {
        Ok(body) => body,
        Err(error) => {
            let why = format!("answer between daemons incomplete: {error}");
            return (ForwardOutcome::Unknown { why }, report);
        }
    };
    let answer_headers = head.headers.clone();
    strip_hop_by_hop(&mut head.headers);
    let connection = reply.connection;
    if matches!(body, Payload::Buffered(_)) {
        relay.connection_pool.put_back(connection, &answer_headers);
    } else {
        body.keep_until_end(Box::new(connection));
    }
    if end.outcome == Outcome::Answered {
        let timer = RunTimer::new(relay, &hop.route, began);
        match run_time {
            Some(run_time) => timer.record_reported(run_time, Instant::now()),
            None => drop(body.keep_until_end(Box::new(timer))),
        }
    }
    let outcome = match end.outcome {
        Outcome::Answered => ForwardOutcome::Answered {
            head,
            body,
            run_time,
        },
        Outcome::NotRun => ForwardOutcome::NotRun {
            refusal: Refusal {
                reason: end.reason.unwrap_or(RefusalReason::Overloaded),
                retry_after: end.retry_after,
            },
            at_target: end.reached_target,
        },
        Outcome::Unknown => ForwardOutcome::Unknown {
            why: "the daemon beside the target doesn't know".to_owned(),
        },
    };
    (outcome, report)
}

/// Removes the length of a run from the headers of an answer; daemons of earlier versions report none.
fn take_run_time(headers: &mut HeaderMap) -> Option<Duration> {
    let text = headers.remove(RUN_TIME)?;
    let micros = text.to_str().ok()?.parse().ok()?;
    Some(Duration::from_micros(micros))
}

/// Serves a request of another daemon: runs a forwarded request in the local target, or answers a
/// fetch of a published state, a fate query or a probe.
pub(crate) async fn serve(
    relay: &Rc<Relay>,
    from: IpAddr,
    req: Request<Incoming>,
) -> Response<Payload> {
    let (mut head, body) = req.into_parts();
    let from = SocketAddr::new(from, relay.cfg.listen.mesh.port());
    piggyback::take_view_stamp(relay, from, &mut head.headers);
    if let Some(res) = pull::serve(relay, &head).or_else(|| fate::serve(relay, &head)) {
        return res;
    }
    if head.uri.path() == crash_news::PATH {
        return crash_news::serve(relay, &head, body).await;
    }
    let _in_flight = InFlightGuard::new(relay);
    let hop = head
        .headers
        .remove(HOP)
        .and_then(|value| value.to_str().ok()?.parse::<Hop>().ok());
    let Some(hop) = hop else {
        return status_only(StatusCode::BAD_REQUEST);
    };
    strip_hop_by_hop(&mut head.headers);
    let route = hop.route.clone();
    let id = head.headers.get(&relay.names.request_id).cloned();
    piggyback::record_origin(relay, &route, from.ip());
    let body = match Payload::read(body).await {
        Ok(body) => body,
        Err(error) => {
            log::debug!(error:%; "request body between daemons incomplete");
            let outcome = ForwardOutcome::not_run(RefusalReason::Cancelled, Duration::ZERO);
            return answer(relay, id.as_ref(), &route, outcome);
        }
    };
    let forward = ForwardedRequest { head, body };
    let fingerprint = forward.fingerprint(&relay.names);
    let outcome = local_target::run(relay, hop, forward, fingerprint).await;
    let mut res = answer(relay, id.as_ref(), &route, outcome);
    crash_news::write_verdict(relay, fingerprint, res.headers_mut());
    res
}

/// Builds the answer to another daemon, with the load of the local target.
fn answer(
    relay: &Relay,
    id: Option<&HeaderValue>,
    route: &SmolStr,
    outcome: ForwardOutcome,
) -> Response<Payload> {
    let report = relay.admission.report(Instant::now());
    let mut end = HopEnd {
        outcome: Outcome::Answered,
        reached_target: false,
        reason: None,
        retry_after: Duration::ZERO,
        run_time: report.run_time,
        pressure: report.pressure.into(),
        life: relay.life,
        load: Some(report.load.to_smolstr()),
    };
    let mut res = match outcome {
        ForwardOutcome::Answered {
            mut head,
            body,
            run_time,
        } => {
            // The target's answer may contain a header with this name.
            head.headers.remove(RUN_TIME);
            if let Some(Ok(run_time)) = run_time.map(|time| u64::try_from(time.as_micros())) {
                head.headers.insert(RUN_TIME, HeaderValue::from(run_time));
            }
            Response::from_parts(head, body)
        }
        ForwardOutcome::NotRun { refusal, at_target } => {
            end.outcome = Outcome::NotRun;
            end.reached_target = at_target;
            end.reason = Some(refusal.reason);
            end.retry_after = refusal.retry_after;
            status_only(StatusCode::SERVICE_UNAVAILABLE)
        }
        ForwardOutcome::Unknown { why } => {
            log::info!(
                id = id.and_then(|id| id.to_str().ok()).unwrap_or("unprintable"),
                route = route.as_str(),
                why:%;
                "outcome unknown beside the target"
            );
            end.outcome = Outcome::Unknown;
            status_only(StatusCode::BAD_GATEWAY)
        }
    };
    if let Ok(value) = HeaderValue::from_str(&end.to_string()) {
        res.headers_mut().insert(HOP_END, value);
    }
    piggyback::write_answer_headers(relay, route, report.share, res.headers_mut());
    piggyback::write_view_stamp(relay, res.headers_mut());
    res.headers_mut()
        .insert("keep-alive", HeaderValue::from_static(KEEP_ALIVE_VALUE));
    res
}
