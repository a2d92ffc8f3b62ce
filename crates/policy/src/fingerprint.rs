//! Identity of a request that comes again under another id.

use derive_more::Display;

/// Hash of everything that decides what a request does in a target.
///
/// It is cryptographic, so that no caller can craft a request with the fingerprint of another
/// caller's.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[display("{_0:016x}")]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Hashes the parts of a request. The lengths of the parts are hashed too, so that bytes can't
    /// move from one part to the next unnoticed.
    #[must_use]
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut first = [0; 8];
        hasher.finalize_xof().fill(&mut first);
        Fingerprint(u64::from_le_bytes(first))
    }

    /// Parses the hexadecimal form that [`Display`](std::fmt::Display) writes.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        u64::from_str_radix(text, 16).ok().map(Fingerprint)
    }
}
