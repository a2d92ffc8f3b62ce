//! One route and what it promises.

use std::time::Duration;

use model::ServiceName;
use smol_str::SmolStr;

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Repeat {
    /// The request may run more than once.
    Idempotent,
    /// The request runs at most once per attempt of its caller.
    AtMostOnce,
}

/// One service's part of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// The service.
    pub service: ServiceName,
    /// Its weight; its part is the weight over the sum of all weights.
    pub weight: u32,
}

/// How requests of one host and prefix are handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name that the operators gave.
    pub name: SmolStr,
    /// Host that requests name, without a port, in lower case.
    pub host: SmolStr,
    /// Beginning of the paths; starts and ends with a slash.
    pub prefix: SmolStr,
    /// What may be repeated.
    pub repeat: Repeat,
    /// Services that take the requests.
    pub shares: Vec<Share>,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer earns full credit.
    pub target_latency: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Targets to which one attempt of a caller may be sent.
    pub max_sends: u32,
}

/// What the operators say of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// The service.
    pub name: ServiceName,
    /// Connections that one of its targets accepts.
    pub max_connections: u32,
}

/// What a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub header_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: u64,
    /// Longest time that a head may take to arrive.
    pub header_timeout: Duration,
    /// Longest time that a caller's connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Limits that hold until the operators' own are known.
    fn default() -> Self {
        Limits {
            header_bytes: 16 << 10,
            body_bytes: 64 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
