//! Tasks that keep the published states up to date by reading the source.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use rand::seq::IteratorRandom;
use routes::Readers;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::dispatch::millis;
use crate::pull;
use crate::relay::Relay;
use crate::source::{
    Document, PublishedState, ReadMode, Source, SourceError, SourceFuture, Via, WatchResult,
};
use crate::view::UpdateResult;

/// Time for which the source holds a watch open without a change. A connection that went silent
/// shows only after that time; until then, changes are found by checks.
const WATCH_WAIT: Duration = Duration::from_secs(5);
/// Timeout of a response of the source, beyond the time that it was asked to wait, as a
/// fraction of the bound for applying a new configuration. The rest of the bound leaves time
/// for a second attempt.
const RESPONSE_TIMEOUT_FRACTION: f64 = 0.5;
/// Interval at which readers that had nothing newer are asked again.
const ASK_INTERVAL: Duration = Duration::from_millis(200);
/// Daemons that are asked when the source can't be read.
const PEERS_ASKED: usize = 2;
/// Interval at which a daemon that is no reader checks whether it has become one.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time without an answer of any reader after which a daemon reads a first state itself.
const READER_TIMEOUT: Duration = Duration::from_millis(800);
/// Time after which it does so although readers answer, as they may be cut off from the source.
const MAX_READER_WAIT: Duration = Duration::from_secs(5);
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
        sleep(self.next()).await;
    }

    /// Returns the next delay.
    fn next(&mut self) -> Duration {
        let delay = self.0.mul_f64(rand::random_range(0.5..1.0));
        self.0 = (self.0 * 2).min(MAX_BACKOFF);
        delay
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

/// Keeps the configuration up to date: a reader reads it, then watches it for changes; the other
/// daemons learn of changes from the readers.
pub(crate) async fn follow_table(relay: Rc<Relay>, source: Rc<Source>) {
    let mut reachability = SourceReachability::new(PublishedState::Table);
    let mut backoff = Backoff::new();
    let limit = response_timeout(&relay);
    let mut after = None;
    loop {
        if wait_for_reader_role(&relay).await == WaitResult::BecameReader {
            // A watch continues from the configuration that another daemon read.
            after = relay.view.borrow().table_document().map(|(rev, _)| rev);
        }
        let (result, via) = match after {
            None => (read_table(&source, limit).await, Via::Read),
            Some(after) => {
                let watch = (source.watch_table)(after, WATCH_WAIT);
                (with_timeout(WATCH_WAIT + limit, watch).await, Via::Watch)
            }
        };
        match result {
            Ok(watched) => {
                reachability.record_success();
                after = apply_watch_result(&relay, watched, via);
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

/// Result of [`wait_for_reader_role`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WaitResult {
    /// The daemon was a reader already, or has no configuration yet.
    Unchanged,
    /// It has become a reader.
    BecameReader,
}

/// Waits until this daemon has to read the configuration itself.
async fn wait_for_reader_role(relay: &Relay) -> WaitResult {
    let began = Instant::now();
    let mut result = WaitResult::Unchanged;
    while !relay.readers.borrow().is_reader() {
        if relay.table().is_none() && readers_are_overdue(relay, began) {
            return WaitResult::Unchanged;
        }
        result = WaitResult::BecameReader;
        sleep(ROLE_CHECK_INTERVAL).await;
    }
    result
}

/// True if a daemon that has waited for a first state since `began` is to read it itself: no reader
/// has answered for some time, or those that answer have none either.
fn readers_are_overdue(relay: &Relay, began: Instant) -> bool {
    let answered = relay.last_compared.get().map_or(began, |at| at.max(began));
    answered.elapsed() >= READER_TIMEOUT || began.elapsed() >= MAX_READER_WAIT
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
    let read = with_timeout(
        limit,
        (source.read)(PublishedState::Table, ReadMode::Current),
    )
    .await?;
    Ok(read.map_or(WatchResult::HistoryGone, WatchResult::Changed))
}

/// Applies the result of a read or watch. Returns the revision to watch from, or `None` if the
/// state has to be read again.
fn apply_watch_result(relay: &Relay, watched: WatchResult, via: Via) -> Option<u64> {
    match watched {
        WatchResult::HistoryGone => None,
        WatchResult::Unchanged(revision) => Some(revision),
        WatchResult::Changed(document) => {
            let revision = document.revision;
            apply_document(relay, PublishedState::Table, document, None, via);
            Some(revision)
        }
    }
}

/// Keeps the target list up to date, and notices changes of the configuration that the watches miss:
/// a reader reads the list and checks the configuration whenever either is stale; the other daemons
/// ask the readers, and do the same if these know nothing newer.
pub(crate) async fn follow_targets(relay: Rc<Relay>, source: Rc<Source>) {
    let mut reachability = SourceReachability::new(PublishedState::Targets);
    let mut backoff = Backoff::new();
    let mut next_read = Instant::now();
    let limit = response_timeout(&relay);
    find_readers(&relay, &source, limit).await;
    let began = Instant::now();
    loop {
        let readers = relay.readers.borrow().clone();
        let ages = readers.ages(strictest_bound(&relay), rand::random());
        wait_until_behind(&relay, &readers, ages.ask).await;
        ask(&relay, &readers.to_ask(), ages.ask).await;
        if !is_older(&relay, ages.ask) {
            sleep(ROLE_CHECK_INTERVAL).await;
            continue;
        }
        let is_due = if relay.view.borrow().targets_read_at().is_some() || readers.is_reader() {
            is_older(&relay, ages.read)
        } else {
            readers_are_overdue(&relay, began)
        };
        if !is_due || Instant::now() < next_read {
            sleep(ASK_INTERVAL).await;
            continue;
        }
        let (table_checked, targets_read) = tokio::join!(
            check_table(&relay, &source, limit),
            update_targets(&relay, &source, limit),
        );
        match &targets_read {
            Ok(()) => reachability.record_success(),
            Err(error) => {
                reachability.record_failure(error);
                relay.view.borrow_mut().mark_targets_unreachable();
            }
        }
        if table_checked.and(targets_read).is_ok() {
            backoff = Backoff::new();
        } else {
            next_read = Instant::now() + backoff.next();
            ask(&relay, &random_peers(&relay), ages.ask).await;
        }
    }
}

/// The shorter one of the bounds within which changes of both states must be known.
fn strictest_bound(relay: &Relay) -> Duration {
    relay.cfg.bounds.drain.min(relay.cfg.bounds.config_apply)
}

/// Reads the target list and applies it.
async fn update_targets(
    relay: &Relay,
    source: &Source,
    limit: Duration,
) -> Result<(), SourceError> {
    let sent_at = Instant::now();
    let document = with_timeout(limit, read_targets(source, ReadMode::Current)).await?;
    if let Some(document) = document {
        let state = PublishedState::Targets;
        apply_document(relay, state, document, Some(sent_at), Via::Read);
    }
    Ok(())
}

/// Checks whether the configuration has changed, and applies the change. A watch can't replace this:
/// one whose connection went silent looks like one without a change.
async fn check_table(relay: &Relay, source: &Source, limit: Duration) -> Result<(), SourceError> {
    let sent_at = Instant::now();
    let held = relay.view.borrow().table_document();
    let checked = match held {
        Some((revision, _)) => with_timeout(limit, (source.check_table)(revision)).await,
        None => Ok(WatchResult::HistoryGone),
    };
    let result = match checked {
        Ok(WatchResult::HistoryGone) => read_table(source, limit).await,
        checked => checked,
    };
    match result {
        Ok(watched) => {
            apply_watch_result(relay, watched, Via::Check);
            relay.view.borrow_mut().confirm_table(sent_at);
            Ok(())
        }
        Err(error) => {
            log::debug!(error:%; "failed to check the configuration");
            Err(error)
        }
    }
}

/// Finds out whom to ask for a first target list. A list that may be stale suffices for that, but
/// not for requests.
async fn find_readers(relay: &Relay, source: &Source, limit: Duration) {
    let mut backoff = Backoff::new();
    while relay.readers.borrow().is_unknown() {
        match with_timeout(limit, read_targets(source, ReadMode::MaybeStale)).await {
            Ok(Some(document)) => match (relay.parse.targets)(&document.bytes) {
                Ok(targets) => relay.set_readers(&targets),
                Err(error) => log::error!(error:%; "published state refused"),
            },
            Ok(None) => {}
            Err(error) => log::info!(error:%; "store not reachable yet"),
        }
        if relay.readers.borrow().is_unknown() {
            backoff.wait().await;
        }
    }
}

fn read_targets(source: &Source, mode: ReadMode) -> SourceFuture<Option<Document>> {
    (source.read)(PublishedState::Targets, mode)
}

/// Asks other daemons, one after the other, until both states are younger than `age`.
async fn ask(relay: &Rc<Relay>, daemons: &[IpAddr], age: Duration) {
    for ip in daemons {
        let daemon = SocketAddr::new(*ip, relay.cfg.listen.mesh.port());
        match pull::compare(relay, daemon).await {
            Ok(()) => relay.last_compared.set(Some(Instant::now())),
            Err(error) => log::debug!(daemon:%, error; "daemon did not answer"),
        }
        if !is_older(relay, age) {
            return;
        }
    }
}

/// Draws daemons to ask when the source can't be read: the readers may be cut off from it as well.
fn random_peers(relay: &Relay) -> Vec<IpAddr> {
    let view = relay.view.borrow();
    let others = view.targets.iter().map(|target| target.address.ip());
    let others = others.filter(|ip| *ip != relay.cfg.target.ip());
    others.choose_multiple(&mut rand::rng(), PEERS_ASKED)
}

/// True if either state was last known to be the newest one at least `age` ago, or never.
fn is_older(relay: &Relay, age: Duration) -> bool {
    let confirmed_at = relay.view.borrow().confirmed_at();
    confirmed_at.is_none_or(|at| at.elapsed() >= age)
}

/// Waits until either state is older than `age`. Returns at once if one is unknown, or if readers
/// may have a configuration and this daemon has none.
async fn wait_until_behind(relay: &Relay, readers: &Readers, age: Duration) {
    while !is_older(relay, age) && (relay.table().is_some() || readers.is_reader()) {
        let confirmed_at = relay.view.borrow().confirmed_at();
        let Some(confirmed_at) = confirmed_at else {
            return;
        };
        sleep_until(confirmed_at + age).await;
    }
}

/// Parses a published state and puts it into force unless it is older than the current one. A
/// state that can't be parsed is logged and ignored.
///
/// `confirmed_at` is when it was last known to be the newest one. A target list without that time
/// is ignored.
pub(crate) fn apply_document(
    relay: &Relay,
    state: PublishedState,
    document: Document,
    confirmed_at: Option<Instant>,
    via: Via,
) {
    let revision = document.revision;
    let result = match state {
        PublishedState::Table => (relay.parse.table)(&document.bytes).map(|table| {
            let (version, routes) = (table.version(), table.routes().len());
            let previous_age = relay.view.borrow().table_age(Instant::now());
            if relay.update_table(table, document) == UpdateResult::Applied {
                let previous_age_ms = previous_age.map(millis);
                log::info!(
                    version, revision, routes, via:%, previous_age_ms;
                    "configuration in force"
                );
            }
            if let Some(confirmed_at) = confirmed_at {
                relay.view.borrow_mut().confirm_table(confirmed_at);
            }
        }),
        PublishedState::Targets => (relay.parse.targets)(&document.bytes).map(|targets| {
            let count = targets.len();
            let Some(read_at) = confirmed_at else {
                log::debug!(revision; "target list of unknown age ignored");
                return;
            };
            if relay.update_targets(targets, document, read_at) == UpdateResult::Applied {
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
