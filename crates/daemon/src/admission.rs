//! The admission gate with the requests that wait at it.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use model::Refusal;
use policy::{Decision, Gate, GateConfig, Load, Permit, QueueEvent, RunOutcome, WaiterKey, Work};
use tokio::sync::{Notify, oneshot};

/// What a waiting request is told.
#[derive(Clone, Copy, Debug)]
pub(crate) enum StartDecision {
    /// It runs now.
    Start(Permit),
    /// It does not run.
    Refuse(Refusal),
}

/// What becomes of a request on arrival.
#[derive(Debug)]
pub(crate) enum OfferResult<'a> {
    /// Decided at once.
    Decided(StartDecision),
    /// Decided later.
    Waiting(Waiter<'a>),
}

/// A place in the queue. Dropped before its decision is taken, it gives up the place, or
/// the slot if the decision was on its way.
#[derive(Debug)]
pub(crate) struct Waiter<'a> {
    controller: &'a AdmissionController,
    key: WaiterKey,
    rx: oneshot::Receiver<StartDecision>,
    is_decided: bool,
}

impl Waiter<'_> {
    /// Waits for the decision.
    pub(crate) async fn decision(&mut self) -> Option<StartDecision> {
        let decision = (&mut self.rx).await;
        self.is_decided = true;
        decision.ok()
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        if self.is_decided {
            return;
        }
        let now = Instant::now();
        let mut state = self.controller.lock();
        state.waiting.remove(&self.key);
        state.gate.cancel(self.key, now);
        // Verdicts are sent under the lock, so that none can come after this look.
        if let Ok(StartDecision::Start(permit)) = self.rx.try_recv() {
            state.gate.finish(permit, RunOutcome::Cancelled, now);
        }
        state.deliver_decisions(now);
    }
}

/// Turns the gate's outcomes into messages to waiting requests.
#[derive(Debug)]
pub(crate) struct AdmissionController {
    state: Mutex<State>,
    queue_changed: Notify,
}

#[derive(Debug)]
struct State {
    gate: Gate,
    waiting: HashMap<WaiterKey, oneshot::Sender<StartDecision>>,
    events: Vec<QueueEvent>,
}

impl State {
    fn deliver_decisions(&mut self, now: Instant) {
        self.gate.poll(now, &mut self.events);
        for event in self.events.drain(..) {
            let (key, decision) = match event {
                QueueEvent::Start(key, permit) => (key, StartDecision::Start(permit)),
                QueueEvent::Refuse(key, refusal) => (key, StartDecision::Refuse(refusal)),
            };
            if let Some(tx) = self.waiting.remove(&key) {
                // A waiter keeps its receiver until it has left the queue.
                let _ = tx.send(decision);
            }
        }
    }
}

impl AdmissionController {
    pub(crate) fn new(cfg: GateConfig, now: Instant) -> Self {
        let state = State {
            gate: Gate::new(cfg, now),
            waiting: HashMap::new(),
            events: Vec::new(),
        };
        AdmissionController {
            state: Mutex::new(state),
            queue_changed: Notify::new(),
        }
    }

    /// Takes over a new configuration.
    pub(crate) fn reconfigure(&self, cfg: GateConfig, now: Instant) {
        let mut state = self.lock();
        state.gate.reconfigure(cfg, now);
        state.deliver_decisions(now);
    }

    /// Offers a request.
    pub(crate) fn offer(&self, work: Work, now: Instant) -> OfferResult<'_> {
        let mut state = self.lock();
        match state.gate.offer(work, now) {
            Decision::Run(permit) => OfferResult::Decided(StartDecision::Start(permit)),
            Decision::Refuse(refusal) => OfferResult::Decided(StartDecision::Refuse(refusal)),
            Decision::Wait { key, evicted } => {
                if let Some((evicted, refusal)) = evicted
                    && let Some(tx) = state.waiting.remove(&evicted)
                {
                    let _ = tx.send(StartDecision::Refuse(refusal));
                }
                let (tx, rx) = oneshot::channel();
                state.waiting.insert(key, tx);
                state.deliver_decisions(now);
                drop(state);
                self.queue_changed.notify_one();
                OfferResult::Waiting(Waiter {
                    controller: self,
                    key,
                    rx,
                    is_decided: false,
                })
            }
        }
    }

    /// Ends a run and starts what waits for its slot.
    pub(crate) fn finish(&self, permit: Permit, outcome: RunOutcome, now: Instant) {
        let mut state = self.lock();
        state.gate.finish(permit, outcome, now);
        state.deliver_decisions(now);
    }

    /// What the gate reports to the callers' side.
    pub(crate) fn load(&self, now: Instant) -> Load {
        self.lock().gate.load(now)
    }

    /// Refuses waiting requests as their time runs out, for as long as the daemon lives.
    pub(crate) async fn run_timers(&self) {
        loop {
            let wakeup = self.lock().gate.next_wakeup();
            match wakeup {
                Some(at) => tokio::select! {
                    () = tokio::time::sleep_until(at.into()) => {}
                    () = self.queue_changed.notified() => {}
                },
                None => self.queue_changed.notified().await,
            }
            self.lock().deliver_decisions(Instant::now());
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
