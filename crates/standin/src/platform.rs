//! The platform: a configuration document and an instance list that can only be
//! read and watched, and that count each call.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use config::Document;
use http::{Request, StatusCode};
use hyper::body::Incoming;
use model::Revision;
use tokio::sync::watch;

use crate::http_server::{Answer, Hangup, Server, query_parsed, respond};
use crate::instance_list::{ListedInstance, list_bytes};

const LONGEST_WAIT: Duration = Duration::from_mins(1);

/// How the platform answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlatformMode {
    /// At once.
    #[default]
    Up,
    /// After a delay.
    Slow(Duration),
    /// Closes each connection in place of an answer.
    Refusing,
    /// Never answers.
    Hanging,
}

/// Which revision the platform takes for its latest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Serving {
    /// The last published one.
    #[default]
    Latest,
    /// An older one; watches for something newer wait in vain.
    Stale(Revision),
    /// An older one, given also to readers that said they hold a newer one.
    Reverted(Revision),
}

/// The running stand-in; ends when dropped.
#[derive(Debug)]
pub struct Platform {
    server: Server,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    changed: watch::Sender<()>,
}

#[derive(Debug, Default)]
struct State {
    mode: PlatformMode,
    serving: Serving,
    documents: Vec<(Revision, Bytes)>,
    list: (u64, Bytes),
    next_list_version: u64,
    list_lag: Duration,
    calls: u64,
    waiting: u64,
}

impl Platform {
    /// Starts on a free loopback port, with no document and an empty list.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub async fn start() -> io::Result<Self> {
        let shared = Arc::new(Shared {
            state: Mutex::default(),
            changed: watch::channel(()).0,
        });
        shared.apply_list(0, list_bytes(0, &[]));
        let handler = Arc::clone(&shared);
        let server = Server::start(None, move |req| answer(Arc::clone(&handler), req)).await?;
        Ok(Platform { server, shared })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Publishes a document under its own revision.
    pub fn publish(&self, document: &Document) {
        self.publish_bytes(document.revision, document.to_bytes());
    }

    /// Publishes any bytes under a revision, such as a broken document.
    pub fn publish_bytes(&self, revision: Revision, bytes: impl Into<Bytes>) {
        let published = (revision, bytes.into());
        self.change(|state| state.documents.push(published));
    }

    /// Replaces the instance list; readers see it after the lag.
    pub fn set_instances(&self, instances: &[ListedInstance]) {
        let (version, lag) = self.shared.reserve_list_version();
        let bytes = list_bytes(version, instances);
        if lag.is_zero() {
            self.shared.apply_list(version, bytes);
            return;
        }
        let shared = Arc::clone(&self.shared);
        tokio::spawn(async move {
            tokio::time::sleep(lag).await;
            shared.apply_list(version, bytes);
        });
    }

    /// Sets how long later changes of the list stay unseen.
    pub fn set_list_lag(&self, lag: Duration) {
        self.change(|state| state.list_lag = lag);
    }

    /// Sets how it answers, also to the watches that wait now.
    pub fn set_mode(&self, mode: PlatformMode) {
        self.change(|state| state.mode = mode);
    }

    /// Sets which revision it takes for its latest.
    pub fn serve(&self, serving: Serving) {
        self.change(|state| state.serving = serving);
    }

    /// Calls so far, each watch counted once.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.shared.lock().calls
    }

    /// Watches that wait now.
    #[must_use]
    pub fn waiting(&self) -> u64 {
        self.shared.lock().waiting
    }

    fn change(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.shared.lock());
        self.shared.changed.send_replace(());
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn reserve_list_version(&self) -> (u64, Duration) {
        let mut state = self.lock();
        state.next_list_version += 1;
        (state.next_list_version, state.list_lag)
    }

    fn apply_list(&self, version: u64, bytes: Bytes) {
        let mut state = self.lock();
        if version >= state.list.0 {
            state.list = (version, bytes);
        }
        drop(state);
        self.changed.send_replace(());
    }
}

impl State {
    fn document(&self) -> Option<(u64, Bytes)> {
        let found = match self.serving {
            Serving::Latest => self.documents.last(),
            Serving::Stale(revision) | Serving::Reverted(revision) => self
                .documents
                .iter()
                .rfind(|(published, _)| *published == revision),
        };
        found.map(|(revision, bytes)| (u64::from(*revision), bytes.clone()))
    }

    fn satisfies(&self, found: u64, after: Option<u64>) -> bool {
        after.is_none_or(|after| found > after) || matches!(self.serving, Serving::Reverted(_))
    }
}

/// Counts one waiting watch for as long as it lives.
struct Waiting<'a>(&'a Shared);

impl<'a> Waiting<'a> {
    fn new(shared: &'a Shared) -> Self {
        shared.lock().waiting += 1;
        Waiting(shared)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.lock().waiting -= 1;
    }
}

async fn answer(shared: Arc<Shared>, req: Request<Incoming>) -> Answer {
    shared.lock().calls += 1;
    let is_document = match req.uri().path() {
        "/v1/document" => true,
        "/v1/instances" => false,
        _ => return Ok(respond(StatusCode::NOT_FOUND, "")),
    };
    let after: Option<u64> = query_parsed(req.uri().query(), "after");
    let wait = query_parsed(req.uri().query(), "wait_ms")
        .map_or(Duration::ZERO, Duration::from_millis)
        .min(LONGEST_WAIT);
    let found = read(&shared, is_document, after, wait).await?;
    let Some((version, bytes)) = found else {
        return Ok(respond(StatusCode::NOT_FOUND, ""));
    };
    if !shared.lock().satisfies(version, after) {
        return Ok(respond(StatusCode::NOT_MODIFIED, ""));
    }
    let mut response = respond(StatusCode::OK, bytes);
    let header = if is_document { "revision" } else { "version" };
    response.headers_mut().insert(header, version.into());
    Ok(response)
}

/// Waits until something newer can be told, or the time has passed.
async fn read(
    shared: &Shared,
    is_document: bool,
    after: Option<u64>,
    wait: Duration,
) -> Result<Option<(u64, Bytes)>, Hangup> {
    let mut changed = shared.changed.subscribe();
    let end = tokio::time::Instant::now() + wait;
    let _waiting = after.map(|_| Waiting::new(shared));
    loop {
        obey_mode(shared).await?;
        changed.mark_unchanged();
        let found = current(shared, is_document);
        let told = match &found {
            Some((version, _)) => shared.lock().satisfies(*version, after),
            None => after.is_none(),
        };
        if told
            || tokio::time::timeout_at(end, changed.changed())
                .await
                .is_err()
        {
            return Ok(found);
        }
    }
}

fn current(shared: &Shared, is_document: bool) -> Option<(u64, Bytes)> {
    let state = shared.lock();
    if is_document {
        state.document()
    } else {
        Some(state.list.clone())
    }
}

async fn obey_mode(shared: &Shared) -> Result<(), Hangup> {
    let mut changed = shared.changed.subscribe();
    loop {
        let mode = shared.lock().mode;
        match mode {
            PlatformMode::Up => return Ok(()),
            PlatformMode::Refusing => return Err(Hangup),
            PlatformMode::Slow(delay) => {
                tokio::time::sleep(delay).await;
                return Ok(());
            }
            PlatformMode::Hanging => {
                // The sender lives as long as the shared state does.
                let _ = changed.changed().await;
            }
        }
    }
}
