//! Which daemons read the published states from the platform, and whom the others ask.

use std::net::IpAddr;
use std::time::Duration;

use model::DataCentre;
use xxhash_rust::xxh3::xxh3_64;

use crate::target::Targets;

/// Number of readers in each data centre, and of those that the others ask first. The second one
/// takes over when the first doesn't answer or can't read.
pub const READERS: usize = 2;

/// Ages of the target list at which a daemon acts, as fractions of the bound for a leaving target.
/// The rest of the bound is for the read and for a second attempt.
const FIRST_READ_AGE: f64 = 0.25;
/// Age at which a reader of a data centre asks the first readers.
const READER_ASK_AGE: f64 = 0.3;
/// Age at which it reads, if they have no newer list.
const READER_READ_AGE: f64 = 0.35;
/// Added to these ages for each better-ranked reader.
const RANK_STEP: f64 = 0.07;
/// Age at which a daemon that is no reader asks those of its data centre.
const ASK_AGE: f64 = 0.42;
/// Range from which the age is drawn at which it reads by itself.
const MIN_FALLBACK_AGE: f64 = 0.55;
const MAX_FALLBACK_AGE: f64 = 0.7;

/// The readers that concern one daemon: those of its data centre and the first ones of the fleet.
///
/// Readers are the first [`READERS`] daemons by a hash of their address, so all daemons with the same
/// target list agree on them without an election. Usually the first reader of the fleet reads, one
/// reader in each data centre asks it, and the other daemons ask that reader. The number of reads
/// thus does not grow with that of daemons.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Readers {
    /// This daemon.
    own: Option<IpAddr>,
    /// First readers of the fleet, the best-ranked first.
    first: Vec<IpAddr>,
    /// Readers of the data centre, the best-ranked first.
    local: Vec<IpAddr>,
}

/// Ages of the target list at which a daemon asks its readers, and reads it itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadAges {
    /// Age from which the readers are asked.
    pub ask: Duration,
    /// Age from which the daemon reads the platform, if no reader had a newer list.
    pub read: Duration,
}

impl Readers {
    /// Ranks the daemons beside the targets.
    #[must_use]
    pub fn of(targets: &Targets, data_centre: &DataCentre, own: IpAddr) -> Self {
        let all = targets.iter().map(|target| target.address.ip());
        let local = targets.iter().filter(|t| t.data_centre == *data_centre);
        Readers {
            own: Some(own),
            first: best_ranked(all),
            local: best_ranked(local.map(|target| target.address.ip())),
        }
    }

    /// True if no daemon is known, so that there is nobody to ask.
    #[must_use]
    pub fn is_unknown(&self) -> bool {
        self.first.is_empty()
    }

    /// True if this daemon is a reader of its data centre.
    #[must_use]
    pub fn is_reader(&self) -> bool {
        self.own_rank(&self.local).is_some()
    }

    /// The daemons that this daemon asks before it reads by itself.
    #[must_use]
    pub fn to_ask(&self) -> Vec<IpAddr> {
        let better = |list: &[IpAddr]| list[..self.own_rank(list).unwrap_or(list.len())].to_vec();
        let mut to_ask = better(&self.local);
        if self.is_reader() || self.local.is_empty() {
            to_ask.extend(better(&self.first));
            to_ask.dedup();
        }
        to_ask
    }

    /// Returns the ages at which this daemon asks and reads, given the bound for a leaving target.
    ///
    /// `random`, from 0 to 1, spreads the reads of daemons that get no answer from any reader.
    #[must_use]
    pub fn ages(&self, drain: Duration, random: f64) -> ReadAges {
        let step = |rank: usize| RANK_STEP * f64::from(u32::try_from(rank).unwrap_or(0));
        let (ask, read) = if let Some(rank) = self.own_rank(&self.first) {
            let age = FIRST_READ_AGE + step(rank);
            (age, age)
        } else if let Some(rank) = self.own_rank(&self.local) {
            (READER_ASK_AGE + step(rank), READER_READ_AGE + step(rank))
        } else {
            let fallback = MIN_FALLBACK_AGE + (MAX_FALLBACK_AGE - MIN_FALLBACK_AGE) * random;
            (ASK_AGE, fallback)
        };
        ReadAges {
            ask: drain.mul_f64(ask),
            read: drain.mul_f64(read),
        }
    }

    fn own_rank(&self, list: &[IpAddr]) -> Option<usize> {
        list.iter().position(|ip| Some(*ip) == self.own)
    }
}

fn best_ranked(daemons: impl Iterator<Item = IpAddr>) -> Vec<IpAddr> {
    let mut ranked: Vec<IpAddr> = daemons.collect();
    ranked.sort_unstable_by_key(|ip| (rank(*ip), *ip));
    ranked.dedup();
    ranked.truncate(READERS);
    ranked
}

fn rank(ip: IpAddr) -> u64 {
    match ip {
        IpAddr::V4(ip) => xxh3_64(&ip.octets()),
        IpAddr::V6(ip) => xxh3_64(&ip.octets()),
    }
}
