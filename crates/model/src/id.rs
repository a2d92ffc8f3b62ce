//! Identifiers that processes exchange.

use std::str::FromStr;

use derive_more::{Display, Error, From, Into};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Identifier of a root request, carried by all calls made on its behalf.
///
/// Written as 32 lowercase hexadecimal digits.
#[derive(Clone, Copy, Debug, Display, From, Into, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{_0:032x}")]
pub struct RequestId(u128);

impl RequestId {
    /// Hash that breaks ties between requests of equal importance when some must be shed. All
    /// hops compute the same hash, so they shed the same requests.
    #[must_use]
    pub fn shed_hash(self) -> u64 {
        xxh3_64(&self.0.to_be_bytes())
    }
}

/// Error for a text that is not a request identifier.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("not a request id; allowed: 32 hexadecimal digits")]
pub struct MalformedRequestId;

impl FromStr for RequestId {
    type Err = MalformedRequestId;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let hex = text.len() == 32 && text.bytes().all(|b| b.is_ascii_hexdigit());
        if !hex {
            return Err(MalformedRequestId);
        }
        u128::from_str_radix(text, 16)
            .map(RequestId)
            .map_err(|_| MalformedRequestId)
    }
}

/// Revision of a published document. A document is replaced only by one of a higher revision.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    From,
    Into,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Revision(u64);

impl Revision {
    /// Returns the next revision; the highest one is returned unchanged.
    #[must_use]
    pub fn next(self) -> Self {
        Revision(self.0.saturating_add(1))
    }
}

/// Identifier of one run of a daemon process, drawn at random at its start and never reused.
#[derive(
    Clone, Copy, Debug, Display, From, Into, PartialEq, Eq, PartialOrd, Ord, Hash, Default,
)]
#[display("{_0:016x}")]
pub struct Incarnation(u64);
