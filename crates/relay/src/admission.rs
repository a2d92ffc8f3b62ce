//! Admission control of the local target: the gate and the requests that wait in its queue.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use model::{OperationKey, Refusal};
use policy::{
    AdmissionShare, Decision, Gate, GateConfig, Load, Permit, Pressure, PressureMeter, QueueEvent,
    RunOutcome, ShareController, WaiterKey, Work,
};
use smol_str::SmolStr;
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

/// Maximum number of routes with their own run time statistics; all further routes share one key.
const MAX_OPERATIONS: u16 = 1_024;

/// What a waiter gets: a permit to run, or the refusal.
type AdmissionResult = Result<Permit, Refusal>;

/// Admission control of the local target.
pub(crate) struct Admission {
    state: RefCell<State>,
    /// Wakes the timer task when the gate's next wakeup may have changed.
    waiters_changed: Notify,
}

struct State {
    gate: Gate,
    /// Channels of the requests in the queue.
    waiters: HashMap<WaiterKey, oneshot::Sender<AdmissionResult>>,
    pressure: PressureMeter,
    share: ShareController,
    /// Share of the whole service as other daemons report it.
    service_share: Option<AdmissionShare>,
    /// Operation keys by route name.
    operations: HashMap<SmolStr, OperationKey>,
    /// Route names, indexed by operation key.
    routes: Vec<SmolStr>,
    /// Buffer for the events of a poll, reused between polls.
    events: Vec<QueueEvent>,
}

/// Load, run time, pressure and admission share of the local target, as reported to other daemons.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadReport {
    pub(crate) load: Load,
    /// Mean run time.
    pub(crate) run_time: Duration,
    pub(crate) pressure: Pressure,
    pub(crate) share: AdmissionShare,
}

/// One slot of the target; dropping it without [`finish`](Slot::finish) counts the run as
/// cancelled.
pub(crate) struct Slot {
    admission: Rc<Admission>,
    permit: Option<Permit>,
}

impl Slot {
    /// Releases the slot and reports the outcome of the run.
    pub(crate) fn finish(mut self, outcome: RunOutcome) {
        self.release(outcome);
    }

    fn release(&mut self, outcome: RunOutcome) {
        if let Some(permit) = self.permit.take() {
            let now = Instant::now().into_std();
            let mut state = self.admission.state.borrow_mut();
            if outcome == RunOutcome::TargetRefused {
                state.share.record_target_refusal();
            }
            state.gate.finish(permit, outcome, now);
            drop(state);
            self.admission.poll();
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.release(RunOutcome::Cancelled);
    }
}

/// A request in the queue; dropping it removes the request from the queue.
struct Waiter {
    admission: Rc<Admission>,
    key: WaiterKey,
    result: oneshot::Receiver<AdmissionResult>,
}

impl Drop for Waiter {
    fn drop(&mut self) {
        let mut state = self.admission.state.borrow_mut();
        if state.waiters.remove(&self.key).is_some() {
            let now = Instant::now().into_std();
            state.gate.cancel(self.key, now);
            return;
        }
        drop(state);
        // The gate may have granted a permit that the waiter did not receive.
        if let Ok(Ok(permit)) = self.result.try_recv() {
            drop(Slot {
                admission: Rc::clone(&self.admission),
                permit: Some(permit),
            });
        }
    }
}

impl Admission {
    pub(crate) fn new(cfg: GateConfig, now: Instant) -> Rc<Self> {
        Rc::new(Admission {
            state: RefCell::new(State {
                gate: Gate::new(cfg, now.into_std()),
                waiters: HashMap::new(),
                pressure: PressureMeter::new(now.into_std()),
                share: ShareController::new(now.into_std()),
                service_share: None,
                operations: HashMap::new(),
                routes: Vec::new(),
                events: Vec::new(),
            }),
            waiters_changed: Notify::new(),
        })
    }

    /// Applies a new gate configuration, and starts or refuses waiters accordingly.
    pub(crate) fn reconfigure(&self, cfg: GateConfig, now: Instant) {
        self.state
            .borrow_mut()
            .gate
            .reconfigure(cfg, now.into_std());
        self.poll();
    }

    /// Records an answer of the target to a request that was sent at `sent`, with the requests per
    /// second that the target names. Returns `true` if that rate has changed.
    pub(crate) fn record_answer(&self, per_second: Option<f64>, sent: Instant) -> bool {
        let now = Instant::now().into_std();
        let mut state = self.state.borrow_mut();
        let changed = state.gate.record_answer(per_second, sent.into_std(), now);
        drop(state);
        self.poll();
        changed
    }

    /// Records that the target has been replaced.
    pub(crate) fn record_restart(&self) {
        self.state.borrow_mut().gate.record_restart();
    }

    /// Returns the current load of the target.
    pub(crate) fn report(&self, now: Instant) -> LoadReport {
        let now = now.into_std();
        let state = &mut *self.state.borrow_mut();
        let load = state.gate.load(now);
        state.pressure.observe(&load, now);
        let run_time = state.gate.mean_run_time();
        state.share.update(
            state.gate.capacity(now),
            load.queue_delay,
            run_time,
            state.service_share,
            now,
        );
        LoadReport {
            load,
            run_time,
            pressure: state.pressure.pressure(),
            share: state.share.share(),
        }
    }

