//! Guards that count requests, connections and runs until they are dropped.

use std::rc::Rc;

use policy::RunKey;
use tokio::sync::OwnedSemaphorePermit;

use crate::relay::Relay;

/// Counts a request as in flight until it is dropped.
pub(crate) struct InFlightGuard(Rc<Relay>);

impl InFlightGuard {
    pub(crate) fn new(relay: &Rc<Relay>) -> Self {
        relay.in_flight.set(relay.in_flight.get() + 1);
        InFlightGuard(Rc::clone(relay))
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

/// Counts an accepted connection as open until it is dropped.
pub(crate) struct ConnectionGuard(Rc<Relay>);

impl ConnectionGuard {
    pub(crate) fn new(relay: &Rc<Relay>) -> Self {
        relay.connections.set(relay.connections.get() + 1);
        ConnectionGuard(Rc::clone(relay))
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
    }
}

/// Registers a run of the local target until it is dropped.
pub(crate) struct RunGuard {
    relay: Rc<Relay>,
    key: RunKey,
    /// Keeps other suspects from running beside this one.
    _alone: Option<OwnedSemaphorePermit>,
}

impl RunGuard {
    pub(crate) fn new(
        relay: &Rc<Relay>,
        run: policy::Run,
        alone: Option<OwnedSemaphorePermit>,
    ) -> Self {
        let key = relay.runs.borrow_mut().begin(run);
        RunGuard {
            relay: Rc::clone(relay),
            key,
            _alone: alone,
        }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.relay.runs.borrow_mut().end(self.key);
    }
}
