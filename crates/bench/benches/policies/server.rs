//! What stands before the target: a plain queue, or a gate.

use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use policy::{Decision, Gate, GateConfig, Permit, QueueEvent, RunOutcome, WaiterKey, Work};

/// What happens to calls, by number.
#[derive(Debug, Default)]
pub(crate) struct Changes {
    pub(crate) started: Vec<(usize, Option<Permit>)>,
    pub(crate) refused: Vec<usize>,
}

/// Decides when calls start.
#[derive(Debug)]
pub(crate) enum Server {
    /// Starts calls in order of arrival and refuses none.
    Fifo { free: u32, queue: VecDeque<usize> },
    /// Asks a gate.
    Gate {
        gate: Box<Gate>,
        waiting: BTreeMap<WaiterKey, usize>,
        events: Vec<QueueEvent>,
    },
}

impl Server {
    pub(crate) fn fifo(slots: u32) -> Self {
        Server::Fifo {
            free: slots,
            queue: VecDeque::new(),
        }
    }

    pub(crate) fn gate(cfg: GateConfig, now: Instant) -> Self {
        Server::Gate {
            gate: Box::new(Gate::new(cfg, now)),
            waiting: BTreeMap::new(),
            events: Vec::new(),
        }
    }

    /// True if calls are cancelled when their deadline passes.
    pub(crate) fn cancels(&self) -> bool {
        matches!(self, Server::Gate { .. })
    }

    pub(crate) fn offer(&mut self, call: usize, work: Work, now: Instant, out: &mut Changes) {
        match self {
            Server::Fifo { queue, .. } => queue.push_back(call),
            Server::Gate { gate, waiting, .. } => match gate.offer(work, now) {
                Decision::Run(permit) => out.started.push((call, Some(permit))),
                Decision::Wait { key, evicted } => {
                    waiting.insert(key, call);
                    let lost = evicted.and_then(|(key, _)| waiting.remove(&key));
                    out.refused.extend(lost);
                }
                Decision::Refuse(_) => out.refused.push(call),
            },
        }
        self.settle(now, out);
    }

    pub(crate) fn finish(
        &mut self,
        permit: Option<Permit>,
        end: RunOutcome,
        now: Instant,
        out: &mut Changes,
    ) {
        match (&mut *self, permit) {
            (Server::Gate { gate, .. }, Some(permit)) => gate.finish(permit, end, now),
            (Server::Fifo { free, .. }, _) => *free += 1,
            (Server::Gate { .. }, None) => {}
        }
        self.settle(now, out);
    }

    /// Starts what can start.
    fn settle(&mut self, now: Instant, out: &mut Changes) {
        match self {
            Server::Fifo { free, queue } => {
                while *free > 0
                    && let Some(call) = queue.pop_front()
                {
                    *free -= 1;
                    out.started.push((call, None));
                }
            }
            Server::Gate {
                gate,
                waiting,
                events,
            } => {
                gate.poll(now, events);
                for event in events.drain(..) {
                    match event {
                        QueueEvent::Start(key, permit) => {
                            let call = waiting.remove(&key);
                            out.started.extend(call.map(|call| (call, Some(permit))));
                        }
                        QueueEvent::Refuse(key, _) => out.refused.extend(waiting.remove(&key)),
                    }
                }
            }
        }
    }
}