    /// Sets the admission share of the whole service; `None` if no daemon has reported one recently.
    pub(crate) fn set_service_share(&self, share: Option<AdmissionShare>) {
        self.state.borrow_mut().service_share = share;
    }

    /// Returns the key under which the run times of a route are measured.
    pub(crate) fn operation_key(&self, route: &SmolStr) -> OperationKey {
        let state = &mut *self.state.borrow_mut();
        if let Some(key) = state.operations.get(route) {
            return *key;
        }
        let next = u16::try_from(state.routes.len()).unwrap_or(MAX_OPERATIONS);
        if next >= MAX_OPERATIONS {
            return OperationKey(MAX_OPERATIONS);
        }
        state.operations.insert(route.clone(), OperationKey(next));
        state.routes.push(route.clone());
        OperationKey(next)
    }

    /// Returns the route of a key; `None` for the key that several routes share.
    pub(crate) fn route(&self, key: OperationKey) -> Option<SmolStr> {
        self.state.borrow().routes.get(key.index()).cloned()
    }

    /// Waits until the gate grants a slot or refuses the request.
    ///
    /// # Errors
    ///
    /// Returns the refusal of the gate.
    pub(crate) async fn acquire(self: &Rc<Self>, work: Work) -> Result<Slot, Refusal> {
        let slot = |permit| Slot {
            admission: Rc::clone(self),
            permit: Some(permit),
        };
        let decision = {
            let mut state = self.state.borrow_mut();
            state.share.record_arrival();
            state.gate.offer(work, Instant::now().into_std())
        };
        let (key, evicted) = match decision {
            Decision::Run(permit) => return Ok(slot(permit)),
            Decision::Refuse(refusal) => {
                self.state.borrow_mut().share.record_refusal();
                return Err(refusal);
            }
            Decision::Wait { key, evicted } => (key, evicted),
        };
        let (tx, result) = oneshot::channel();
        self.state.borrow_mut().waiters.insert(key, tx);
        let mut waiter = Waiter {
            admission: Rc::clone(self),
            key,
            result,
        };
        if let Some((key, refusal)) = evicted {
            self.resolve(key, Err(refusal));
        }
        self.waiters_changed.notify_one();
        let result = (&mut waiter.result).await;
        match result {
            Ok(Ok(permit)) => Ok(slot(permit)),
            Ok(Err(refusal)) => {
                self.state.borrow_mut().share.record_refusal();
                Err(refusal)
            }
            Err(_) => unreachable!("the sender is kept until the result is sent"),
        }
    }

    /// Starts or refuses waiters as the gate decides.
    pub(crate) fn poll(&self) {
        let mut state = self.state.borrow_mut();
        let mut events = std::mem::take(&mut state.events);
        state.gate.poll(Instant::now().into_std(), &mut events);
        drop(state);
        for event in events.drain(..) {
            match event {
                QueueEvent::Start(key, permit) => self.resolve(key, Ok(permit)),
                QueueEvent::Refuse(key, refusal) => self.resolve(key, Err(refusal)),
            }
        }
        self.state.borrow_mut().events = events;
    }

    /// Polls the gate at its wakeup times, and logs changes of the pressure; runs until it is
    /// dropped.
    pub(crate) async fn run_timers(self: Rc<Self>) {
        /// Maximum time between two samples of the pressure, short compared with the time in which
        /// it changes.
        const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
        let mut logged = Pressure::default();
        loop {
            let now = Instant::now();
            let next = self.state.borrow().gate.next_wakeup(now.into_std());
            let sample_at = now + SAMPLE_INTERVAL;
            let at = next.map_or(sample_at, |at| Instant::from_std(at).min(sample_at));
            tokio::select! {
                () = tokio::time::sleep_until(at) => {
                    self.poll();
                    let report = self.report(Instant::now());
                    if crosses_threshold(logged, report.pressure) {
                        logged = report.pressure;
                        log_pressure(&report);
                    }
                }
                () = self.waiters_changed.notified() => {}
            }
        }
    }

    /// Sends its result to a waiter, and releases the permit if the waiter is gone.
    fn resolve(&self, key: WaiterKey, result: AdmissionResult) {
        let tx = self.state.borrow_mut().waiters.remove(&key);
        let Some(tx) = tx else { return };
        if let Err(Ok(permit)) = tx.send(result) {
            let now = Instant::now().into_std();
            let mut state = self.state.borrow_mut();
            state.gate.finish(permit, RunOutcome::Cancelled, now);
        }
    }
}

/// True if the pressure crossed 1, where the target is full, or 2 in either direction.
fn crosses_threshold(logged: Pressure, now: Pressure) -> bool {
    let level = |pressure: Pressure| match pressure.ratio() {
        ratio if ratio < 1.0 => 0,
        ratio if ratio < 2.0 => 1,
        _ => 2,
    };
    level(logged) != level(now)
}

fn log_pressure(report: &LoadReport) {
    let load = &report.load;
    log::info!(
        pressure_thousandths:% = report.pressure,
        share_thousandths:% = report.share,
        in_flight = load.in_flight,
        limit = load.limit,
        queued = load.queued,
        run_time_ms = u64::try_from(report.run_time.as_millis()).unwrap_or(u64::MAX);
        "pressure changed"
    );
}
