//! Reading the published states.

use std::rc::Rc;
use std::time::Duration;

use routes::Roster;
use tokio::time::{Instant, sleep, timeout};

use crate::relay::Relay;
use crate::source::{Document, Source, SourceError, State, Watched};

/// Time for which a watch waits at the source.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Time that an answer of the source may take beyond what it was asked to wait: several times
/// its usual answer, and well below the bound for a new configuration.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time between two reads of the targets: half of the least bound for leaving that is known.
const TARGETS_INTERVAL: Duration = Duration::from_millis(900);
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
    state: State,
    lost: bool,
}

impl Dependency {
    fn new(state: State) -> Self {
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
    let mut dependency = Dependency::new(State::Table);
    let mut backoff = Backoff::new();
    let mut after = None;
    loop {
        let result = match after {
            None => read_table(&source).await,
            Some(after) => {
                let watch = (source.watch_table)(after, WATCH_WAIT);
                in_time(WATCH_WAIT + ANSWER_TIMEOUT, watch).await
            }
        };
        match result {
            Ok(watched) => {
                dependency.answered();
                backoff = Backoff::new();
                after = take_table(&relay, &source, watched);
                if after.is_none() {
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

async fn read_table(source: &Source) -> Result<Watched, SourceError> {
    let read = in_time(ANSWER_TIMEOUT, (source.read)(State::Table)).await?;
    Ok(read.map_or(Watched::HistoryGone, Watched::Changed))
}

/// Takes over what a read brought; the revision from which to watch on.
fn take_table(relay: &Relay, source: &Source, watched: Watched) -> Option<u64> {
    match watched {
        Watched::HistoryGone => None,
        Watched::Unchanged(revision) => Some(revision),
        Watched::Changed(document) => {
            let revision = document.revision;
            offer_table(relay, source, &document);
            Some(revision)
        }
    }
}

/// Takes over a configuration unless it is older than the one in force or can't be read.
fn offer_table(relay: &Relay, source: &Source, document: &Document) {
    let revision = document.revision;
    match (source.parse_table)(&document.bytes) {
        Ok(table) => {
            let version = table.version();
            let known = relay.table().map(|table| table.version());
            if known.is_some_and(|known| known >= version) {
                return;
            }
            let routes = table.routes().len();
            relay.set_table(table);
            log::info!(version, revision, routes; "configuration in force");
        }
        Err(error) => log::error!(revision, error:%; "configuration refused"),
    }
}

/// Keeps the targets up to date.
pub(crate) async fn follow_targets(relay: Rc<Relay>, source: Rc<Source>) {
    let mut dependency = Dependency::new(State::Targets);
    let mut roster = Roster::default();
    let mut newest = 0;
    loop {
        let began = Instant::now();
        let read = in_time(ANSWER_TIMEOUT, (source.read)(State::Targets)).await;
        match read {
            Ok(Some(document)) if document.revision >= newest => {
                dependency.answered();
                newest = document.revision;
                take_targets(&relay, &source, &mut roster, &document);
            }
            Ok(_) => dependency.answered(),
            Err(error) => {
                dependency.failed(&error);
                roster.lost();
            }
        }
        let spent = began.elapsed();
        let pause = TARGETS_INTERVAL.saturating_sub(spent).max(RETRY_PAUSE);
        sleep(pause.mul_f64(rand::random_range(0.8..1.0))).await;
    }
}

fn take_targets(relay: &Relay, source: &Source, roster: &mut Roster, document: &Document) {
    match (source.parse_targets)(&document.bytes) {
        Ok(targets) => {
            if roster.update(&targets, Instant::now().into_std()) {
                let revision = document.revision;
                let targets = roster.snapshot();
                log::info!(revision, count = targets.len(); "targets changed");
                relay.set_targets(targets);
            }
        }
        Err(error) => {
            log::error!(revision = document.revision, error:%; "list of targets refused");
        }
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
