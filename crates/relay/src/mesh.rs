//! Requests between daemons.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use model::{Outcome, Refusal, RefusalReason};
use policy::SendKey;
use routes::Target;
use smol_str::{SmolStr, ToSmolStr};
use tokio::time::Instant;
use wire::hop::{HOP, HOP_END};
use wire::{Hop, HopEnd};

use crate::beside::{self, Ended, Forward};
use crate::connection_pool::SendError;
use crate::fate;
use crate::guards::InFlight;
use crate::headers::strip_hop_by_hop;
use crate::payload::Payload;
use crate::pull;
use crate::relay::Relay;
use crate::responses::status_only;
use crate::word::{self, Word};

/// Time after which to ask again a daemon that can't be reached.
const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Time for which daemons keep idle connections between them.
const IDLE_PROMISE: &str = "timeout=30";

/// What to do about an answer that is overdue or lost.
#[derive(Clone, Copy, Debug)]
pub(crate) enum IfLost {
    /// Nothing is lost by another run, so silence is enough to give up.
    SendAgain {
        /// Time after which the answer is overdue.
        overdue: Duration,
    },
    /// Another run is allowed only if there was none.
    AskFate {
        /// End of its use.
        deadline: Instant,
    },
}

/// Sends a request to the daemon beside a target; the load there comes with the answer.
pub(crate) async fn send(
    relay: &Rc<Relay>,
    target: &Target,
    hop: &Hop,
    lost: IfLost,
    mut forward: Forward,
) -> (Ended, Option<Word>) {
    let Ok(value) = HeaderValue::from_str(&hop.to_string()) else {
        let ended = Ended::not_run(RefusalReason::Invalid, UNREACHABLE_RETRY_AFTER);
        return (ended, None);
    };
    forward.head.headers.insert(HOP, value);
    word::tell_view(relay, &mut forward.head.headers);
    let to = relay.daemon_of(target);
    let life = relay.lives.of(to);
    let sending = relay.connection_pool.send(to, forward.into_request());
    let result = match lost {
        IfLost::SendAgain { overdue } => fate::while_alive(relay, to, overdue, sending).await,
        IfLost::AskFate { .. } => sending.await,
    };
    let reply = match result {
        Ok(reply) => reply,
        Err(SendError::NotSent(why)) => {
            log::debug!(target_id = target.id.as_str(), why:%; "daemon not reached");
            relay.connection_pool.close_idle_to(to);
            let ended = Ended::not_run(RefusalReason::NoInstance, UNREACHABLE_RETRY_AFTER);
            return (ended, None);
        }
        Err(SendError::Broken(why)) => {
            relay.connection_pool.close_idle_to(to);
            let send = SendKey(hop.send_id);
            if let IfLost::AskFate { deadline } = lost
                && fate::never_runs(relay, to, life, send, deadline).await
            {
                let ended = Ended::not_run(RefusalReason::NoInstance, UNREACHABLE_RETRY_AFTER);
                return (ended, None);
            }
            return (Ended::Unknown { why }, None);
        }
    };
    let mut head = reply.head;
    word::hear_view(relay, to, &mut head.headers);
    let end = head
        .headers
        .remove(HOP_END)
        .and_then(|value| value.to_str().ok()?.parse::<HopEnd>().ok());
    let Some(end) = end else {
        let why = format!("answer {} without its end", head.status);
        return (Ended::Unknown { why }, None);
    };
    relay.lives.told(to, end.life, Instant::now());
    let word = Some(Word {
        load: end.load.as_ref().and_then(|load| load.parse().ok()),
        run_time: end.run_time,
        pressure: end.pressure.into(),
    });
    word::hear(relay, &hop.route, &mut head.headers);
    let mut body = match Payload::read(reply.body).await {
        Ok(body) => body,
        Err(error) => {
            let why = format!("the answer broke off between daemons: {error}");
            return (Ended::Unknown { why }, word);
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
    let ended = match end.outcome {
        Outcome::Answered => Ended::Answered { head, body },
        Outcome::NotRun => Ended::NotRun {
            refusal: Refusal {
                reason: end.reason.unwrap_or(RefusalReason::Overloaded),
                retry_after: end.retry_after,
            },
            at_target: end.reached_target,
        },
        Outcome::Unknown => Ended::Unknown {
            why: "the daemon beside the target doesn't know".to_owned(),
        },
    };
    (ended, word)
}

/// Runs a request of another daemon in the own target.
pub(crate) async fn serve(
    relay: &Rc<Relay>,
    from: IpAddr,
    req: Request<Incoming>,
) -> Response<Payload> {
    let (mut head, body) = req.into_parts();
    let from = SocketAddr::new(from, relay.cfg.listen.mesh.port());
    word::hear_view(relay, from, &mut head.headers);
    if let Some(res) = pull::serve(relay, &head).or_else(|| fate::serve(relay, &head)) {
        return res;
    }
    let _in_flight = InFlight::new(relay);
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
    word::came(relay, &route, from.ip());
    let ended = match Payload::read(body).await {
        Ok(body) => beside::run(relay, hop, Forward { head, body }).await,
        Err(error) => {
            log::debug!(error:%; "request broke off between daemons");
            Ended::not_run(RefusalReason::Cancelled, Duration::ZERO)
        }
    };
    answer(relay, id.as_ref(), &route, ended)
}

fn answer(
    relay: &Relay,
    id: Option<&HeaderValue>,
    route: &SmolStr,
    ended: Ended,
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
    let mut res = match ended {
        Ended::Answered { head, body } => Response::from_parts(head, body),
        Ended::NotRun { refusal, at_target } => {
            end.outcome = Outcome::NotRun;
            end.reached_target = at_target;
            end.reason = Some(refusal.reason);
            end.retry_after = refusal.retry_after;
            status_only(StatusCode::SERVICE_UNAVAILABLE)
        }
        Ended::Unknown { why } => {
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
    word::tell(relay, route, res.headers_mut());
    word::tell_view(relay, res.headers_mut());
    res.headers_mut()
        .insert("keep-alive", HeaderValue::from_static(IDLE_PROMISE));
    res
}
