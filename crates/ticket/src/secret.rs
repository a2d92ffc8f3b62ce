//! The keyed checksum of a ticket.

use std::fmt;

use model::{Incarnation, InstanceId};
use xxhash_rust::xxh3::{xxh3_64_with_secret, xxh3_64_with_seed};

use crate::hash::{KeyHash, OperationHash};

/// Length of the secret of the keyed hash, in bytes.
const DERIVED_BYTES: usize = 192;

/// Secret of one incarnation, with which it verifies its own tickets.
///
/// The checksum is a keyed hash, not a cryptographic signature. It detects
/// damaged, confused and guessed tickets, but does not protect against somebody
/// who collects many tickets and computes the secret from them. A forged ticket
/// is accepted only for a sequence number that was issued and not yet used, so
/// such a caller could at most run its own request on another caller's open
/// ticket.
#[derive(Clone)]
pub struct Secret {
    derived: Box<[u8; DERIVED_BYTES]>,
}

impl Secret {
    /// Derives the secret from 128 bits that the process draws at random at its start.
    #[must_use]
    pub fn new(random: [u8; 16]) -> Self {
        let mut derived = Box::new([0; DERIVED_BYTES]);
        for (seed, chunk) in (0_u64..).zip(derived.chunks_mut(8)) {
            chunk.copy_from_slice(&xxh3_64_with_seed(&random, seed).to_le_bytes());
        }
        Secret { derived }
    }

    /// Computes the checksum over the other fields of a ticket.
    pub(crate) fn checksum(
        &self,
        instance: &InstanceId,
        incarnation: Incarnation,
        sequence: u64,
        operation: OperationHash,
        key: KeyHash,
    ) -> u64 {
        let mut fields = [0; 48];
        fields[..8].copy_from_slice(&u64::from(incarnation).to_le_bytes());
        fields[8..16].copy_from_slice(&sequence.to_le_bytes());
        fields[16..24].copy_from_slice(&u64::from(operation).to_le_bytes());
        fields[24..40].copy_from_slice(&u128::from(key).to_le_bytes());
        let name = xxh3_64_with_secret(instance.as_str().as_bytes(), &*self.derived);
        fields[40..].copy_from_slice(&name.to_le_bytes());
        xxh3_64_with_secret(&fields, &*self.derived)
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}
