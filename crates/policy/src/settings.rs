//! Settings of a [`Gate`](crate::Gate).

use std::time::Duration;

use model::Goal;

/// How many slots less important classes leave free for more important ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Headroom {
    /// None: any class may fill every slot.
    None,
    /// A share of the limit, in percent.
    Percent(u8),
    /// Sized by the measured run times and arrival rates.
    #[default]
    Measured,
}

/// Order in which queued calls of the same priority start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Order {
    /// Always the oldest first.
    #[default]
    Fifo,
    /// The oldest first, but the newest first while a standing queue persists.
    Adaptive,
}

/// Settings of one [`Gate`](crate::Gate).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GateConfig {
    /// Calls that the target can run concurrently; an upper bound of the limit.
    pub slots: u32,
    /// Connections that the target accepts; an upper bound of the limit.
    pub connections: u32,
    /// Criterion that decides between two calls of one class.
    pub goal: Goal,
    /// Maximum number of queued calls.
    pub queue: u32,
    /// Slots that less important classes leave free.
    pub headroom: Headroom,
    /// Order in which queued calls of the same priority start.
    pub order: Order,
    /// Whether the concurrency limit adapts to the measured run times, up to `slots`.
    pub adaptive: bool,
    /// Whether a new gate starts with a low limit that grows.
    pub slow_start: bool,
    /// Whether the target may name a rate that it takes with its answers, as
    /// [`Gate::record_answer`](crate::Gate::record_answer) records.
    pub names_rate: bool,
    /// Acceptable waiting time. A queue whose calls keep waiting longer is a standing queue, which
    /// is a sign of overload.
    pub target_delay: Duration,
}

impl GateConfig {
    /// Creates the default settings for a target with `slots` slots.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        GateConfig {
            slots: slots.max(1),
            connections: u32::MAX,
            goal: Goal::default(),
            queue: slots.max(8),
            headroom: Headroom::default(),
            order: Order::default(),
            adaptive: true,
            slow_start: true,
            names_rate: false,
            target_delay: Duration::from_millis(5),
        }
    }

    /// Sets the connections that the target accepts.
    #[must_use]
    pub fn with_connections(mut self, connections: u32) -> Self {
        self.connections = connections;
        self
    }

    /// Sets the criterion that decides between two calls of one class.
    #[must_use]
    pub fn with_goal(mut self, goal: Goal) -> Self {
        self.goal = goal;
        self
    }

    /// Sets the maximum number of queued calls.
    #[must_use]
    pub fn with_queue(mut self, queue: u32) -> Self {
        self.queue = queue;
        self
    }

    /// Sets the slots that less important classes leave free.
    #[must_use]
    pub fn with_headroom(mut self, headroom: Headroom) -> Self {
        self.headroom = headroom;
        self
    }

    /// Sets the order in which queued calls of the same priority start.
    #[must_use]
    pub fn with_order(mut self, order: Order) -> Self {
        self.order = order;
        self
    }

    /// Sets whether the concurrency limit adapts, up to the slots.
    #[must_use]
    pub fn with_adaptive(mut self, adaptive: bool) -> Self {
        self.adaptive = adaptive;
        self
    }

    /// Sets whether a new gate starts with a low limit that grows.
    #[must_use]
    pub fn with_slow_start(mut self, slow_start: bool) -> Self {
        self.slow_start = slow_start;
        self
    }

    /// Sets whether the target may name a rate that it takes.
    #[must_use]
    pub fn with_named_rate(mut self, names_rate: bool) -> Self {
        self.names_rate = names_rate;
        self
    }

    /// Upper bound of the concurrency limit.
    pub(crate) fn ceiling(&self) -> u32 {
        self.slots.min(self.connections).max(1)
    }
}
