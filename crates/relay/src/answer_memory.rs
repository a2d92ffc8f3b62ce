//! Bound on the memory that answers of unknown length may use.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;

/// Maximum number of bytes of answers without announced length that one daemon holds: a fraction of
/// the memory of the smallest instances, and enough for hundreds of usual answers at once.
const MAX_BYTES: usize = 32 << 20;

/// Counts the bytes that a daemon holds of answers without announced length.
#[derive(Debug, Default)]
pub(crate) struct AnswerMemory {
    // Bytes may be dropped on any thread, so the count is atomic.
    bytes: Arc<AtomicUsize>,
}

/// Bytes that one answer holds; released when dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    bytes: usize,
    total: Arc<AtomicUsize>,
}

impl AnswerMemory {
    /// Starts a reservation without any bytes.
    pub(crate) fn reserve_none(&self) -> Reservation {
        Reservation {
            bytes: 0,
            total: Arc::clone(&self.bytes),
        }
    }

    /// Bytes that are reserved now.
    pub(crate) fn reserved(&self) -> usize {
        self.bytes.load(Ordering::Relaxed)
    }
}

impl Reservation {
    /// Adds bytes that have arrived. Returns `false` if no more may be held.
    pub(crate) fn grow(&mut self, bytes: usize) -> bool {
        self.bytes += bytes;
        self.total.fetch_add(bytes, Ordering::Relaxed) + bytes < MAX_BYTES
    }

    /// Ties the reservation to the bytes that it was made for.
    pub(crate) fn attach_to(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(ReservedBytes {
            bytes,
            _reservation: self,
        })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.total.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

struct ReservedBytes {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
