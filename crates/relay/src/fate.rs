//! Asking the daemon beside a target about a send whose answer was lost or is overdue.
//!
//! Where it was lost, the other daemon promises that what has not begun never will. Its word
//! counts only if it is the same process as before the send: a later one remembers nothing of
//! it. Where an answer is overdue, any reply shows that the daemon is there.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode};
use policy::SendKey;
use tokio::time::{Instant, timeout, timeout_at};

use crate::connection_pool::{Reply, SendError};
use crate::payload::Payload;
use crate::relay::Relay;
use crate::responses::status_only;

/// Path under which a daemon tells what became of a send.
const PATH: &str = "/-/berylhead/fate";
/// Path under which a daemon answers at once.
const ALIVE_PATH: &str = "/-/berylhead/alive";
/// Names the send, as hexadecimal digits.
const SEND: HeaderName = HeaderName::from_static("berylhead-fate-send");
/// Milliseconds for which the request is still of use.
const TIME_LEFT: HeaderName = HeaderName::from_static("berylhead-fate-time-left");
/// Life of the daemon that answers, as hexadecimal digits.
const LIFE: HeaderName = HeaderName::from_static("berylhead-fate-life");
/// Time that an answer may take: a connection and a round trip between data centres.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after an answer for which a daemon is taken to be there: a busy one may fall behind that
/// far.
const QUIET: Duration = Duration::from_millis(100);
/// Time beyond the end of its use for which a send is remembered: more than its bytes can stay
/// on their way while its sender still asks.
const MARGIN: Duration = Duration::from_secs(1);

/// Lives of other daemons, as each told last, and when.
#[derive(Default)]
pub(crate) struct Lives {
    known: RefCell<HashMap<SocketAddr, (u64, Instant)>>,
}

impl Lives {
    /// Takes note of an answer of a daemon.
    pub(crate) fn told(&self, by: SocketAddr, life: u64, now: Instant) {
        self.known.borrow_mut().insert(by, (life, now));
    }

    pub(crate) fn of(&self, daemon: SocketAddr) -> Option<u64> {
        self.known.borrow().get(&daemon).map(|(life, _)| *life)
    }

    /// When a daemon has to be asked whether it is there: a while after it answered anything.
    /// Under load, when all answers are overdue, nobody has to ask.
    fn ask_at(&self, daemon: SocketAddr) -> Option<Instant> {
        let known = self.known.borrow();
        known.get(&daemon).map(|(_, heard)| *heard + QUIET)
    }

    /// Forgets all daemons but those to be kept.
    pub(crate) fn retain(&self, kept: impl Fn(&SocketAddr) -> bool) {
        self.known.borrow_mut().retain(|daemon, _| kept(daemon));
    }
}

/// Takes note that a send is handed to the own target; `false` if it must not be.
pub(crate) fn begin(relay: &Relay, send: SendKey, deadline: Instant) -> bool {
    let until = (deadline + MARGIN).into_std();
    let now = Instant::now().into_std();
    relay.fates.borrow_mut().begin(send, until, now)
}

/// Waits for the answer to a send, as long as the daemon that it was for is there.
///
/// That is asked once the answer is overdue, and again after twice the time each.
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
        if let Some(ask_at) = relay.lives.ask_at(daemon).filter(|ask_at| *ask_at > at) {
            at = ask_at;
            continue;
        }
        wait *= 2;
        at += wait;
        tokio::select! {
            result = &mut sending => return result,
            alive = is_alive(relay, daemon) => {
                if !alive {
                    return Err(SendError::Broken("its daemon is silent".to_owned()));
                }
            }
        }
    }
}

async fn is_alive(relay: &Relay, daemon: SocketAddr) -> bool {
    let asked = async {
        let reply = relay
            .connection_pool
            .send_to_daemon(daemon, Request::get(ALIVE_PATH))
            .await?;
        relay
            .connection_pool
            .put_back(reply.connection, &reply.head.headers);
        Ok::<(), &str>(())
    };
    let alive = matches!(timeout(ANSWER_TIMEOUT, asked).await, Ok(Ok(())));
    log::debug!(daemon:%, alive; "daemon asked whether it is there");
    alive
}

/// True if a send has not run and never will, by the word of the daemon that it was for.
///
/// `life` is the one that this daemon had before the send.
pub(crate) async fn never_runs(
    relay: &Relay,
    daemon: SocketAddr,
    life: Option<u64>,
    send: SendKey,
    deadline: Instant,
) -> bool {
    let Some(life) = life else { return false };
    let asked = ask(relay, daemon, send, deadline);
    let told = match timeout(ANSWER_TIMEOUT, asked).await {
        Ok(Ok(told)) => told,
        Ok(Err(error)) => {
            log::debug!(daemon:%, error; "fate not told");
            return false;
        }
        Err(_) => {
            log::debug!(daemon:%; "fate not told in time");
            return false;
        }
    };
    log::debug!(daemon:%, never_runs = told.never_runs, same_life = told.life == life; "fate told");
    told.never_runs && told.life == life
}

struct Told {
    never_runs: bool,
    life: u64,
}

async fn ask(
    relay: &Relay,
    daemon: SocketAddr,
    send: SendKey,
    deadline: Instant,
) -> Result<Told, &'static str> {
    let left = deadline.saturating_duration_since(Instant::now());
    let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    let page = Request::get(PATH)
        .header(SEND, format!("{:016x}", send.0))
        .header(TIME_LEFT, left_ms);
    let reply = relay.connection_pool.send_to_daemon(daemon, page).await?;
    let never_runs = match reply.head.status {
        StatusCode::OK => true,
        StatusCode::CONFLICT => false,
        _ => return Err("not answered"),
    };
    let life = hexadecimal(&reply.head.headers, &LIFE).ok_or("without a life")?;
    relay
        .connection_pool
        .put_back(reply.connection, &reply.head.headers);
    Ok(Told { never_runs, life })
}

/// Answers the question of another daemon; `None` if the request is something else.
pub(crate) fn serve(relay: &Relay, head: &Parts) -> Option<Response<Payload>> {
    if head.method != Method::GET {
        return None;
    }
    match head.uri.path() {
        PATH => {}
        ALIVE_PATH => return Some(status_only(StatusCode::NO_CONTENT)),
        _ => return None,
    }
    let left = head.headers.get(TIME_LEFT);
    let left = left.and_then(|value| value.to_str().ok()?.parse().ok());
    let (Some(send), Some(left_ms)) = (hexadecimal(&head.headers, &SEND), left) else {
        return Some(status_only(StatusCode::BAD_REQUEST));
    };
    let now = Instant::now();
    let until = now + Duration::from_millis(left_ms) + MARGIN;
    let never_runs =
        relay
            .fates
            .borrow_mut()
            .forbid(SendKey(send), until.into_std(), now.into_std());
    let mut res = status_only(if never_runs {
        StatusCode::OK
    } else {
        StatusCode::CONFLICT
    });
    if let Ok(life) = HeaderValue::from_str(&format!("{:016x}", relay.life)) {
        res.headers_mut().insert(LIFE, life);
    }
    Some(res)
}

fn hexadecimal(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    let text = headers.get(name)?.to_str().ok()?;
    u64::from_str_radix(text, 16).ok()
}
