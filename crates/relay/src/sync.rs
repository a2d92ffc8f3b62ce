//! Reading the published states.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::relay::Relay;
use crate::source::{Document, PublishedState, Source, SourceError, WatchResult};
use crate::view::Offered;

/// Time for which a watch waits at the source.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Time that an answer of the source may take beyond what it was asked to wait, as a part of
/// the bound for a new configuration: there has to be time for a second try.
const ANSWER_PART: f64 = 0.5;
/// Age of the list of targets at which this daemon reads it itself, as parts of the bound for a
/// target that leaves: what remains is for the read and for the way to the other daemons. It is
/// drawn anew each time between the least and the most, so that mostly one daemon reads and the
/// others hear of it.
const LEAST_TARGETS_AGE_PART: f64 = 0.3;
const MOST_TARGETS_AGE_PART: f64 = 0.6;
/// First and longest time between two tries after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(800);

/// Grows from failure to failure.
struct Backoff(Duration);

impl Backoff {
    fn new() -> Self {
        Backoff(RETRY_PAUSE)
    }

    async fn wait(&mut self) {
        sleep(self.0.mul_f64(rand::random_range(0.5..1.0))).await;
        self.0 = (self.0 * 2).min(MAX_RETRY_PAUSE);
    }
}

/// Whether the source was in reach, so that only a change is logged.
struct Dependency {
    state: PublishedState,
    lost: bool,
}

impl Dependency {
    fn new(state: PublishedState) -> Self {
        Dependency { state, lost: false }
    }

    fn failed(&mut self, error: &SourceError) {
        if !std::mem::replace(&mut self.lost, true) {
            log::warn!(state:% = self.state, error:%; "store lost");
        }
    }

    fn answered(&mut self) {
        if std::mem::replace(&mut self.lost, false) {
            log::info!(state:% = self.state; "store regained");
        }
    }
}

/// Keeps the configuration up to date.
pub(crate) async fn follow_table(relay: Rc<Relay>, source: Rc<Source>) {
    let mut dependency = Dependency::new(PublishedState::Table);
    let mut backoff = Backoff::new();
    let mut after = None;
    let limit = answer_timeout(&relay);
    loop {
        let result = match after {
            None => read_table(&source, limit).await,
            Some(after) => {
                let watch = (source.watch_table)(after, WATCH_WAIT);
                in_time(WATCH_WAIT + limit, watch).await
            }
        };
        match result {
            Ok(watched) => {
                dependency.answered();
                after = take_table(&relay, watched);
                if after.is_some() {
                    backoff = Backoff::new();
                } else {
                    backoff.wait().await;
                }
            }
            Err(error) => {
                dependency.failed(&error);
                // What changed meanwhile may lie outside of the history.
                backoff.wait().await;
            }
        }
    }
}

/// Time that an answer of the source may take.
fn answer_timeout(relay: &Relay) -> Duration {
    relay.cfg.bounds.config_apply.mul_f64(ANSWER_PART)
}

async fn read_table(source: &Source, limit: Duration) -> Result<WatchResult, SourceError> {
    let read = in_time(limit, (source.read)(PublishedState::Table)).await?;
    Ok(read.map_or(WatchResult::HistoryGone, WatchResult::Changed))
}

/// Takes over what a read brought; the revision from which to watch on.
fn take_table(relay: &Relay, watched: WatchResult) -> Option<u64> {
    match watched {
        WatchResult::HistoryGone => None,
        WatchResult::Unchanged(revision) => Some(revision),
        WatchResult::Changed(document) => {
            let revision = document.revision;
            offer(relay, PublishedState::Table, document, Instant::now());
            Some(revision)
        }
    }
}

/// Keeps the targets up to date.
pub(crate) async fn follow_targets(relay: Rc<Relay>, source: Rc<Source>) {
    let mut dependency = Dependency::new(PublishedState::Targets);
    let mut backoff = Backoff::new();
    let limit = answer_timeout(&relay);
    loop {
        wait_until_old(&relay).await;
        let began = Instant::now();
        match in_time(limit, (source.read)(PublishedState::Targets)).await {
            Ok(document) => {
                dependency.answered();
                backoff = Backoff::new();
                if let Some(document) = document {
                    offer(&relay, PublishedState::Targets, document, began);
                }
            }
            Err(error) => {
                dependency.failed(&error);
                relay.view.borrow_mut().targets_lost();
                backoff.wait().await;
            }
        }
    }
}

/// Returns when the list of targets has to be read again.
async fn wait_until_old(relay: &Relay) {
    let part = rand::random_range(LEAST_TARGETS_AGE_PART..MOST_TARGETS_AGE_PART);
    let most = relay.cfg.bounds.drain.mul_f64(part);
    loop {
        let Some(read_at) = relay.view.borrow().targets_read_at() else {
            return;
        };
        if read_at.elapsed() >= most {
            return;
        }
        sleep_until(read_at + most).await;
    }
}

/// Takes over a state as it was published, unless it is older than what is known or can't be
/// decoded.
pub(crate) fn offer(relay: &Relay, state: PublishedState, document: Document, read_at: Instant) {
    let revision = document.revision;
    let result = match state {
        PublishedState::Table => (relay.parse.table)(&document.bytes).map(|table| {
            let (version, routes) = (table.version(), table.routes().len());
            if relay.offer_table(table, document) == Offered::Taken {
                log::info!(version, revision, routes; "configuration in force");
            }
        }),
        PublishedState::Targets => (relay.parse.targets)(&document.bytes).map(|targets| {
            let count = targets.len();
            if relay.offer_targets(&targets, document, read_at) == Offered::Taken {
                log::info!(revision, count; "targets changed");
            }
        }),
    };
    if let Err(error) = result {
        log::error!(state:%, revision, error:%; "published state refused");
    }
}

/// Ends a read that takes too long; its connection is closed with it.
async fn in_time<T>(
    limit: Duration,
    read: impl Future<Output = Result<T, SourceError>>,
) -> Result<T, SourceError> {
    timeout(limit, read).await.unwrap_or_else(|_| {
        Err(SourceError::Connection {
            problem: "no answer in time".to_owned(),
        })
    })
}
