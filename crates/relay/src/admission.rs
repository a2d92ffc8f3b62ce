//! The gate of the own target, with those who wait at it.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use model::{OperationKey, Refusal};
use policy::{
    Decision, Gate, GateConfig, Load, Permit, Pressure, PressureMeter, QueueEvent, RunOutcome,
    WaiterKey, Work,
};
use smol_str::SmolStr;
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

/// Routes whose times are told apart; all further ones share the last key.
const MAX_OPERATIONS: u16 = 1_024;

type AdmissionResult = Result<Permit, Refusal>;

/// Admission to the own target.
pub(crate) struct Admission {
    state: RefCell<State>,
    /// Wakes the task that gives up waiters, when the earliest of them may have changed.
    waiters_changed: Notify,
}

struct State {
    gate: Gate,
    waiters: HashMap<WaiterKey, oneshot::Sender<AdmissionResult>>,
    pressure: PressureMeter,
    operations: HashMap<SmolStr, OperationKey>,
    /// Names of the routes by their keys.
    routes: Vec<SmolStr>,
    events: Vec<QueueEvent>,
}

/// What others are told of the own target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Report {
    pub(crate) load: Load,
    pub(crate) run_time: Duration,
    pub(crate) pressure: Pressure,
}

/// The right to one slot; dropped before its end is told, it counts as cancelled.
pub(crate) struct Slot {
    admission: Rc<Admission>,
    permit: Option<Permit>,
}

impl Slot {
    /// Gives the slot back.
    pub(crate) fn finish(mut self, outcome: RunOutcome) {
        self.release(outcome);
    }

    fn release(&mut self, outcome: RunOutcome) {
        if let Some(permit) = self.permit.take() {
            let now = Instant::now().into_std();
            self.admission
                .state
                .borrow_mut()
                .gate
                .finish(permit, outcome, now);
            self.admission.poll();
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.release(RunOutcome::Cancelled);
    }
}

/// One who waits; dropped, the place in the queue is given up.
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
        // A result may have come without anyone left to take it.
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
                operations: HashMap::new(),
                routes: Vec::new(),
                events: Vec::new(),
            }),
            waiters_changed: Notify::new(),
        })
    }

    pub(crate) fn reconfigure(&self, cfg: GateConfig, now: Instant) {
        self.state
            .borrow_mut()
            .gate
            .reconfigure(cfg, now.into_std());
        self.poll();
    }

    /// What others are told now.
    pub(crate) fn report(&self, now: Instant) -> Report {
        let now = now.into_std();
        let state = &mut *self.state.borrow_mut();
        let load = state.gate.load(now);
        state.pressure.observe(&load, now);
        Report {
            load,
            run_time: state.gate.mean_run_time(),
            pressure: state.pressure.pressure(),
        }
    }

    /// Key under which the times of a route are measured.
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

    /// The route behind a key; `None` for the key that several share.
    pub(crate) fn route(&self, key: OperationKey) -> Option<SmolStr> {
        self.state.borrow().routes.get(key.index()).cloned()
    }

    /// Waits for a slot, or for the refusal.
    pub(crate) async fn acquire(self: &Rc<Self>, work: Work) -> Result<Slot, Refusal> {
        let slot = |permit| Slot {
            admission: Rc::clone(self),
            permit: Some(permit),
        };
        let decision = self
            .state
            .borrow_mut()
            .gate
            .offer(work, Instant::now().into_std());
        let (key, evicted) = match decision {
            Decision::Run(permit) => return Ok(slot(permit)),
            Decision::Refuse(refusal) => return Err(refusal),
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
            Ok(Err(refusal)) => Err(refusal),
            Err(_) => unreachable!("a waiter's sender is kept until its result"),
        }
    }

    /// Starts and gives up waiters as the gate decides.
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

    /// Gives up waiters when their time has come, and looks at the load in between.
    pub(crate) async fn run_timers(self: Rc<Self>) {
        /// Time between two looks, short against the time in which a pressure changes.
        const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
        let mut logged = Pressure::default();
        loop {
            let next = self.state.borrow().gate.next_wakeup();
            let sample_at = Instant::now() + SAMPLE_INTERVAL;
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

/// True if a target became full, or twice as full as that, or no longer is.
fn crosses_threshold(logged: Pressure, now: Pressure) -> bool {
    let level = |pressure: Pressure| match pressure.ratio() {
        ratio if ratio < 1.0 => 0,
        ratio if ratio < 2.0 => 1,
        _ => 2,
    };
    level(logged) != level(now)
}

fn log_pressure(report: &Report) {
    let load = &report.load;
    log::info!(
        pressure_thousandths:% = report.pressure,
        in_flight = load.in_flight,
        limit = load.limit,
        queued = load.queued,
        run_time_ms = u64::try_from(report.run_time.as_millis()).unwrap_or(u64::MAX);
        "pressure changed"
    );
}
