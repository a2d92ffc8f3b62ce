//! Start and graceful shutdown of one daemon.

use std::rc::Rc;
use std::time::Duration;

use policy::StopPlan;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use crate::crash_news;
use crate::error::Error;
use crate::fate;
use crate::header_names::HeaderNames;
use crate::listen::{self, ListenerKind};
use crate::relay::{Phase, Relay};
use crate::settings::Settings;
use crate::source::Source;
use crate::sync;

/// Interval of closing connections that have been idle, and of dropping targets that have been
/// missing, for too long.
const CLEANUP_INTERVAL: Duration = Duration::from_millis(500);
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
    let plan = StopPlan::new(Instant::now().into_std(), grace, fate::ANSWER_TIMEOUT);
    relay.phase.set(Phase::Leaving);
    relay.begin_stop(plan);
    log::info!(in_flight = relay.in_flight.get(); "leaving");
    sleep_until(Instant::from_std(plan.leaving_end())).await;
    relay.phase.set(Phase::Closing);
    let last_answers = Instant::from_std(plan.last_answers());
    let exit = Instant::from_std(plan.exit());
    let mut emptied = timeout_at(last_answers, wait_until_idle(&relay))
        .await
        .is_ok();
    if !emptied {
        log::info!(in_flight = relay.in_flight.get(); "requests still in flight");
        emptied = timeout_at(exit, wait_until_idle(&relay)).await.is_ok();
    }
    relay.disconnect.send_replace(true);
    let flushed = timeout_at(exit, wait_until_disconnected(&relay))
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
