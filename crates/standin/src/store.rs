//! A stand-in for the metadata store of the users' platform: key-value items that can
//! be read, listed and watched.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use serde_json::{Value, json};
use tokio::sync::Notify;

use crate::http_server::{Body, CloseConnection, HandlerResult, Server};

/// How the store answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreMode {
    /// Normally.
    #[default]
    Serving,
    /// With status 503.
    Busy,
    /// With status 429.
    RateLimited,
    /// Never; requests hang.
    Silent,
    /// Closes the connection without an answer.
    Closing,
    /// Answers watches with status 410 and reads normally.
    WithoutHistory,
}

/// A running store on loopback; it stops when dropped.
#[derive(Debug)]
pub struct Store {
    server: Server,
    state: Arc<State>,
}

#[derive(Debug, Default)]
struct State {
    inner: Mutex<Inner>,
    changed: Notify,
}

#[derive(Debug, Default)]
struct Inner {
    revision: u64,
    items: BTreeMap<String, (Vec<u8>, u64)>,
    /// Removed keys, each with the revision of its removal.
    removed: BTreeMap<String, u64>,
    mode: StoreMode,
    page_size: usize,
    /// How many revisions a watch may be behind; unlimited if `None`.
    history: Option<u64>,
    calls: u64,
    /// How often the store was restored from a copy.
    era: u64,
    /// How often the answers of all waiting watches were lost.
    lost_watches: u64,
}

/// Items of a store at one time, with the revisions of that time.
#[derive(Clone, Debug)]
pub struct StoreCopy {
    revision: u64,
    items: BTreeMap<String, (Vec<u8>, u64)>,
}

/// Default number of items on a page.
const DEFAULT_PAGE_SIZE: usize = 500;

impl Store {
    /// Starts an empty store.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub async fn start() -> std::io::Result<Self> {
        let state = Arc::new(State::default());
        state.lock().page_size = DEFAULT_PAGE_SIZE;
        let shared = Arc::clone(&state);
        let server = Server::start(None, move |req| {
            let state = Arc::clone(&shared);
            async move { serve(&state, req).await }
        })
        .await?;
        Ok(Store { server, state })
    }

    /// The address that the store listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Writes an item under a new revision.
    pub fn put(&self, key: &str, value: impl Into<Vec<u8>>) {
        let mut inner = self.state.lock();
        inner.revision += 1;
        let revision = inner.revision;
        inner.items.insert(key.to_owned(), (value.into(), revision));
        inner.removed.remove(key);
        drop(inner);
        self.state.changed.notify_waiters();
    }

    /// Removes an item under a new revision.
    pub fn remove(&self, key: &str) {
        let mut inner = self.state.lock();
        inner.revision += 1;
        let revision = inner.revision;
        inner.items.remove(key);
        inner.removed.insert(key.to_owned(), revision);
        drop(inner);
        self.state.changed.notify_waiters();
    }

    /// Sets how later requests are answered.
    pub fn set_mode(&self, mode: StoreMode) {
        self.state.lock().mode = mode;
    }

    /// Sets the number of items on a page.
    pub fn set_page_size(&self, items: usize) {
        self.state.lock().page_size = items;
    }

    /// Sets how many revisions a watch may be behind before it is answered with 410.
    pub fn set_history(&self, revisions: u64) {
        self.state.lock().history = Some(revisions);
    }

    /// Never answers the watches that are waiting now, whose connections stay open. Later requests
    /// on other connections are answered.
    pub fn lose_waiting_watches(&self) {
        self.state.lock().lost_watches += 1;
        self.state.changed.notify_waiters();
    }

    /// Copies all items.
    #[must_use]
    pub fn copy(&self) -> StoreCopy {
        let inner = self.state.lock();
        StoreCopy {
            revision: inner.revision,
            items: inner.items.clone(),
        }
    }

    /// Replaces all items by those of a copy. Later changes get the revisions that follow the
    /// copy's, which may have been given out before.
    pub fn restore(&self, copy: StoreCopy) {
        let mut inner = self.state.lock();
        inner.revision = copy.revision;
        inner.items = copy.items;
        inner.removed.clear();
        inner.era += 1;
        drop(inner);
        self.state.changed.notify_waiters();
    }

    /// Revision of the last change.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.state.lock().revision
    }

    /// Number of requests received so far, in any mode.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.state.lock().calls
    }
}

