//! Limits on the memory that the types of this crate use.

use std::time::Duration;

/// Limits of a [`TicketWindow`](crate::TicketWindow).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WindowConfig {
    /// Time for which a ticket stays open after it was last issued.
    pub ticket_ttl: Duration,
    /// Largest number of open tickets; beyond it the oldest one expires early.
    pub max_open: usize,
    /// Largest number of finished calls with an entry; beyond it the oldest one is removed.
    pub max_finished: usize,
    /// Memory for cached answers, in bytes; beyond it the oldest answer is dropped.
    pub max_cached_bytes: usize,
    /// Largest answer that is cached, in bytes.
    pub max_answer_bytes: usize,
    /// Number of latest sequence numbers in the bitmap of started calls.
    pub max_sequences: usize,
}

impl Default for WindowConfig {
    fn default() -> Self {
        WindowConfig {
            ticket_ttl: Duration::from_mins(2),
            max_open: 50_000,
            max_finished: 100_000,
            max_cached_bytes: 16 << 20,
            max_answer_bytes: 64 << 10,
            max_sequences: 1 << 20,
        }
    }
}

/// Limits of a [`SourceWindow`](crate::SourceWindow).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SourceConfig {
    /// Number of calls of one source that may overtake a call before it is refused.
    pub window: usize,
    /// Largest number of sources whose replay window has a bitmap; the window of others is only
    /// its lower edge.
    pub max_active: usize,
    /// Largest number of sources; calls from further ones are refused.
    pub max_sources: usize,
}

impl Default for SourceConfig {
    fn default() -> Self {
        SourceConfig {
            window: 4096,
            max_active: 4096,
            max_sources: 65_536,
        }
    }
}

/// Limits of a [`CallLedger`](crate::CallLedger).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LedgerConfig {
    /// Largest number of distinct calls that one execution may make.
    pub max_calls: usize,
    /// Memory for cached answers, in bytes; further answers are not cached.
    pub max_cached_bytes: usize,
}

impl Default for LedgerConfig {
    fn default() -> Self {
        LedgerConfig {
            max_calls: 1024,
            max_cached_bytes: 256 << 10,
        }
    }
}
