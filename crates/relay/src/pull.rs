//! Published states that are fetched from another daemon, which knows newer ones.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderName, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use tokio::time::{Instant, timeout};

use crate::payload::Payload;
use crate::relay::Relay;
use crate::responses::status_only;
use crate::source::{Document, PublishedState};
use crate::sync;

/// Path under which a daemon hands out its configuration.
const TABLE_PATH: &str = "/-/berylhead/table";
/// Path under which a daemon hands out its list of targets.
const TARGETS_PATH: &str = "/-/berylhead/targets";
/// Revision of what is handed out.
const REVISION: HeaderName = HeaderName::from_static("berylhead-state-revision");
/// Milliseconds since it was read.
const AGE: HeaderName = HeaderName::from_static("berylhead-state-age");
/// Time that a fetch may take: some round trips over a slow link.
const FETCH_TIMEOUT: Duration = Duration::from_millis(600);

/// Fetches a state from another daemon, unless a fetch of it is under way.
pub(crate) fn start(relay: &Rc<Relay>, from: SocketAddr, state: PublishedState) {
    let Some(fetching) = Fetching::begin(relay, state) else {
        return;
    };
    let relay = Rc::clone(relay);
    tokio::task::spawn_local(async move {
        let _fetching = fetching;
        match timeout(FETCH_TIMEOUT, fetch(&relay, from, state)).await {
            Ok(Ok((document, read_at))) => {
                log::debug!(state:%, from:%, revision = document.revision; "state fetched");
                sync::offer(&relay, state, document, read_at);
            }
            Ok(Err(error)) => log::debug!(state:%, from:%, error; "state not fetched"),
            Err(_) => log::debug!(state:%, from:%; "state not fetched in time"),
        }
    });
}

/// Marks a fetch as under way until it is dropped.
struct Fetching {
    relay: Rc<Relay>,
    state: PublishedState,
}

impl Fetching {
    fn begin(relay: &Rc<Relay>, state: PublishedState) -> Option<Self> {
        let began = relay.fetching.borrow_mut().insert(state);
        began.then(|| Fetching {
            relay: Rc::clone(relay),
            state,
        })
    }
}

impl Drop for Fetching {
    fn drop(&mut self) {
        self.relay.fetching.borrow_mut().remove(&self.state);
    }
}

async fn fetch(
    relay: &Relay,
    from: SocketAddr,
    state: PublishedState,
) -> Result<(Document, Instant), &'static str> {
    let path = match state {
        PublishedState::Table => TABLE_PATH,
        PublishedState::Targets => TARGETS_PATH,
    };
    let reply = relay
        .connection_pool
        .send_to_daemon(from, Request::get(path))
        .await?;
    if reply.head.status != StatusCode::OK {
        return Err("not handed out");
    }
    let number = |name: HeaderName| {
        let value = reply.head.headers.get(name)?.to_str().ok()?;
        value.parse::<u64>().ok()
    };
    let revision = number(REVISION).ok_or("without a revision")?;
    let age = number(AGE).map_or(Duration::ZERO, Duration::from_millis);
    let body = reply.body.collect().await.map_err(|_| "broken off")?;
    relay
        .connection_pool
        .put_back(reply.connection, &reply.head.headers);
    let document = Document {
        revision,
        bytes: body.to_bytes(),
    };
    let now = Instant::now();
    Ok((document, now.checked_sub(age).unwrap_or(now)))
}

/// Answers a fetch of another daemon; `None` if the request is something else.
pub(crate) fn serve(relay: &Relay, head: &Parts) -> Option<Response<Payload>> {
    if head.method != Method::GET {
        return None;
    }
    let view = relay.view.borrow();
    let found = match head.uri.path() {
        TABLE_PATH => view.table_document(),
        TARGETS_PATH => view.targets_document(),
        _ => return None,
    };
    let age = view.stamp(Instant::now()).age;
    Some(hand_out(found, age))
}

fn hand_out(found: Option<(u64, Bytes)>, age: Duration) -> Response<Payload> {
    let Some((revision, bytes)) = found else {
        return status_only(StatusCode::NOT_FOUND);
    };
    let mut res = Response::new(Payload::Buffered(bytes));
    let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
    let headers = res.headers_mut();
    headers.insert(REVISION, HeaderValue::from(revision));
    headers.insert(AGE, HeaderValue::from(age_ms));
    res
}
