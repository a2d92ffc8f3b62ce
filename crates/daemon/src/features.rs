//! Switches that disable mechanisms of the daemon, so that a benchmark can measure the
//! effect of each.

use std::time::{Duration, Instant};

use config::Service;
use model::{Class, Goal};
use policy::{GateConfig, Headroom, Order, Work};

/// Time until the deadline of work whose own deadline is ignored.
const UNLIMITED_TIME: Duration = Duration::from_hours(1);

/// Mechanisms of overload control that a daemon uses.
///
/// By default all are enabled except `newest_first`, which exists for comparison only.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each switch is independent of the others"
)]
pub struct Features {
    /// More important work starts earlier and is shed later.
    pub order: bool,
    /// Some slots are reserved for more important work.
    pub headroom: bool,
    /// The concurrency limit adapts, up to the number of slots.
    pub adaptive_limit: bool,
    /// The length of the queue is limited; calls beyond it are refused.
    pub bounded_queue: bool,
    /// Work that cannot end before its deadline is refused.
    pub deadlines: bool,
    /// Retries are limited by the request's budget and by the token bucket of the edge.
    /// Without this, every hop tries a call up to three times.
    pub retry_bounds: bool,
    /// Calls are routed and shed by the load that callees report with their answers.
    pub edge_shedding: bool,
    /// Work is cancelled when its caller disconnects or its deadline passes.
    pub cancellation: bool,
    /// The newest call starts first while a standing queue persists.
    pub newest_first: bool,
}

impl Features {
    /// A plain proxy: one queue in order of arrival, no shedding, three tries per hop.
    pub const NONE: Self = Features {
        order: false,
        headroom: false,
        adaptive_limit: false,
        bounded_queue: false,
        deadlines: false,
        retry_bounds: false,
        edge_shedding: false,
        cancellation: false,
        newest_first: false,
    };

    /// Returns the configuration of the admission gate for the target of a service.
    pub(crate) fn gate_config(self, service: &Service, goal: Goal) -> GateConfig {
        let mut cfg = GateConfig::new(service.slots)
            .with_connections(service.connections)
            .with_goal(goal);
        if !self.headroom {
            cfg = cfg.with_headroom(Headroom::None);
        }
        if !self.adaptive_limit {
            cfg = cfg.with_adaptive(false);
        }
        if !self.bounded_queue {
            cfg = cfg.with_queue(u32::MAX);
        }
        if self.newest_first {
            cfg = cfg.with_order(Order::Adaptive);
        }
        cfg
    }

    /// Returns `work` with neutral values in place of those that only disabled mechanisms use.
    pub(crate) fn adjust_work(self, mut work: Work, now: Instant) -> Work {
        if !self.order {
            work.class = Class::Standard;
            work.worth = 1;
            work.attempt = 0;
        }
        if !self.deadlines {
            work.deadline = now + UNLIMITED_TIME;
        }
        work
    }
}

impl Default for Features {
    fn default() -> Self {
        Features {
            order: true,
            headroom: true,
            adaptive_limit: true,
            bounded_queue: true,
            deadlines: true,
            retry_bounds: true,
            edge_shedding: true,
            cancellation: true,
            newest_first: false,
        }
    }
}