impl State {
    /// Whether the changes after a revision are no longer kept, or the revision is unknown.
    fn is_compacted(&self, after: u64) -> bool {
        let inner = self.lock();
        let history = inner.history;
        history.is_some_and(|history| after + history < inner.revision) || after > inner.revision
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn serve(state: &State, req: Request<Incoming>) -> HandlerResult {
    let mut res = answer(state, req).await?;
    let era = state.lock().era;
    if era > 0 {
        res.headers_mut().insert("store-era", era.into());
    }
    Ok(res)
}

async fn answer(state: &State, req: Request<Incoming>) -> HandlerResult {
    let mode = {
        let mut inner = state.lock();
        inner.calls += 1;
        inner.mode
    };
    match mode {
        StoreMode::Serving | StoreMode::WithoutHistory => {}
        StoreMode::Busy => return Ok(status(StatusCode::SERVICE_UNAVAILABLE)),
        StoreMode::RateLimited => return Ok(status(StatusCode::TOO_MANY_REQUESTS)),
        StoreMode::Silent => return std::future::pending().await,
        StoreMode::Closing => return Err(CloseConnection),
    }
    let query = req.uri().query().unwrap_or_default();
    let params: BTreeMap<String, String> = form_urlencoded::parse(query.as_bytes())
        .into_owned()
        .collect();
    let param = |name: &str| params.get(name).map_or("", String::as_str);
    Ok(match req.uri().path() {
        "/-/kv-key" => key(state, param("key")),
        "/-/kv-range" => range(state, param("prefix"), param("after")),
        "/-/kv-watch" if mode == StoreMode::WithoutHistory => status(StatusCode::GONE),
        "/-/kv-watch" => {
            let after = param("after").parse().unwrap_or(0);
            if state.is_compacted(after) {
                return Ok(status(StatusCode::GONE));
            }
            let wait = param("waitMs")
                .parse()
                .map_or(Duration::ZERO, Duration::from_millis);
            watch(state, param("prefix"), after, wait).await
        }
        _ => status(StatusCode::NOT_FOUND),
    })
}

fn item(key: &str, (value, revision): &(Vec<u8>, u64)) -> Value {
    json!({
        "key": key,
        "value": STANDARD.encode(value),
        "revision": revision,
        "created": revision,
        "lease": 0,
    })
}

fn key(state: &State, key: &str) -> Response<Body> {
    let inner = state.lock();
    let Some(found) = inner.items.get(key) else {
        return status(StatusCode::NOT_FOUND);
    };
    let mut body = item(key, found);
    body["asOf"] = inner.revision.into();
    json_body(&body)
}

fn range(state: &State, prefix: &str, after: &str) -> Response<Body> {
    let inner = state.lock();
    let mut found = inner
        .items
        .iter()
        .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
    let items: Vec<Value> = found
        .by_ref()
        .take(inner.page_size)
        .map(|(key, value)| item(key, value))
        .collect();
    let truncated = found.next().is_some();
    json_body(&json!({ "items": items, "truncated": truncated, "asOf": inner.revision }))
}

async fn watch(state: &State, prefix: &str, after: u64, wait: Duration) -> Response<Body> {
    let until = tokio::time::Instant::now() + wait;
    let lost_before = state.lock().lost_watches;
    loop {
        let changed = state.changed.notified();
        if state.lock().lost_watches != lost_before {
            return std::future::pending().await;
        }
        if state.is_compacted(after) {
            return status(StatusCode::GONE);
        }
        if let Some(body) = events(state, prefix, after) {
            return json_body(&body);
        }
        if tokio::time::timeout_at(until, changed).await.is_err() {
            let revision = state.lock().revision;
            return json_body(&json!({ "events": [], "asOf": revision }));
        }
    }
}

/// Returns the events after a revision, or `None` if there are none.
fn events(state: &State, prefix: &str, after: u64) -> Option<Value> {
    let inner = state.lock();
    let written = inner
        .items
        .iter()
        .filter(|(key, (_, revision))| key.starts_with(prefix) && *revision > after)
        .map(|(key, value)| item(key, value));
    let removed = inner
        .removed
        .iter()
        .filter(|(key, revision)| key.starts_with(prefix) && **revision > after)
        .map(|(key, revision)| json!({ "key": key, "revision": revision, "tombstone": true }));
    let events: Vec<Value> = written.chain(removed).collect();
    if events.is_empty() {
        return None;
    }
    Some(json!({ "events": events, "asOf": inner.revision }))
}

fn json_body(body: &Value) -> Response<Body> {
    let bytes = Bytes::from(body.to_string());
    Response::new(Full::new(bytes).boxed())
}

fn status(status: StatusCode) -> Response<Body> {
    let mut res = Response::new(Full::new(Bytes::new()).boxed());
    *res.status_mut() = status;
    res
}
