//! Limits and timeouts of a client.

use std::time::Duration;

use model::DataCentre;

/// Limits and timeouts of a [`Client`](crate::Client).
#[derive(Clone, Debug)]
pub struct ClientConfig {
    /// Timeout for establishing a connection.
    pub connect_timeout: Duration,
    /// Deadline of a call that sets none, from the start of the call.
    pub deadline: Duration,
    /// Maximum number of sends per call. A send that only lacked a ticket does
    /// not count.
    pub max_sends: u16,
    /// Longest `retry-after` that the client waits out; with a longer one the
    /// call ends, and the wait is left to the caller.
    pub max_wait: Duration,
    /// Base of the wait before a call is sent again after an unknown outcome;
    /// doubles with each send of the call.
    pub unknown_outcome_wait: Duration,
    /// Maximum size of a collected body, in bytes. A larger answer counts as
    /// lost; use [`Client::stream`](crate::Client::stream) for large answers.
    pub max_answer_bytes: usize,
    /// Maximum number of tickets held, including those of calls with an unknown
    /// outcome.
    pub max_tickets: usize,
    /// Age after which the instance list is read again.
    pub refresh_interval: Duration,
    /// Data centre whose instances are preferred as entries.
    pub data_centre: Option<DataCentre>,
}

impl Default for ClientConfig {
    fn default() -> Self {
        ClientConfig {
            connect_timeout: Duration::from_secs(1),
            deadline: Duration::from_secs(10),
            max_sends: 4,
            max_wait: Duration::from_secs(5),
            unknown_outcome_wait: Duration::from_millis(100),
            max_answer_bytes: 8 << 20,
            max_tickets: 1024,
            refresh_interval: Duration::from_secs(30),
            data_centre: None,
        }
    }
}
