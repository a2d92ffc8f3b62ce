//! The order of the versions of a state.

use wire::control;

/// Revision of a state and the digest of its content.
///
/// Stamps are ordered by revision and then by digest, so that daemons that hold different
/// contents under one revision converge on the same one without coordination.
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

/// How an offered state compares with the one held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Comparison {
    /// It has a higher revision, or no state is held.
    Newer,
    /// It is the state held.
    Same,
    /// It has a lower revision and is ignored: a daemon never goes back.
    Older,
    /// It has the same revision with other content.
    Conflict {
        /// True if the offered content has the greater digest and replaces the one held.
        offered_wins: bool,
    },
}

/// Compares the stamp of an offered state with that of the state held.
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
