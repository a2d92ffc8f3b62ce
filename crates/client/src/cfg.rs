//! Bounds and times of a client.

use std::time::Duration;

use model::DataCentre;

/// Bounds and times of a [`Client`](crate::Client).
#[derive(Clone, Debug)]
pub struct ClientConfig {
    /// Time in which a connection must be set up.
    pub connect_timeout: Duration,
    /// Time of a call that sets none of its own.
    pub deadline: Duration,
    /// Sends that one call may cost.
    pub max_sends: u16,
    /// Longest wait between two sends; a longer one is left to the caller.
    pub max_wait: Duration,
    /// Wait before asking for the fate of a call the first time; it doubles.
    pub unknown_outcome_wait: Duration,
    /// Largest body that is collected, in bytes; a larger answer counts as
    /// lost, so stream what may be large.
    pub max_answer_bytes: usize,
    /// Tickets held for calls to come and for calls of open fate.
    pub max_tickets: usize,
    /// Age from which the instance list is read again.
    pub refresh_interval: Duration,
    /// Data centre whose instances are preferred.
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
