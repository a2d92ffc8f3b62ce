//! What one daemon is told at its start.

use std::net::SocketAddr;
use std::time::Duration;

use model::{DataCentre, ServiceName};
use smol_str::SmolStr;

/// Addresses on which a daemon listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// Requests that begin on this machine: its callers' and its target's own.
    pub outbound: SocketAddr,
    /// Requests for its target from other daemons. All daemons use the same port.
    pub mesh: SocketAddr,
    /// Whether callers on this machine may be given new work.
    pub ready: SocketAddr,
    /// Metrics as text.
    pub metrics: SocketAddr,
}

/// Bounds that the operators ask for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time after which a target that leaves gets no more work.
    pub drain: Duration,
    /// Time from the signal to stop until the process is killed.
    pub grace: Duration,
    /// Time after which a new configuration is in force everywhere.
    pub config_apply: Duration,
    /// Further sends per request that all daemons together may add for a service.
    pub retry_ratio: f64,
    /// Length of the windows over which further sends are counted.
    pub retry_window: Duration,
    /// Further sends that are allowed besides, for the whole fleet.
    pub retry_slack: f64,
}

/// Settings of one daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the machine, for logs.
    pub name: SmolStr,
    /// Service that the target beside this daemon runs.
    pub service: ServiceName,
    /// Where that target listens.
    pub target: SocketAddr,
    /// Where the daemon runs.
    pub data_centre: DataCentre,
    /// Where it listens.
    pub listen: Listen,
    /// What the operators ask for.
    pub bounds: Bounds,
}
