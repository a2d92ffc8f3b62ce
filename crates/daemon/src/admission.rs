//! The admission gate together with the requests that wait for its decisions.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use model::Refusal;
use policy::{Decision, Gate, GateConfig, Load, Permit, QueueEvent, RunOutcome, WaiterKey, Work};
use tokio::sync::{Notify, oneshot};

/// The gate's decision about a request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum StartDecision {
    /// The request runs now.
    Start(Permit),
    /// The request does not run.
    Refuse(Refusal),
}

/// Result of offering a request to the gate.
#[derive(Debug)]
pub(crate) enum OfferResult<'a> {
    /// Decided at once.
    Decided(StartDecision),
    /// Decided later.
    Waiting(Waiter<'a>),
}

/// A queued request. If it is dropped before it receives its decision, it leaves the queue,
/// or returns its slot if the decision to start was already sent.
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
        // Decisions are sent under the lock, so none can arrive after this check.
        if let Ok(StartDecision::Start(permit)) = self.rx.try_recv() {
            state.gate.finish(permit, RunOutcome::Cancelled, now);
        }
        state.deliver_decisions(now);
    }
}

/// Delivers the decisions of the gate to the requests that wait for them.
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
    /// Polls the gate and sends its decisions to the waiting requests.
    fn deliver_decisions(&mut self, now: Instant) {
        self.gate.poll(now, &mut self.events);
        for event in self.events.drain(..) {
            let (key, decision) = match event {
                QueueEvent::Start(key, permit) => (key, StartDecision::Start(permit)),
                QueueEvent::Refuse(key, refusal) => (key, StartDecision::Refuse(refusal)),
            };
            if let Some(tx) = self.waiting.remove(&key) {
                // The receiver exists until the waiter has left the queue.
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

    /// Applies a new configuration.
    pub(crate) fn reconfigure(&self, cfg: GateConfig, now: Instant) {
        let mut state = self.lock();
        state.gate.reconfigure(cfg, now);
        state.deliver_decisions(now);
    }

    /// Offers a request to the gate.
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

    /// Ends a run and starts waiting requests in the freed slot.
    pub(crate) fn finish(&self, permit: Permit, outcome: RunOutcome, now: Instant) {
        let mut state = self.lock();
        state.gate.finish(permit, outcome, now);
        state.deliver_decisions(now);
    }

    /// Load of the target, as it is reported to calling daemons.
    pub(crate) fn load(&self, now: Instant) -> Load {
        self.lock().gate.load(now)
    }

    /// Polls the gate at its wake-up times, at which the time of waiting requests runs out.
    /// Never returns.
    pub(crate) async fn run_timers(&self) {
        loop {
            let wakeup = self.lock().gate.next_wakeup(Instant::now());
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
