//! Hashes of the operation and the idempotency key that a ticket is bound to.

use derive_more::{Display, From, Into};
use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

/// Separator of service and operation; neither name contains it.
const SEPARATOR: u8 = b'/';

/// Hash of an operation's name. It is the same in every revision of the configuration document.
///
/// Written as 16 lowercase hexadecimal digits.
#[derive(Clone, Copy, Debug, Display, From, Into, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{_0:016x}")]
pub struct OperationHash(u64);

impl OperationHash {
    /// Hashes `service/operation`.
    #[must_use]
    pub fn of(service: &str, operation: &str) -> Self {
        let mut name = Vec::with_capacity(service.len() + 1 + operation.len());
        name.extend_from_slice(service.as_bytes());
        name.push(SEPARATOR);
        name.extend_from_slice(operation.as_bytes());
        OperationHash(xxh3_64(&name))
    }
}

/// Hash of an idempotency key.
///
/// It has 128 bits because two keys with the same hash would share one answer.
/// Written as 32 lowercase hexadecimal digits.
#[derive(Clone, Copy, Debug, Display, From, Into, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{_0:032x}")]
pub struct KeyHash(u128);

impl KeyHash {
    /// Hashes the text of an `idempotency-key` header.
    #[must_use]
    pub fn of(key: &str) -> Self {
        KeyHash(xxh3_128(key.as_bytes()))
    }
}
