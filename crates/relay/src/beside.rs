//! Requests that run in the target beside this daemon.

use std::rc::Rc;
use std::time::Duration;

use http::request::Parts;
use http::response::Parts as Head;
use http::{HeaderValue, Method, Request, StatusCode, Uri};
use model::{Refusal, RefusalReason};
use policy::{Run, RunOutcome, SendKey, Work};
use tokio::time::Instant;
use wire::Hop;

use crate::admission::Slot;
use crate::connection_pool::{Reply, SendError};
use crate::fate;
use crate::guards::{InFlight, RunGuard};
use crate::headers::strip_hop_by_hop;
use crate::payload::Payload;
use crate::relay::{Phase, Relay};

/// Time after which a caller may ask again where the target is leaving or unknown here.
const ELSEWHERE_RETRY_AFTER: Duration = Duration::from_millis(100);

/// How a forwarded request ended.
pub(crate) enum Ended {
    /// The target answered.
    Answered { head: Head, body: Payload },
    /// It did not run and never will.
    NotRun {
        refusal: Refusal,
        /// True if it was the target that refused it.
        at_target: bool,
    },
    /// It may have run.
    Unknown { why: String },
}

impl Ended {
    pub(crate) fn not_run(reason: RefusalReason, retry_after: Duration) -> Self {
        Ended::NotRun {
            refusal: Refusal {
                reason,
                retry_after,
            },
            at_target: false,
        }
    }
}

/// A request as it is passed on.
pub(crate) struct Forward {
    pub(crate) head: Parts,
    pub(crate) body: Payload,
}

impl Forward {
    /// A second copy, where the body is held whole.
    pub(crate) fn copy(&self) -> Option<Forward> {
        let body = self.body.try_clone()?;
        let mut req = Request::new(());
        *req.method_mut() = self.head.method.clone();
        *req.uri_mut() = self.head.uri.clone();
        *req.headers_mut() = self.head.headers.clone();
        let (head, ()) = req.into_parts();
        Some(Forward { head, body })
    }

    /// Turns it into a request that names path and query only.
    pub(crate) fn into_request(self) -> Request<Payload> {
        let mut req = Request::new(self.body);
        *req.method_mut() = self.head.method;
        *req.uri_mut() = origin_form(self.head.uri);
        *req.headers_mut() = self.head.headers;
        req
    }

    /// True if no answer to it has a body.
    fn is_head(&self) -> bool {
        self.head.method == Method::HEAD
    }
}

/// Runs a request in the own target as soon as the gate lets it.
pub(crate) async fn run(relay: &Rc<Relay>, hop: Hop, mut forward: Forward) -> Ended {
    let arrived = Instant::now();
    let deadline = arrived + hop.time_left;
    if let Some(ended) = refuse_at_once(relay, &hop) {
        return ended;
    }
    let slot = match relay
        .admission
        .enter(work(relay, &hop, arrived, deadline))
        .await
    {
        Ok(slot) => slot,
        Err(refusal) => {
            return Ended::NotRun {
                refusal,
                at_target: false,
            };
        }
    };
    // The target may have begun to leave while the request waited.
    if let Some(ended) = refuse_at_once(relay, &hop) {
        return ended;
    }
    let left = deadline.saturating_duration_since(Instant::now());
    let Ok(left_ms @ 1..) = u64::try_from(left.as_millis()) else {
        return Ended::not_run(RefusalReason::Deadline, ELSEWHERE_RETRY_AFTER);
    };
    if !fate::begin(relay, SendKey(hop.send_id), deadline) {
        return Ended::not_run(RefusalReason::Cancelled, ELSEWHERE_RETRY_AFTER);
    }
    let headers = &mut forward.head.headers;
    headers.insert(relay.names.time_left_ms.clone(), HeaderValue::from(left_ms));
    if let Ok(id) = HeaderValue::from_str(hop.target.as_str()) {
        headers.insert(relay.names.expected_target.clone(), id);
    }
    relay.leads.borrow_mut().record_run(&hop.route);
    let run = RunGuard::new(
        relay,
        Run {
            operation: relay.admission.operation(&hop.route),
            class: hop.class,
            worth: hop.worth,
            shed_hash: hop.shed_hash,
            deadline: deadline.into_std(),
            repeated: hop.attempt > 0,
        },
    );
    let ended = send(relay, forward, slot, run).await;
    if matches!(ended, Ended::NotRun { .. }) {
        relay.fates.borrow_mut().refused(SendKey(hop.send_id));
    }
    ended
}

