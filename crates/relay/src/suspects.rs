//! Running requests that are suspected of crashing targets.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use model::{Refusal, RefusalReason, ServiceName};
use policy::{Fingerprint, Treatment};
use routes::Target;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{Instant, timeout_at};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::relay::Relay;

/// Retry delay of a request that has to wait for another suspect.
const TURN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Waits until a request may run in the local target.
///
/// Returns a permit if it must run alone. Half of its time is left for another target.
///
/// # Errors
///
/// Returns the refusal if it is held back, or if another suspect runs all the while.
pub(crate) async fn wait_for_turn(
    relay: &Rc<Relay>,
    fingerprint: Fingerprint,
    deadline: Instant,
) -> Result<Option<OwnedSemaphorePermit>, Refusal> {
    if treatment(relay, fingerprint)? == Treatment::Normal {
        return Ok(None);
    }
    let now = Instant::now();
    let until = now + deadline.saturating_duration_since(now) / 2;
    let turn = Arc::clone(&relay.run_alone).acquire_owned();
    let Ok(Ok(alone)) = timeout_at(until, turn).await else {
        return Err(busy());
    };
    // What the previous one did may have changed the verdict.
    match treatment(relay, fingerprint)? {
        Treatment::Normal => Ok(None),
        _ => Ok(Some(alone)),
    }
}

/// Checks again whether a request may run, after it waited for a slot of the target.
///
/// # Errors
///
/// Returns the refusal if it is held back now, or if it must run alone and another suspect runs.
pub(crate) fn check_turn(
    relay: &Rc<Relay>,
    fingerprint: Fingerprint,
    alone: &mut Option<OwnedSemaphorePermit>,
) -> Result<(), Refusal> {
    let treatment = treatment(relay, fingerprint)?;
    if treatment != Treatment::Normal && alone.is_none() {
        let turn = Arc::clone(&relay.run_alone).try_acquire_owned();
        *alone = Some(turn.map_err(|_| busy())?);
    }
    if treatment == Treatment::Trial {
        log::warn!(fingerprint:%; "trial run of a request that crashed its targets");
        let now = Instant::now().into_std();
        relay.crashes.borrow_mut().record_trial(fingerprint, now);
    }
    Ok(())
}

/// How to run a request in the local target.
fn treatment(relay: &Relay, fingerprint: Fingerprint) -> Result<Treatment, Refusal> {
    let now = Instant::now().into_std();
    let treatment = relay.crashes.borrow().treatment(fingerprint, now);
    let held_back = |retry_after| Refusal {
        reason: RefusalReason::HeldBack,
        retry_after,
    };
    match treatment {
        Treatment::HeldBack { retry_after } => Err(held_back(retry_after)),
        Treatment::Trial => {
            let view = relay.view.borrow();
            let local = view.local_target.as_ref();
            if local.is_some_and(|target| {
                is_trial_target(relay, &relay.cfg.service, fingerprint, target)
            }) {
                Ok(treatment)
            } else {
                Err(held_back(TURN_RETRY_AFTER))
            }
        }
        Treatment::Normal | Treatment::Alone => Ok(treatment),
    }
}

fn busy() -> Refusal {
    Refusal {
        reason: RefusalReason::Overloaded,
        retry_after: TURN_RETRY_AFTER,
    }
}

/// True if a target of a service makes the trial of a request. All daemons choose the same one.
pub(crate) fn is_trial_target(
    relay: &Relay,
    service: &ServiceName,
    fingerprint: Fingerprint,
    target: &Target,
) -> bool {
    let rank = |target: &Target| {
        let address = target.address.to_string();
        xxh3_64_with_seed(address.as_bytes(), fingerprint.0)
    };
    let view = relay.view.borrow();
    let first = view.targets.for_service(service).map(rank).min();
    first == Some(rank(target))
}
