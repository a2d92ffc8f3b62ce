//! A stand-in for the platform: a server for the configuration document and the
//! instance list, which clients can only read and watch. It counts all requests.
//!
//! Daemons on the users' platform read [`Store`](crate::Store) instead.

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

use crate::http_server::{CloseConnection, HandlerResult, Server, query_parsed, respond};
use crate::instance_list::{ListedInstance, list_bytes};

const MAX_WAIT: Duration = Duration::from_mins(1);

/// How the platform answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlatformMode {
    /// Immediately.
    #[default]
    Up,
    /// After a delay.
    Slow(Duration),
    /// Closes the connection without an answer.
    Closing,
    /// Holds requests until the mode changes.
    Hanging,
}

/// Which document the platform serves as the latest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Serving {
    /// The document published last.
    #[default]
    Latest,
    /// An older revision; watches for a newer one time out.
    Stale(Revision),
    /// An older revision, also served to readers that hold a newer one.
    Reverted(Revision),
}

/// A running platform; it stops when dropped.
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

    /// The address that the platform listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Publishes a document under the revision that it states.
    pub fn publish(&self, document: &Document) {
        self.publish_bytes(document.revision, document.to_bytes());
    }

    /// Publishes arbitrary bytes under a revision, such as a malformed document.
    pub fn publish_bytes(&self, revision: Revision, bytes: impl Into<Bytes>) {
        let published = (revision, bytes.into());
        self.change(|state| state.documents.push(published));
    }

    /// Replaces the instance list. Readers see the change after the list lag.
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

    /// Sets the delay until readers see later changes of the instance list.
    pub fn set_list_lag(&self, lag: Duration) {
        self.change(|state| state.list_lag = lag);
    }

    /// Sets how requests are answered, including watches that are waiting now.
    pub fn set_mode(&self, mode: PlatformMode) {
        self.change(|state| state.mode = mode);
    }

    /// Sets which document is served as the latest.
    pub fn serve(&self, serving: Serving) {
        self.change(|state| state.serving = serving);
    }

    /// Number of requests received so far; each watch counts once.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.shared.lock().calls
    }

    /// Number of watches that are waiting now.
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

/// Counts a watch as waiting until dropped.
struct WaitingGuard<'a>(&'a Shared);

impl<'a> WaitingGuard<'a> {
    fn new(shared: &'a Shared) -> Self {
        shared.lock().waiting += 1;
        WaitingGuard(shared)
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.lock().waiting -= 1;
    }
}

async fn answer(shared: Arc<Shared>, req: Request<Incoming>) -> HandlerResult {
    shared.lock().calls += 1;
    let is_document = match req.uri().path() {
        "/v1/document" => true,
        "/v1/instances" => false,
        _ => return Ok(respond(StatusCode::NOT_FOUND, "")),
    };
    let after: Option<u64> = query_parsed(req.uri().query(), "after");
    let wait = query_parsed(req.uri().query(), "wait_ms")
        .map_or(Duration::ZERO, Duration::from_millis)
        .min(MAX_WAIT);
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

/// Returns the current version once it is newer than `after`, or whatever is current
/// when `wait` has passed.
async fn read(
    shared: &Shared,
    is_document: bool,
    after: Option<u64>,
    wait: Duration,
) -> Result<Option<(u64, Bytes)>, CloseConnection> {
    let mut changed = shared.changed.subscribe();
    let end = tokio::time::Instant::now() + wait;
    let _waiting = after.map(|_| WaitingGuard::new(shared));
    loop {
        apply_mode(shared).await?;
        changed.mark_unchanged();
        let found = current(shared, is_document);
        let is_satisfied = match &found {
            Some((version, _)) => shared.lock().satisfies(*version, after),
            None => after.is_none(),
        };
        if is_satisfied
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

async fn apply_mode(shared: &Shared) -> Result<(), CloseConnection> {
    let mut changed = shared.changed.subscribe();
    loop {
        let mode = shared.lock().mode;
        match mode {
            PlatformMode::Up => return Ok(()),
            PlatformMode::Closing => return Err(CloseConnection),
            PlatformMode::Slow(delay) => {
                tokio::time::sleep(delay).await;
                return Ok(());
            }
            PlatformMode::Hanging => {
                // This can't fail, as the shared state holds the sender.
                let _ = changed.changed().await;
            }
        }
    }
}
