//! Counters of control traffic.

use std::sync::atomic::{AtomicU64, Ordering};

/// A monotonic counter.
#[derive(Debug, Default)]
pub(crate) struct Counter(AtomicU64);

impl Counter {
    pub(crate) fn add(&self, count: usize) {
        let count = u64::try_from(count).unwrap_or(u64::MAX);
        self.0.fetch_add(count, Ordering::Relaxed);
    }

    pub(crate) fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Control traffic of one daemon since its start.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    /// Messages received.
    pub(crate) messages_in: Counter,
    /// Messages sent.
    pub(crate) messages_out: Counter,
    /// Bytes of frames received.
    pub(crate) bytes_in: Counter,
    /// Bytes of frames sent.
    pub(crate) bytes_out: Counter,
    /// Messages dropped: over a limit, or because the peer is slow, unreachable or disconnects.
    pub(crate) dropped: Counter,
    /// Connections opened to peers.
    pub(crate) connects: Counter,
    /// Reads of the document from the platform; a long poll counts as one.
    pub(crate) document_reads: Counter,
    /// Reads of the instance list from the platform; a long poll counts as one.
    pub(crate) instances_reads: Counter,
    /// Bytes read from the platform.
    pub(crate) platform_bytes: Counter,
    /// Alarms raised.
    pub(crate) alarms: Counter,
}