/// Refuses what the own target must not get.
fn refuse_at_once(relay: &Relay, hop: &Hop) -> Option<Ended> {
    let reason = if relay.phase.get() == Phase::Closing {
        RefusalReason::Leaving
    } else {
        let view = relay.view.borrow();
        match &view.own {
            None if view.own_was_listed => RefusalReason::Leaving,
            Some(own) if own.id != hop.target => RefusalReason::NoInstance,
            Some(own) if own.state == routes::TargetState::Draining => RefusalReason::Leaving,
            _ => return None,
        }
    };
    Some(Ended::not_run(reason, ELSEWHERE_RETRY_AFTER))
}

fn work(relay: &Relay, hop: &Hop, arrived: Instant, deadline: Instant) -> Work {
    Work {
        class: hop.class,
        worth: hop.worth,
        shed_hash: hop.shed_hash,
        attempt: 0,
        arrived: arrived.into_std(),
        deadline: deadline.into_std(),
        operation: relay.admission.operation(&hop.route),
    }
}

async fn send(relay: &Rc<Relay>, forward: Forward, slot: Slot, run: RunGuard) -> Ended {
    let id = forward.head.headers.get(&relay.names.request_id).cloned();
    let is_head = forward.is_head();
    let to = relay.cfg.target;
    let reply = match relay.connection_pool.send(to, forward.into_request()).await {
        Ok(reply) => reply,
        Err(error) => {
            slot.finish(RunOutcome::Failed);
            relay.connection_pool.close_idle_to(to);
            return match error {
                SendError::NotSent(_) => {
                    Ended::not_run(RefusalReason::NoInstance, ELSEWHERE_RETRY_AFTER)
                }
                SendError::Broken(why) => Ended::Unknown { why },
            };
        }
    };
    let Reply {
        mut head,
        body,
        connection,
    } = reply;
    let echoed = head.headers.get(&relay.names.request_id);
    let own = match echoed {
        Some(_) => echoed == id.as_ref(),
        // A target that refuses may not have read the id.
        None => refused(relay, &head),
    };
    if !own {
        slot.finish(RunOutcome::Failed);
        return Ended::Unknown {
            why: "the answer belongs to another request".to_owned(),
        };
    }
    let mut body = if is_head {
        Payload::empty()
    } else {
        match Payload::read(body).await {
            Ok(body) => body,
            Err(error) => {
                slot.finish(RunOutcome::Failed);
                return Ended::Unknown {
                    why: format!("the answer broke off: {error}"),
                };
            }
        }
    };
    if refused(relay, &head) {
        return refused_by_target(relay, &head, slot, connection);
    }
    let answer_headers = head.headers.clone();
    strip_hop_by_hop(&mut head.headers);
    if body.keep_until_end(Box::new(InFlight::new(relay))) {
        body.keep_until_end(Box::new((connection, run, slot)));
    } else {
        slot.finish(RunOutcome::Answered);
        relay.connection_pool.put_back(connection, &answer_headers);
    }
    Ended::Answered { head, body }
}

/// True if an answer says that the target did not run the request.
fn refused(relay: &Relay, head: &Head) -> bool {
    head.headers.contains_key(&relay.names.not_run)
        || head.status == StatusCode::MISDIRECTED_REQUEST
}

fn refused_by_target(
    relay: &Relay,
    head: &Head,
    slot: Slot,
    connection: crate::connection_pool::PooledConnection,
) -> Ended {
    let reason = if head.status == StatusCode::MISDIRECTED_REQUEST {
        RefusalReason::NoInstance
    } else {
        RefusalReason::Overloaded
    };
    slot.finish(RunOutcome::TargetRefused);
    relay.connection_pool.put_back(connection, &head.headers);
    Ended::NotRun {
        refusal: Refusal {
            reason,
            retry_after: ELSEWHERE_RETRY_AFTER,
        },
        at_target: true,
    }
}

/// Path and query without scheme and host.
fn origin_form(uri: Uri) -> Uri {
    if uri.scheme().is_none() && uri.authority().is_none() {
        return uri;
    }
    let mut parts = http::uri::Parts::default();
    parts.path_and_query = uri.into_parts().path_and_query;
    Uri::from_parts(parts).unwrap_or_default()
}
