//! Queries to the daemon beside a target about a send whose answer was lost or is overdue.
//!
//! If the answer was lost, the sender asks for the fate of the send. A daemon that replies that
//! the send has not started also prevents it from starting later. The reply is valid only if it
//! comes from the same process as before the send: a restarted daemon has no record of it. If the
//! answer is overdue, any reply to a probe shows that the daemon is alive.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode};
use policy::SendKey;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::connection_pool::{Reply, SendError};
use crate::payload::Payload;
use crate::relay::Relay;
use crate::responses::status_only;

/// Path at which a daemon returns the fate of a send.
const FATE_PATH: &str = "/-/berylhead/fate";
/// Path of liveness probes.
const ALIVE_PATH: &str = "/-/berylhead/alive";
/// Request header with the id of the send in hexadecimal.
const SEND_ID: HeaderName = HeaderName::from_static("berylhead-fate-send");
/// Request header with the time until the request's deadline, in milliseconds.
const TIME_LEFT: HeaderName = HeaderName::from_static("berylhead-fate-time-left");
/// Response header with the [life](Relay::life) of the answering daemon in hexadecimal.
const LIFE: HeaderName = HeaderName::from_static("berylhead-fate-life");
/// Timeout of a query: enough for a connection and a round trip between data centres.
pub(crate) const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause before a query that was not answered is repeated.
const REPEAT_DELAY: Duration = Duration::from_millis(50);
/// Time after an answer for which a daemon counts as alive: a busy one may be delayed by that
/// much.
const PROBE_DELAY: Duration = Duration::from_millis(100);
/// Time for which a send is remembered after its deadline: longer than its bytes can be in
/// transit while the sender still queries its fate.
const RETENTION_MARGIN: Duration = Duration::from_secs(1);

/// Last known [life](Relay::life) of each other daemon, and when it last answered.
#[derive(Default)]
pub(crate) struct KnownDaemons {
    daemons: RefCell<HashMap<SocketAddr, (u64, Instant)>>,
}

impl KnownDaemons {
    /// Records an answer of a daemon.
    pub(crate) fn record_answer(&self, daemon: SocketAddr, life: u64, now: Instant) {
        self.daemons.borrow_mut().insert(daemon, (life, now));
    }

    /// Returns the life that a daemon reported with its last answer.
    pub(crate) fn life(&self, daemon: SocketAddr) -> Option<u64> {
        self.daemons.borrow().get(&daemon).map(|(life, _)| *life)
    }

    /// Returns the earliest time for a probe of a daemon: [`PROBE_DELAY`] after its last answer to
    /// a forwarded request. So no probes are sent under load, when all answers are overdue but
    /// keep coming.
    fn probe_at(&self, daemon: SocketAddr) -> Option<Instant> {
        let daemons = self.daemons.borrow();
        daemons
            .get(&daemon)
            .map(|(_, answered_at)| *answered_at + PROBE_DELAY)
    }

    /// Removes all daemons for which `keep` returns false.
    pub(crate) fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        self.daemons.borrow_mut().retain(|daemon, _| keep(daemon));
    }
}

/// Records that a send is passed to the local target; `false` if it must not be.
pub(crate) fn begin(relay: &Relay, send: SendKey, deadline: Instant) -> bool {
    let until = (deadline + RETENTION_MARGIN).into_std();
    let now = Instant::now().into_std();
    relay.fates.borrow_mut().begin(send, until, now)
}

/// Waits for the answer to a send while the receiving daemon is alive.
///
/// The daemon is probed once the answer is overdue, and again at intervals that double each time.
///
/// # Errors
///
/// Returns the error of the send, or [`SendError::Broken`] if the daemon does not reply to a
/// probe.
pub(crate) async fn while_alive(
    relay: &Relay,
    daemon: SocketAddr,
    overdue: Duration,
    sending: impl Future<Output = Result<Reply, SendError>>,
) -> Result<Reply, SendError> {
    let mut sending = pin!(sending);
    let mut wait = overdue;
    let mut at = Instant::now() + wait;
    loop {
        if let Ok(result) = timeout_at(at, &mut sending).await {
            return result;
        }
        if let Some(probe_at) = relay
            .known_daemons
            .probe_at(daemon)
            .filter(|probe_at| *probe_at > at)
        {
            at = probe_at;
            continue;
        }
        wait *= 2;
        at += wait;
        tokio::select! {
            result = &mut sending => return result,
            alive = is_alive(relay, daemon) => {
                if !alive {
                    return Err(SendError::Broken("its daemon does not respond".to_owned()));
                }
            }
        }
    }
}

/// Probes a daemon; false if it does not reply within [`ANSWER_TIMEOUT`].
async fn is_alive(relay: &Relay, daemon: SocketAddr) -> bool {
    let alive = probe(relay, daemon).await.is_some();
    log::debug!(daemon:%, alive; "daemon probed");
    alive
}

/// Returns the life of a daemon before a request is sent to it, so that its fate can be asked for;
/// `None` if the daemon has never answered and does not now.
pub(crate) async fn learn_life(relay: &Relay, daemon: SocketAddr) -> Option<u64> {
    if let Some(life) = relay.known_daemons.life(daemon) {
        return Some(life);
    }
    let life = probe(relay, daemon).await.flatten()?;
    let now = Instant::now();
    relay.known_daemons.record_answer(daemon, life, now);
    Some(life)
}

