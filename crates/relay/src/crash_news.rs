//! Exchange of [`CrashNews`] between daemons.
//!
//! News spread in two ways: a daemon that learns something new passes it on to a few others, and
//! daemons whose digests differ fetch what they lack from each other. Besides, the answer to a
//! request that is held back carries the verdict, for the daemon where the request began.

use std::cell::Cell;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use policy::{CrashNews, Fingerprint};
use rand::seq::IteratorRandom;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};
use wire::hop::{CRASH_DIGEST, CRASHES};

use crate::payload::Payload;
use crate::piggyback;
use crate::relay::Relay;
use crate::responses::status_only;

/// Path at which a daemon takes and returns reports of ended targets.
pub(crate) const PATH: &str = "/-/berylhead/crashes";
/// Number of daemons to which each daemon passes on what is new to it. The few that hear nothing
/// this way find out by a digest.
const FANOUT: usize = 4;
/// Time for which news are collected before they are passed on.
const COLLECTION_TIME: Duration = Duration::from_millis(5);
/// Timeout of passing on or fetching news: several round trips over a slow link.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(600);
/// Minimum time between two fetches; doubled after each one that brought nothing new.
const MIN_FETCH_INTERVAL: Duration = Duration::from_millis(250);
const MAX_FETCH_INTERVAL: Duration = Duration::from_secs(8);

/// State of the exchange.
#[derive(Default)]
pub(crate) struct CrashExchange {
    changed: Notify,
    /// When the next fetch may begin, and the interval after it.
    next_fetch: Cell<Option<(Instant, Duration)>>,
}

impl CrashExchange {
    /// Tells that there may be something to pass on.
    pub(crate) fn notify(&self) {
        self.changed.notify_one();
    }
}

/// Adds the verdict on a request to the headers of its answer, if it is held back.
pub(crate) fn write_verdict(relay: &Relay, fingerprint: Fingerprint, headers: &mut HeaderMap) {
    // The target may have sent a header of this name.
    headers.remove(CRASHES);
    let now = Instant::now().into_std();
    let news = relay.crashes.borrow().verdict(fingerprint, now);
    if !news.is_empty() {
        piggyback::insert(headers, CRASHES, &news.to_string());
    }
}

/// Removes the header that [`write_verdict`] added, and merges its content.
pub(crate) fn take_verdict(relay: &Relay, headers: &mut HeaderMap) {
    if let Some(value) = headers.remove(CRASHES) {
        merge(relay, value.as_bytes());
    }
}

/// Adds the digest of all that is known.
pub(crate) fn write_digest(relay: &Relay, headers: &mut HeaderMap) {
    headers.remove(CRASH_DIGEST);
    let digest = relay.crashes.borrow().digest();
    if digest != 0 {
        piggyback::insert(headers, CRASH_DIGEST, &format!("{digest:016x}"));
    }
}

/// Removes the header that [`write_digest`] added, and fetches what the other daemon knows if it
/// is something else.
pub(crate) fn take_digest(relay: &Rc<Relay>, from: SocketAddr, headers: &mut HeaderMap) {
    let Some(value) = headers.remove(CRASH_DIGEST) else {
        return;
    };
    let text = value.to_str().ok();
    let digest = text.and_then(|text| u64::from_str_radix(text, 16).ok());
    if digest.is_some_and(|digest| digest != relay.crashes.borrow().digest()) {
        spawn_fetch(relay, from);
    }
}

fn spawn_fetch(relay: &Rc<Relay>, from: SocketAddr) {
    let now = Instant::now();
    let exchange = &relay.crash_exchange;
    let (next, interval) = exchange
        .next_fetch
        .get()
        .unwrap_or((now, MIN_FETCH_INTERVAL));
    if now < next {
        return;
    }
    exchange.next_fetch.set(Some((now + interval, interval)));
    let relay = Rc::clone(relay);
    tokio::task::spawn_local(async move {
        let brought_news = match timeout(EXCHANGE_TIMEOUT, fetch(&relay, from)).await {
            Ok(Ok(text)) => merge(&relay, &text),
            Ok(Err(error)) => {
                log::debug!(from:%, error; "failed to fetch reports of ended targets");
                false
            }
            Err(_) => {
                log::debug!(from:%; "fetch of reports of ended targets timed out");
                false
            }
        };
        let interval = if brought_news {
            MIN_FETCH_INTERVAL
        } else {
            (interval * 2).min(MAX_FETCH_INTERVAL)
        };
        let next = Some((now + interval, interval));
        relay.crash_exchange.next_fetch.set(next);
    });
}

