//! Which state is newer.

use wire::control;

/// Revision of a state and the digest of its content.
///
/// Stamps are ordered by revision and then by digest, so that daemons which hold the same
/// revision with different content converge on one of them without talking it over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Stamp {
    /// Revision given by the platform.
    pub revision: u64,
    /// Digest of the canonical content.
    pub digest: u64,
}

impl From<control::Stamp> for Stamp {
    fn from(stamp: control::Stamp) -> Self {
        Stamp {
            revision: stamp.revision,
            digest: stamp.digest,
        }
    }
}

impl From<Stamp> for control::Stamp {
    fn from(stamp: Stamp) -> Self {
        control::Stamp {
            revision: stamp.revision,
            digest: stamp.digest,
        }
    }
}

/// What an offered state is to a daemon that holds another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Comparison {
    /// Newer: take it.
    Newer,
    /// The state already held.
    Same,
    /// Older: a daemon never goes back.
    Older,
    /// The same revision with other content, which wins if `take` is true.
    Conflict {
        /// True if the offered content has the greater digest.
        offered_wins: bool,
    },
}

/// Judges an offered state against the one held.
#[must_use]
pub fn compare(held: Option<Stamp>, offered: Stamp) -> Comparison {
    let Some(held) = held else {
        return Comparison::Newer;
    };
    match offered.revision.cmp(&held.revision) {
        std::cmp::Ordering::Greater => Comparison::Newer,
        std::cmp::Ordering::Less => Comparison::Older,
        std::cmp::Ordering::Equal if offered.digest == held.digest => Comparison::Same,
        std::cmp::Ordering::Equal => Comparison::Conflict {
            offered_wins: offered.digest > held.digest,
        },
    }
}
