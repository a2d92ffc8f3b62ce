//! The admission gate with the requests that wait at it.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use model::Refusal;
use policy::{Decision, Gate, GateConfig, Load, Permit, QueueEvent, RunOutcome, WaiterKey, Work};
use tokio::sync::{Notify, oneshot};

/// What a waiting request is told.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Verdict {
    /// It runs now.
    Start(Permit),
    /// It does not run.
    Refuse(Refusal),
}

/// What becomes of a request on arrival.
#[derive(Debug)]
pub(crate) enum Entry<'a> {
    /// Decided at once.
    Decided(Verdict),
    /// Decided later.
    Waiting(Waiter<'a>),
}

/// A place in the queue. Dropped before its verdict is taken, it gives up the place, or
/// the slot if the verdict was on its way.
#[derive(Debug)]
pub(crate) struct Waiter<'a> {
    door: &'a Door,
    key: WaiterKey,
    rx: oneshot::Receiver<Verdict>,
    is_told: bool,
}

impl Waiter<'_> {
    /// Waits for the verdict.
    pub(crate) async fn verdict(&mut self) -> Option<Verdict> {
        let verdict = (&mut self.rx).await;
        self.is_told = true;
        verdict.ok()
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        if self.is_told {
            return;
        }
        let now = Instant::now();
        let mut state = self.door.lock();
        state.waiting.remove(&self.key);
        state.gate.cancel(self.key, now);
        // Verdicts are sent under the lock, so that none can come after this look.
        if let Ok(Verdict::Start(permit)) = self.rx.try_recv() {
            state.gate.finish(permit, RunOutcome::Cancelled, now);
        }
        state.settle(now);
    }
}

/// Turns the gate's outcomes into messages to waiting requests.
#[derive(Debug)]
pub(crate) struct Door {
    state: Mutex<State>,
    changed: Notify,
}

#[derive(Debug)]
struct State {
    gate: Gate,
    waiting: HashMap<WaiterKey, oneshot::Sender<Verdict>>,
    events: Vec<QueueEvent>,
}

impl State {
    fn settle(&mut self, now: Instant) {
        self.gate.poll(now, &mut self.events);
        for event in self.events.drain(..) {
            let (key, verdict) = match event {
                QueueEvent::Start(key, permit) => (key, Verdict::Start(permit)),
                QueueEvent::Refuse(key, refusal) => (key, Verdict::Refuse(refusal)),
            };
            if let Some(tx) = self.waiting.remove(&key) {
                // A waiter keeps its receiver until it has left the queue.
                let _ = tx.send(verdict);
            }
        }
    }
}

impl Door {
    pub(crate) fn new(cfg: GateConfig, now: Instant) -> Self {
        let state = State {
            gate: Gate::new(cfg, now),
            waiting: HashMap::new(),
            events: Vec::new(),
        };
        Door {
            state: Mutex::new(state),
            changed: Notify::new(),
        }
    }

    /// Takes over a new configuration.
    pub(crate) fn reconfigure(&self, cfg: GateConfig, now: Instant) {
        let mut state = self.lock();
        state.gate.reconfigure(cfg, now);
        state.settle(now);
    }

    /// Offers a request.
    pub(crate) fn offer(&self, work: Work, now: Instant) -> Entry<'_> {
        let mut state = self.lock();
        match state.gate.offer(work, now) {
            Decision::Run(permit) => Entry::Decided(Verdict::Start(permit)),
            Decision::Refuse(refusal) => Entry::Decided(Verdict::Refuse(refusal)),
            Decision::Wait { key, evicted } => {
                if let Some((evicted, refusal)) = evicted
                    && let Some(tx) = state.waiting.remove(&evicted)
                {
                    let _ = tx.send(Verdict::Refuse(refusal));
                }
                let (tx, rx) = oneshot::channel();
                state.waiting.insert(key, tx);
                state.settle(now);
                drop(state);
                self.changed.notify_one();
                Entry::Waiting(Waiter {
                    door: self,
                    key,
                    rx,
                    is_told: false,
                })
            }
        }
    }

    /// Ends a run and starts what waits for its slot.
    pub(crate) fn finish(&self, permit: Permit, end: RunOutcome, now: Instant) {
        let mut state = self.lock();
        state.gate.finish(permit, end, now);
        state.settle(now);
    }

    /// What the gate reports to the callers' side.
    pub(crate) fn load(&self, now: Instant) -> Load {
        self.lock().gate.load(now)
    }

    /// Refuses waiting requests as their time runs out, for as long as the daemon lives.
    pub(crate) async fn keep_time(&self) {
        loop {
            let wakeup = self.lock().gate.next_wakeup();
            match wakeup {
                Some(at) => tokio::select! {
                    () = tokio::time::sleep_until(at.into()) => {}
                    () = self.changed.notified() => {}
                },
                None => self.changed.notified().await,
            }
            self.lock().settle(Instant::now());
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