async fn fetch(relay: &Relay, from: SocketAddr) -> Result<Bytes, &'static str> {
    let reply = relay
        .connection_pool
        .send_to_daemon(from, Request::get(PATH))
        .await?;
    if reply.head.status != StatusCode::OK {
        return Err("response status is not 200");
    }
    let body = reply.body.collect().await;
    let body = body.map_err(|_| "response body incomplete")?;
    relay
        .connection_pool
        .put_back(reply.connection, &reply.head.headers);
    Ok(body.to_bytes())
}

/// Merges reports; true if any of them is new.
fn merge(relay: &Relay, text: &[u8]) -> bool {
    let news = std::str::from_utf8(text).ok();
    let Some(news) = news.and_then(|text| text.parse::<CrashNews>().ok()) else {
        log::debug!("malformed reports of ended targets ignored");
        return false;
    };
    let now = Instant::now().into_std();
    let changed = relay.crashes.borrow_mut().merge(&news, now);
    if changed {
        relay.crash_exchange.notify();
    }
    changed
}

/// Passes on what is new to this daemon.
pub(crate) async fn spread(relay: Rc<Relay>) {
    loop {
        relay.crash_exchange.changed.notified().await;
        let is_new = |relay: &Relay| relay.crashes.borrow().has_unsent();
        if !is_new(&relay) {
            continue;
        }
        sleep(COLLECTION_TIME).await;
        let now = Instant::now().into_std();
        let news = relay.crashes.borrow_mut().take_unsent(now);
        let text = Bytes::from(news.to_string());
        for ip in random_peers(&relay) {
            let (relay, text) = (Rc::clone(&relay), text.clone());
            tokio::task::spawn_local(async move {
                let to = SocketAddr::new(ip, relay.cfg.listen.mesh.port());
                if timeout(EXCHANGE_TIMEOUT, push(&relay, to, text))
                    .await
                    .is_err()
                {
                    log::debug!(to:%; "passing on reports of ended targets timed out");
                }
            });
        }
    }
}

async fn push(relay: &Relay, to: SocketAddr, text: Bytes) {
    let req = Request::post(PATH)
        .header(header::HOST, "daemon")
        .body(Payload::Buffered(text));
    let req = match req {
        Ok(req) => req,
        Err(error) => {
            log::error!(error:%; "reports of ended targets not passed on");
            return;
        }
    };
    match relay.connection_pool.send(to, req).await {
        Ok(reply) => relay
            .connection_pool
            .put_back(reply.connection, &reply.head.headers),
        Err(error) => log::debug!(to:%, error:%; "failed to pass on reports of ended targets"),
    }
}

fn random_peers(relay: &Relay) -> Vec<IpAddr> {
    let view = relay.view.borrow();
    let others = view.targets.iter().map(|target| target.address.ip());
    let others = others.filter(|ip| *ip != relay.cfg.target.ip());
    others.choose_multiple(&mut rand::rng(), FANOUT)
}

/// Serves a request to [`PATH`]: takes reports, or returns all that are known.
pub(crate) async fn serve(relay: &Relay, head: &Parts, body: Incoming) -> Response<Payload> {
    if head.method == Method::GET {
        let now = Instant::now().into_std();
        let text = relay.crashes.borrow().all(now).to_string();
        return Response::new(Payload::Buffered(text.into()));
    }
    match Payload::read(body).await {
        Ok(Payload::Buffered(text)) => {
            merge(relay, &text);
            status_only(StatusCode::NO_CONTENT)
        }
        Ok(Payload::Streamed { .. }) => status_only(StatusCode::PAYLOAD_TOO_LARGE),
        Err(error) => {
            log::debug!(error:%; "reports of ended targets incomplete");
            status_only(StatusCode::BAD_REQUEST)
        }
    }
}
