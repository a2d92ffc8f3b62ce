//! The configuration of a target and the behaviour of its operations.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use smol_str::SmolStr;

use crate::random::ServiceTime;

/// Behaviour of an operation: its service time, downstream calls and response size.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Service time, without the downstream calls.
    pub time: ServiceTime,
    /// Response size in bytes when the request asks for none.
    pub answer_bytes: usize,
    /// Downstream calls, made sequentially through the daemon.
    pub calls: Vec<Downstream>,
}

/// A call that an operation makes to another service.
#[derive(Clone, Debug)]
pub struct Downstream {
    /// Service that is called.
    pub service: SmolStr,
    /// Operation that is called.
    pub operation: SmolStr,
    /// Size of the requested response body, in bytes.
    pub answer_bytes: usize,
    /// True if the call is sent without an idempotency key.
    pub repeatable: bool,
}

/// Configuration of a target.
#[derive(Clone, Debug)]
pub struct TargetConfig {
    pub(crate) service: SmolStr,
    pub(crate) instance: SmolStr,
    pub(crate) listen: Option<SocketAddr>,
    pub(crate) slots: usize,
    pub(crate) backlog: usize,
    pub(crate) seed: u64,
    pub(crate) warm_up: Duration,
    pub(crate) cold_factor: f64,
    pub(crate) default_plan: Plan,
    pub(crate) plans: HashMap<SmolStr, Plan>,
}

impl TargetConfig {
    /// A target without service time, with a backlog as large as its number of slots.
    #[must_use]
    pub fn new(service: &str, instance: &str, slots: usize) -> Self {
        TargetConfig {
            service: service.into(),
            instance: instance.into(),
            listen: None,
            slots,
            backlog: slots,
            seed: 0,
            warm_up: Duration::ZERO,
            cold_factor: 1.0,
            default_plan: Plan::default(),
            plans: HashMap::new(),
        }
    }

    /// Listens on `address` rather than on a free loopback port.
    #[must_use]
    pub fn listen(mut self, address: SocketAddr) -> Self {
        self.listen = Some(address);
        self
    }

    /// Sets how many requests may wait for a slot; the target sheds any beyond.
    #[must_use]
    pub fn backlog(mut self, backlog: usize) -> Self {
        self.backlog = backlog;
        self
    }

    /// Seeds the random service times.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Multiplies service times by `factor` for `warm_up` after the start.
    #[must_use]
    pub fn cold_start(mut self, warm_up: Duration, factor: f64) -> Self {
        self.warm_up = warm_up;
        self.cold_factor = factor;
        self
    }

    /// Sets the plan of the operations that have none of their own.
    #[must_use]
    pub fn default_plan(mut self, plan: Plan) -> Self {
        self.default_plan = plan;
        self
    }

    /// Sets the plan of one operation.
    #[must_use]
    pub fn plan(mut self, operation: &str, plan: Plan) -> Self {
        self.plans.insert(operation.into(), plan);
        self
    }

    pub(crate) fn plan_of(&self, operation: &str) -> &Plan {
        let own = self.plans.get(operation);
        own.unwrap_or(&self.default_plan)
    }
}
