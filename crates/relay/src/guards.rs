//! Guards that count requests, connections and runs until they are dropped.

use std::rc::Rc;
use std::time::Duration;

use policy::RunKey;
use smol_str::SmolStr;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;

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

/// Records how long a run takes, at the latest when it is dropped.
pub(crate) struct RunTimer {
    relay: Rc<Relay>,
    route: SmolStr,
    began: Instant,
    is_recorded: bool,
}

impl RunTimer {
    pub(crate) fn new(relay: &Rc<Relay>, route: &SmolStr, began: Instant) -> Self {
        RunTimer {
            relay: Rc::clone(relay),
            route: route.clone(),
            began,
            is_recorded: false,
        }
    }

    /// Records the run as ended, and returns its length.
    pub(crate) fn record(mut self, now: Instant) -> Duration {
        let run_time = now.saturating_duration_since(self.began);
        self.record_length(run_time, now);
        run_time
    }

    /// Records the run with the length that the daemon beside its target measured.
    pub(crate) fn record_reported(mut self, run_time: Duration, now: Instant) {
        self.record_length(run_time, now);
    }

    fn record_length(&mut self, run_time: Duration, now: Instant) {
        self.is_recorded = true;
        let mut run_times = self.relay.route_run_times.borrow_mut();
        run_times.record(&self.route, run_time, now.into_std());
    }
}

impl Drop for RunTimer {
    fn drop(&mut self) {
        if !self.is_recorded {
            let now = Instant::now();
            self.record_length(now.saturating_duration_since(self.began), now);
        }
    }
}
