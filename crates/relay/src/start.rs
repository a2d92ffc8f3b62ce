//! Start and graceful shutdown of one daemon.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use crate::crash_news;
use crate::error::Error;
use crate::header_names::HeaderNames;
use crate::listen::{self, ListenerKind};
use crate::relay::{Ending, Phase, Relay};
use crate::settings::Settings;
use crate::source::Source;
use crate::sync;

/// Interval of closing connections that have been idle, and of dropping targets that have been
/// missing, for too long.
const CLEANUP_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum duration of [`Phase::Leaving`], in which callers learn to use another daemon: long
/// enough for two readiness checks, one per second, and one more that is in progress.
const MAX_LEAVING_TIME: Duration = Duration::from_millis(2_500);
/// Maximum fraction of the grace period spent in [`Phase::Leaving`]; the rest is for requests
/// in flight.
const LEAVING_FRACTION: f64 = 0.42;
/// Fraction of the grace period after which requests that wait in a queue are withdrawn. The rest is
/// for those that run.
const WITHDRAW_FRACTION: f64 = 0.8;
/// Time before the exit at which the requests that are left are answered.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(100);
/// Fraction of the grace period after which the daemon stops even with requests in flight,
/// before the process is killed.
const SHUTDOWN_FRACTION: f64 = 0.95;
/// Interval of checking for requests in flight and open connections during the shutdown.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Runs one daemon until `stop` completes, then shuts it down gracefully within the grace
/// period.
///
/// Must be called within a [`tokio::task::LocalSet`].
///
/// # Errors
///
/// Returns an error if the daemon can't listen on one of its addresses.
pub async fn run(
    cfg: Settings,
    names: HeaderNames,
    source: Source,
    stop: impl Future<Output = ()>,
) -> Result<(), Error> {
    let listeners = [
        (listen::bind(cfg.listen.outbound)?, ListenerKind::Outbound),
        (listen::bind(cfg.listen.mesh)?, ListenerKind::Mesh),
        (listen::bind(cfg.listen.ready)?, ListenerKind::Ready),
        (listen::bind(cfg.listen.metrics)?, ListenerKind::Metrics),
    ];
    log::info!(name = cfg.name.as_str(), service = cfg.service.as_str(); "started");
    let grace = cfg.bounds.grace;
    let relay = Relay::new(cfg, names, source.parse);
    let source = Rc::new(source);
    for (listener, kind) in listeners {
        tokio::task::spawn_local(listen::accept(Rc::clone(&relay), listener, kind));
    }
    tokio::task::spawn_local(sync::follow_table(Rc::clone(&relay), Rc::clone(&source)));
    tokio::task::spawn_local(sync::follow_targets(Rc::clone(&relay), source));
    tokio::task::spawn_local(Rc::clone(&relay.admission).run_timers());
    tokio::task::spawn_local(crash_news::spread(Rc::clone(&relay)));
    tokio::task::spawn_local(clean_up_periodically(Rc::clone(&relay)));
    stop.await;
    let stop_requested = Instant::now();
    relay.phase.set(Phase::Leaving);
    log::info!(in_flight = relay.in_flight.get(); "leaving");
    sleep_until(stop_requested + MAX_LEAVING_TIME.min(grace.mul_f64(LEAVING_FRACTION))).await;
    relay.phase.set(Phase::Closing);
    let shutdown_deadline = stop_requested + grace.mul_f64(SHUTDOWN_FRACTION);
    let withdraw_at = stop_requested + grace.mul_f64(WITHDRAW_FRACTION);
    let stages = [
        (withdraw_at, Ending::Withdrawn),
        (shutdown_deadline - LAST_ANSWERS_TIME, Ending::Answered),
    ];
    let mut emptied = false;
    for (end, next) in stages {
        emptied = timeout_at(end, wait_until_idle(&relay)).await.is_ok();
        if emptied {
            break;
        }
        log::info!(in_flight = relay.in_flight.get(), next:?; "requests still in flight");
        relay.ending.send_replace(next);
    }
    emptied |= timeout_at(shutdown_deadline, wait_until_idle(&relay))
        .await
        .is_ok();
    relay.disconnect.send_replace(true);
    let flushed = timeout_at(shutdown_deadline, wait_until_disconnected(&relay))
        .await
        .is_ok();
    log::info!(
        emptied,
        flushed,
        in_flight = relay.in_flight.get(),
        connections = relay.connections.get();
        "stopped"
    );
    Ok(())
}

/// Waits until no request is in flight.
async fn wait_until_idle(relay: &Relay) {
    while relay.in_flight.get() > 0 {
        sleep(SHUTDOWN_POLL_INTERVAL).await;
    }
}

/// Waits until all accepted connections have sent their last response and are closed.
async fn wait_until_disconnected(relay: &Relay) {
    while relay.connections.get() > 0 {
        sleep(SHUTDOWN_POLL_INTERVAL).await;
    }
}

async fn clean_up_periodically(relay: Rc<Relay>) {
    loop {
        sleep(CLEANUP_INTERVAL).await;
        let now = Instant::now();
        relay.connection_pool.close_idle(now);
        relay.expire_targets(now);
        relay.crashes.borrow_mut().prune(now.into_std());
    }
}
