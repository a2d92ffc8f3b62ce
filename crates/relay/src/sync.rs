//! Tasks that keep the published states up to date by reading the source.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::relay::Relay;
use crate::source::{Document, PublishedState, Source, SourceError, WatchResult};
use crate::view::UpdateResult;

/// Time for which the source holds a watch open without a change.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Timeout of a response of the source, beyond the time that it was asked to wait, as a
/// fraction of the bound for applying a new configuration. The rest of the bound leaves time
/// for a second attempt.
const RESPONSE_TIMEOUT_FRACTION: f64 = 0.5;
/// Age of the target list at which this daemon reads the list itself, as a fraction of the
/// drain bound; the rest of the bound is for the read and for the propagation to other
/// daemons. Each time a fraction between the minimum and the maximum is drawn at random, so
/// that usually a single daemon reads the list and the others fetch it from that daemon.
const MIN_TARGETS_AGE_FRACTION: f64 = 0.3;
const MAX_TARGETS_AGE_FRACTION: f64 = 0.6;
/// Initial and maximum delay before a retry after a failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Exponential backoff with jitter.
struct Backoff(Duration);

impl Backoff {
    fn new() -> Self {
        Backoff(INITIAL_BACKOFF)
    }

    async fn wait(&mut self) {
        sleep(self.0.mul_f64(rand::random_range(0.5..1.0))).await;
        self.0 = (self.0 * 2).min(MAX_BACKOFF);
    }
}

/// Reachability of the source for one state; only a change of it is logged.
struct SourceReachability {
    state: PublishedState,
    unreachable: bool,
}

impl SourceReachability {
    fn new(state: PublishedState) -> Self {
        SourceReachability {
            state,
            unreachable: false,
        }
    }

    fn record_failure(&mut self, error: &SourceError) {
        if !std::mem::replace(&mut self.unreachable, true) {
            log::warn!(state:% = self.state, error:%; "store lost");
        }
    }

    fn record_success(&mut self) {
        if std::mem::replace(&mut self.unreachable, false) {
            log::info!(state:% = self.state; "store regained");
        }
    }
}

/// Keeps the configuration up to date: reads it, then watches it for changes.
pub(crate) async fn follow_table(relay: Rc<Relay>, source: Rc<Source>) {
    let mut reachability = SourceReachability::new(PublishedState::Table);
    let mut backoff = Backoff::new();
    let mut after = None;
    let limit = response_timeout(&relay);
    loop {
        let result = match after {
            None => read_table(&source, limit).await,
            Some(after) => {
                let watch = (source.watch_table)(after, WATCH_WAIT);
                with_timeout(WATCH_WAIT + limit, watch).await
            }
        };
        match result {
            Ok(watched) => {
                reachability.record_success();
                after = apply_watch_result(&relay, watched);
                if after.is_some() {
                    backoff = Backoff::new();
                } else {
                    backoff.wait().await;
                }
            }
            Err(error) => {
                reachability.record_failure(&error);
                // The watch is resumed; if the source no longer holds the changes made
                // meanwhile, it answers `HistoryGone`.
                backoff.wait().await;
            }
        }
    }
}

/// Timeout of a response of the source, beyond the time that it was asked to wait.
fn response_timeout(relay: &Relay) -> Duration {
    relay
        .cfg
        .bounds
        .config_apply
        .mul_f64(RESPONSE_TIMEOUT_FRACTION)
}

async fn read_table(source: &Source, limit: Duration) -> Result<WatchResult, SourceError> {
    let read = with_timeout(limit, (source.read)(PublishedState::Table)).await?;
    Ok(read.map_or(WatchResult::HistoryGone, WatchResult::Changed))
}

/// Applies the result of a read or watch. Returns the revision to watch from, or `None` if the
/// state has to be read again.
fn apply_watch_result(relay: &Relay, watched: WatchResult) -> Option<u64> {
    match watched {
        WatchResult::HistoryGone => None,
        WatchResult::Unchanged(revision) => Some(revision),
        WatchResult::Changed(document) => {
            let revision = document.revision;
            apply_document(relay, PublishedState::Table, document, Instant::now());
            Some(revision)
        }
    }
}

/// Keeps the target list up to date by reading it whenever it is stale.
pub(crate) async fn follow_targets(relay: Rc<Relay>, source: Rc<Source>) {
    let mut reachability = SourceReachability::new(PublishedState::Targets);
    let mut backoff = Backoff::new();
    let limit = response_timeout(&relay);
    loop {
        wait_until_stale(&relay).await;
        let began = Instant::now();
        match with_timeout(limit, (source.read)(PublishedState::Targets)).await {
            Ok(document) => {
                reachability.record_success();
                backoff = Backoff::new();
                if let Some(document) = document {
                    apply_document(&relay, PublishedState::Targets, document, began);
                }
            }
            Err(error) => {
                reachability.record_failure(&error);
                relay.view.borrow_mut().mark_targets_unreachable();
                backoff.wait().await;
            }
        }
    }
}

/// Waits until the target list is old enough to be read by this daemon.
async fn wait_until_stale(relay: &Relay) {
    let fraction = rand::random_range(MIN_TARGETS_AGE_FRACTION..MAX_TARGETS_AGE_FRACTION);
    let max_age = relay.cfg.bounds.drain.mul_f64(fraction);
    loop {
        let Some(read_at) = relay.view.borrow().targets_read_at() else {
            return;
        };
        if read_at.elapsed() >= max_age {
            return;
        }
        sleep_until(read_at + max_age).await;
    }
}

/// Parses a published state and puts it into force unless it is older than the current one. A
/// state that can't be parsed is logged and ignored.
pub(crate) fn apply_document(
    relay: &Relay,
    state: PublishedState,
    document: Document,
    read_at: Instant,
) {
    let revision = document.revision;
    let result = match state {
        PublishedState::Table => (relay.parse.table)(&document.bytes).map(|table| {
            let (version, routes) = (table.version(), table.routes().len());
            if relay.update_table(table, document) == UpdateResult::Applied {
                log::info!(version, revision, routes; "configuration in force");
            }
        }),
        PublishedState::Targets => (relay.parse.targets)(&document.bytes).map(|targets| {
            let count = targets.len();
            if relay.update_targets(&targets, document, read_at) == UpdateResult::Applied {
                log::info!(revision, count; "targets changed");
            }
        }),
    };
    if let Err(error) = result {
        log::error!(state:%, revision, error:%; "published state refused");
    }
}

/// Limits the time of a request to the source. On a timeout the request is dropped, which
/// closes its connection.
async fn with_timeout<T>(
    limit: Duration,
    request: impl Future<Output = Result<T, SourceError>>,
) -> Result<T, SourceError> {
    timeout(limit, request).await.unwrap_or_else(|_| {
        Err(SourceError::Connection {
            problem: "response timeout".to_owned(),
        })
    })
}
