//! Bounds of the memory that the records of this crate may take.

use std::time::Duration;

/// Bounds of a [`TicketWindow`](crate::TicketWindow).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WindowConfig {
    /// Time that a ticket stays open after it was last handed out.
    pub ticket_ttl: Duration,
    /// Open tickets remembered; the oldest gives way and expires early.
    pub max_open: usize,
    /// Calls that ran and are remembered; the oldest is forgotten first.
    pub max_finished: usize,
    /// Memory for kept answers, in bytes; the oldest answer drops first.
    pub max_cached_bytes: usize,
    /// Largest answer that is kept, in bytes.
    pub max_answer_bytes: usize,
    /// Latest sequences of which it stays known whether they ever started.
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

/// Bounds of a [`SourceWindow`](crate::SourceWindow).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SourceConfig {
    /// Calls of one source that may overtake a call before it is refused.
    pub window: usize,
    /// Sources of which each late call is told apart; others keep their edge.
    pub max_active: usize,
    /// Sources remembered in all; further ones are refused.
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

/// Bounds of a [`CallLedger`](crate::CallLedger).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LedgerConfig {
    /// Calls that one execution may make with distinct keys.
    pub max_calls: usize,
    /// Memory for kept answers, in bytes; further answers are not kept.
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
