//! Fetching a published state from another daemon that has a newer version of it, comparing
//! versions with a reader, and serving both.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderName, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use routes::StampDiff;
use tokio::time::{Instant, timeout};

use crate::dispatch::millis;
use crate::payload::Payload;
use crate::piggyback;
use crate::relay::Relay;
use crate::responses::status_only;
use crate::source::{Document, PublishedState, Via};
use crate::sync;

/// Path of the configuration that a daemon serves to other daemons.
const TABLE_PATH: &str = "/-/berylhead/table";
/// Path of the target list that a daemon serves to other daemons.
const TARGETS_PATH: &str = "/-/berylhead/targets";
/// Path at which daemons compare the versions of the states that they hold.
const VIEW_PATH: &str = "/-/berylhead/view";
/// Header with the revision of the state in the response.
const STATE_REVISION: HeaderName = HeaderName::from_static("berylhead-state-revision");
/// Header with the time since the state was last known to be the newest one, in milliseconds; absent
/// if it never was.
const STATE_AGE: HeaderName = HeaderName::from_static("berylhead-state-age");
/// Timeout of a fetch: several round trips over a slow link.
const FETCH_TIMEOUT: Duration = Duration::from_millis(600);
/// Timeout of a comparison: a connection and a round trip within a data centre, at a busy daemon.
const COMPARE_TIMEOUT: Duration = Duration::from_millis(250);

/// Compares the held versions with another daemon, and fetches the states of which it holds a newer
/// one.
///
/// # Errors
///
/// Returns why the daemon gave no usable answer.
pub(crate) async fn compare(relay: &Rc<Relay>, with: SocketAddr) -> Result<(), &'static str> {
    let diff = timeout(COMPARE_TIMEOUT, exchange_stamps(relay, with))
        .await
        .map_err(|_| "comparison timed out")??;
    let states = [
        (diff.newer_table, PublishedState::Table),
        (diff.newer_targets, PublishedState::Targets),
    ];
    for (is_newer, state) in states {
        let guard = is_newer.then(|| FetchGuard::try_begin(relay, state));
        if let Some(Some(_guard)) = guard {
            fetch_and_apply(relay, with, state).await;
        }
    }
    Ok(())
}

async fn exchange_stamps(relay: &Rc<Relay>, with: SocketAddr) -> Result<StampDiff, &'static str> {
    let mut req = Request::get(VIEW_PATH);
    if let Some(headers) = req.headers_mut() {
        piggyback::write_view_stamp(relay, headers);
    }
    let mut reply = relay.connection_pool.send_to_daemon(with, req).await?;
    if reply.head.status != StatusCode::NO_CONTENT {
        return Err("response status is not 204");
    }
    let headers = &mut reply.head.headers;
    piggyback::take_service_shares(relay, headers);
    let diff = piggyback::merge_view_stamp(relay, with, headers);
    relay.connection_pool.put_back(reply.connection, headers);
    Ok(diff)
}

/// Fetches a state from another daemon in the background, unless a fetch of that state is
/// already in progress.
pub(crate) fn spawn_fetch(relay: &Rc<Relay>, from: SocketAddr, state: PublishedState) {
    let Some(guard) = FetchGuard::try_begin(relay, state) else {
        return;
    };
    let relay = Rc::clone(relay);
    tokio::task::spawn_local(async move {
        let _guard = guard;
        fetch_and_apply(&relay, from, state).await;
    });
}

async fn fetch_and_apply(relay: &Relay, from: SocketAddr, state: PublishedState) {
    match timeout(FETCH_TIMEOUT, fetch(relay, from, state)).await {
        Ok(Ok((document, confirmed_at))) => {
            log::debug!(state:%, from:%, revision = document.revision; "state fetched");
            sync::apply_document(relay, state, document, confirmed_at, Via::Daemon);
        }
        Ok(Err(error)) => log::debug!(state:%, from:%, error; "failed to fetch state"),
        Err(_) => log::debug!(state:%, from:%; "state fetch timed out"),
    }
}

/// Marks the fetch of a state as in progress until it is dropped.
struct FetchGuard {
    relay: Rc<Relay>,
    state: PublishedState,
}

impl FetchGuard {
    fn try_begin(relay: &Rc<Relay>, state: PublishedState) -> Option<Self> {
        let inserted = relay.fetching.borrow_mut().insert(state);
        inserted.then(|| FetchGuard {
            relay: Rc::clone(relay),
            state,
        })
    }
}

impl Drop for FetchGuard {
    fn drop(&mut self) {
        self.relay.fetching.borrow_mut().remove(&self.state);
    }
}

async fn fetch(
    relay: &Relay,
    from: SocketAddr,
    state: PublishedState,
) -> Result<(Document, Option<Instant>), &'static str> {
    let sent_at = Instant::now();
    let path = match state {
        PublishedState::Table => TABLE_PATH,
        PublishedState::Targets => TARGETS_PATH,
    };
    let reply = relay
        .connection_pool
        .send_to_daemon(from, Request::get(path))
        .await?;
    if reply.head.status != StatusCode::OK {
        return Err("response status is not 200");
    }
    let number = |name: HeaderName| {
        let value = reply.head.headers.get(name)?.to_str().ok()?;
        value.parse::<u64>().ok()
    };
    let revision = number(STATE_REVISION).ok_or("missing or invalid state revision")?;
    let age = number(STATE_AGE).map(Duration::from_millis);
    let body = reply
        .body
        .collect()
        .await
        .map_err(|_| "response body incomplete")?;
    relay
        .connection_pool
        .put_back(reply.connection, &reply.head.headers);
    let document = Document {
        revision,
        bytes: body.to_bytes(),
    };
    Ok((document, age.and_then(|age| sent_at.checked_sub(age))))
}

/// Serves a fetch or a comparison of another daemon; `None` if the request is neither.
pub(crate) fn serve(relay: &Relay, head: &Parts) -> Option<Response<Payload>> {
    if head.method != Method::GET {
        return None;
    }
    if head.uri.path() == VIEW_PATH {
        let mut res = status_only(StatusCode::NO_CONTENT);
        piggyback::write_view_stamp(relay, res.headers_mut());
        piggyback::write_service_shares(relay, res.headers_mut());
        return Some(res);
    }
    let view = relay.view.borrow();
    let now = Instant::now();
    let (document, age) = match head.uri.path() {
        TABLE_PATH => (view.table_document(), view.table_age(now)),
        TARGETS_PATH => (view.targets_document(), view.targets_age(now)),
        _ => return None,
    };
    Some(document_response(document, age))
}

fn document_response(document: Option<(u64, Bytes)>, age: Option<Duration>) -> Response<Payload> {
    let Some((revision, bytes)) = document else {
        return status_only(StatusCode::NOT_FOUND);
    };
    let mut res = Response::new(Payload::Buffered(bytes));
    let headers = res.headers_mut();
    headers.insert(STATE_REVISION, HeaderValue::from(revision));
    if let Some(age) = age {
        headers.insert(STATE_AGE, HeaderValue::from(millis(age)));
    }
    res
}
