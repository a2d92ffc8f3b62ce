//! Starting and stopping one daemon.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use crate::error::Error;
use crate::header_names::HeaderNames;
use crate::listen::{self, ListenerKind};
use crate::relay::{Phase, Relay};
use crate::settings::Settings;
use crate::source::Source;
use crate::sync;

/// Time between two looks for connections that have been idle and targets that have been
/// missing for too long.
const CLEANING_INTERVAL: Duration = Duration::from_millis(500);
/// Time from the signal to stop in which callers learn that they are to go elsewhere: two
/// looks at the readiness, one a second, and one more for those under way.
const FAREWELL: Duration = Duration::from_millis(2_500);
/// Part of the grace that the farewell takes at most; the rest is for what is in flight.
const FAREWELL_PART: f64 = 0.42;
/// Part of the grace after which the process ends whatever is in flight, before it is killed.
const GRACE_PART: f64 = 0.95;
/// Time between two looks whether anything is in flight or connected, while leaving.
const LEAVING_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Runs one daemon until it is told to stop and has ended what is in flight.
///
/// Call it within a [`tokio::task::LocalSet`].
///
/// # Errors
///
/// If it can't listen on one of its addresses.
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
    for (listener, side) in listeners {
        tokio::task::spawn_local(listen::accept(Rc::clone(&relay), listener, side));
    }
    tokio::task::spawn_local(sync::follow_table(Rc::clone(&relay), Rc::clone(&source)));
    tokio::task::spawn_local(sync::follow_targets(Rc::clone(&relay), source));
    tokio::task::spawn_local(Rc::clone(&relay.admission).keep_time());
    tokio::task::spawn_local(clean(Rc::clone(&relay)));
    stop.await;
    let told = Instant::now();
    relay.phase.set(Phase::Leaving);
    log::info!(in_flight = relay.in_flight.get(); "leaving");
    sleep_until(told + FAREWELL.min(grace.mul_f64(FAREWELL_PART))).await;
    relay.phase.set(Phase::Closing);
    let end = told + grace.mul_f64(GRACE_PART);
    let emptied = timeout_at(end, empty(&relay)).await.is_ok();
    relay.disconnect.send_replace(true);
    let flushed = timeout_at(end, disconnected(&relay)).await.is_ok();
    log::info!(
        emptied,
        flushed,
        in_flight = relay.in_flight.get(),
        connections = relay.connections.get();
        "stopped"
    );
    Ok(())
}

/// Returns when nothing is in flight.
async fn empty(relay: &Relay) {
    while relay.in_flight.get() > 0 {
        sleep(LEAVING_CHECK_INTERVAL).await;
    }
}

/// Returns when the last answer of each connection has left and it is closed.
async fn disconnected(relay: &Relay) {
    while relay.connections.get() > 0 {
        sleep(LEAVING_CHECK_INTERVAL).await;
    }
}

async fn clean(relay: Rc<Relay>) {
    loop {
        sleep(CLEANING_INTERVAL).await;
        let now = Instant::now();
        relay.connection_pool.close_idle(now);
        relay.expire_targets(now);
    }
}