/// Probes a daemon. Returns its life, which daemons of earlier versions don't report; `None` if it
/// does not reply within [`ANSWER_TIMEOUT`].
async fn probe(relay: &Relay, daemon: SocketAddr) -> Option<Option<u64>> {
    let probe = async {
        let reply = relay
            .connection_pool
            .send_to_daemon(daemon, Request::get(ALIVE_PATH))
            .await
            .ok()?;
        let life = parse_hex_header(&reply.head.headers, &LIFE);
        relay
            .connection_pool
            .put_back(reply.connection, &reply.head.headers);
        Some(life)
    };
    timeout(ANSWER_TIMEOUT, probe).await.ok().flatten()
}

/// What is known of a send after a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendFate {
    /// It has not run and never will.
    NeverRuns,
    /// It has started, or the daemon has been restarted since.
    MayRun,
    /// The daemon did not reply.
    Unanswered,
}

/// Withdraws a send from the queue of the receiving daemon; completes with `true` if it never runs
/// and with `false` if it may. Asks until the daemon replies.
///
/// `life` is the daemon's life as known before the send.
pub(crate) async fn withdraw(
    relay: &Relay,
    daemon: SocketAddr,
    life: Option<u64>,
    send: SendKey,
    deadline: Instant,
) -> bool {
    loop {
        match query(relay, daemon, life, send, deadline).await {
            SendFate::NeverRuns => return true,
            SendFate::MayRun => return false,
            SendFate::Unanswered => sleep(REPEAT_DELAY).await,
        }
    }
}

/// Asks the receiving daemon for the fate of a send.
///
/// `life` is the daemon's life as known before the send.
pub(crate) async fn query(
    relay: &Relay,
    daemon: SocketAddr,
    life: Option<u64>,
    send: SendKey,
    deadline: Instant,
) -> SendFate {
    let Some(life) = life else {
        return SendFate::MayRun;
    };
    let query = query_fate(relay, daemon, send, deadline);
    let reply = match timeout(ANSWER_TIMEOUT, query).await {
        Ok(Ok(reply)) => reply,
        Ok(Err(error)) => {
            log::debug!(daemon:%, error; "fate query failed");
            return SendFate::Unanswered;
        }
        Err(_) => {
            log::debug!(daemon:%; "fate query timed out");
            return SendFate::Unanswered;
        }
    };
    log::debug!(
        daemon:%,
        never_runs = reply.never_runs,
        same_life = reply.life == life;
        "fate received"
    );
    if reply.never_runs && reply.life == life {
        SendFate::NeverRuns
    } else {
        SendFate::MayRun
    }
}

/// Reply to a fate query.
struct FateReply {
    never_runs: bool,
    life: u64,
}

/// Sends a fate query and parses the reply.
async fn query_fate(
    relay: &Relay,
    daemon: SocketAddr,
    send: SendKey,
    deadline: Instant,
) -> Result<FateReply, &'static str> {
    let left = deadline.saturating_duration_since(Instant::now());
    let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    let request = Request::get(FATE_PATH)
        .header(SEND_ID, format!("{:016x}", send.0))
        .header(TIME_LEFT, left_ms);
    let reply = relay
        .connection_pool
        .send_to_daemon(daemon, request)
        .await?;
    let never_runs = match reply.head.status {
        StatusCode::OK => true,
        StatusCode::CONFLICT => false,
        _ => return Err("unexpected status"),
    };
    let life = parse_hex_header(&reply.head.headers, &LIFE).ok_or("no life header in the reply")?;
    relay
        .connection_pool
        .put_back(reply.connection, &reply.head.headers);
    Ok(FateReply { never_runs, life })
}

/// Answers a fate query or a probe of another daemon; `None` if the request is neither.
pub(crate) fn serve(relay: &Relay, head: &Parts) -> Option<Response<Payload>> {
    if head.method != Method::GET {
        return None;
    }
    match head.uri.path() {
        FATE_PATH => {}
        ALIVE_PATH => return Some(with_life(relay, status_only(StatusCode::NO_CONTENT))),
        _ => return None,
    }
    let left = head.headers.get(TIME_LEFT);
    let left = left.and_then(|value| value.to_str().ok()?.parse().ok());
    let (Some(send), Some(left_ms)) = (parse_hex_header(&head.headers, &SEND_ID), left) else {
        return Some(status_only(StatusCode::BAD_REQUEST));
    };
    let now = Instant::now();
    let until = now + Duration::from_millis(left_ms) + RETENTION_MARGIN;
    let never_runs =
        relay
            .fates
            .borrow_mut()
            .forbid(SendKey(send), until.into_std(), now.into_std());
    let status = if never_runs {
        StatusCode::OK
    } else {
        StatusCode::CONFLICT
    };
    Some(with_life(relay, status_only(status)))
}

/// Adds the life of this daemon to a reply.
fn with_life(relay: &Relay, mut res: Response<Payload>) -> Response<Payload> {
    if let Ok(life) = HeaderValue::from_str(&format!("{:016x}", relay.life)) {
        res.headers_mut().insert(LIFE, life);
    }
    res
}

fn parse_hex_header(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    let text = headers.get(name)?.to_str().ok()?;
    u64::from_str_radix(text, 16).ok()
}
