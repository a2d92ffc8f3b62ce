//! Settings of one route, and limits on callers.

use std::time::Duration;

use model::ServiceName;
use smol_str::SmolStr;

/// Whether a request of a route may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Idempotency {
    /// The request may be executed more than once.
    Idempotent,
    /// The request is executed at most once per attempt of its caller.
    AtMostOnce,
}

/// A service that handles part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// Name of the service.
    pub service: ServiceName,
    /// Weight; the service gets this fraction of the sum of all weights of the route.
    pub weight: u32,
}

/// How requests for one host and path prefix are handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name that the operators gave the route.
    pub name: SmolStr,
    /// Host of the requests, in lower case and without a port.
    pub host: SmolStr,
    /// Path prefix; starts and ends with a slash.
    pub prefix: SmolStr,
    /// Whether requests may be executed more than once.
    pub idempotency: Idempotency,
    /// Services that handle the requests.
    pub shares: Vec<Share>,
    /// Longest time that a caller waits for an answer.
    pub timeout: Duration,
    /// Latency up to which an answer counts as fully useful.
    pub target_latency: Duration,
    /// Priority; 0 is the most important.
    pub priority: u32,
    /// Largest number of targets to which one attempt of a caller may be sent.
    pub max_sends: u32,
}

/// The operators' settings for one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Largest number of connections that each of its targets accepts.
    pub max_connections: u32,
}

/// Size and time limits on the requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub header_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: u64,
    /// Longest time that a request head may take to arrive.
    pub header_timeout: Duration,
    /// Longest time that a caller's connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Limits that apply until a configuration has been read.
    fn default() -> Self {
        Limits {
            header_bytes: 16 << 10,
            body_bytes: 64 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
