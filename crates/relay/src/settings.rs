//! Settings of one daemon, fixed at its start.

use std::net::SocketAddr;
use std::time::Duration;

use model::{DataCentre, ServiceName};
use smol_str::SmolStr;

/// Addresses on which a daemon listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// Requests that originate on this machine, from its callers and from its target.
    pub outbound: SocketAddr,
    /// Requests from other daemons for the target. All daemons use the same port.
    pub mesh: SocketAddr,
    /// Readiness checks: whether callers on this machine may receive new work.
    pub ready: SocketAddr,
    /// Metrics in the Prometheus text format.
    pub metrics: SocketAddr,
}

/// Time limits and retry limits that the operators set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time after which a leaving target must receive no more work.
    pub drain: Duration,
    /// Time between the signal to stop and the killing of the process.
    pub grace: Duration,
    /// Time within which a new configuration must be in force on all daemons.
    pub config_apply: Duration,
    /// Resends per request that all daemons together may add for a service.
    pub retry_ratio: f64,
    /// Length of the windows over which resends are counted.
    pub retry_window: Duration,
    /// Resends per window that the whole fleet may add beyond [`retry_ratio`](Self::retry_ratio).
    pub retry_slack: f64,
}

/// Settings of one daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the machine, for the logs and as the id of the caller in routing.
    pub name: SmolStr,
    /// Service that the target beside this daemon runs.
    pub service: ServiceName,
    /// Address on which that target listens.
    pub target: SocketAddr,
    /// Data centre in which the daemon runs.
    pub data_centre: DataCentre,
    /// Addresses on which the daemon listens.
    pub listen: Listen,
    /// Limits that the operators set.
    pub bounds: Bounds,
}
