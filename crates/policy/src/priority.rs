//! Priority of waiting work, encoded in one small integer.

use std::time::Duration;

use model::{Class, Goal};

use crate::scale::{log_bucket, micros};
use crate::work::Work;

/// Bits of the score within a class.
const SCORE_BITS: u32 = 6;
/// Largest score.
const MAX_SCORE: u32 = (1 << SCORE_BITS) - 1;
/// Bits of the root request's hash that break ties within a priority.
pub(crate) const HASH_BITS: u32 = 3;
/// Number of priorities in one class.
pub(crate) const PRIORITIES_PER_CLASS: usize = 2 << SCORE_BITS;
/// Number of priorities in all classes.
pub(crate) const PRIORITIES: usize = PRIORITIES_PER_CLASS * Class::ALL.len();
/// Number of buckets: one for each combination of priority and hash bits.
pub(crate) const BUCKETS: usize = PRIORITIES << HASH_BITS;

/// Priority of waiting work; a higher one is started earlier and shed later.
///
/// From the most significant bits: class, first try or retry (first tries rank higher),
/// score under the operators' goal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Priority(u16);

impl Priority {
    pub(crate) fn index(self) -> usize {
        usize::from(self.0)
    }

    pub(crate) fn class(self) -> Class {
        Class::ALL[self.index() / PRIORITIES_PER_CLASS]
    }
}

/// A priority and the leading bits of the root request's hash; the lowest bucket is shed first.
///
/// As all hops use the same hash, they shed the calls of the same root requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Bucket(u16);

impl Bucket {
    pub(crate) fn new(priority: Priority, shed_hash: u64) -> Self {
        let hash_bits = u16::try_from(shed_hash >> (u64::BITS - HASH_BITS)).unwrap_or(0);
        Bucket((priority.0 << HASH_BITS) + hash_bits)
    }

    pub(crate) fn from_parts(priority: usize, hash_bits: u32) -> Self {
        let priority = u16::try_from(priority).unwrap_or(0);
        let hash_bits = u16::try_from(hash_bits).unwrap_or(0);
        Bucket((priority << HASH_BITS) + hash_bits)
    }

    pub(crate) fn index(self) -> usize {
        usize::from(self.0)
    }

    pub(crate) fn priority(self) -> Priority {
        Priority(self.0 >> HASH_BITS)
    }

    /// Returns the mask with the one bit that stands for the bucket's hash bits.
    pub(crate) fn bit(self) -> u8 {
        1 << (self.0 & ((1 << HASH_BITS) - 1))
    }
}

/// Expected duration of a call and whether it will meet its deadline.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Forecast {
    /// Expected run time in the target.
    pub(crate) run_time: Duration,
    /// True if the call meets its deadline even when the target is slower than usual.
    pub(crate) has_margin: bool,
}

/// Returns the priority of a call under a goal.
pub(crate) fn priority_of(work: &Work, forecast: Forecast, goal: Goal) -> Priority {
    let score = match goal {
        Goal::Goodput => goodput_score(work.worth, forecast.run_time),
        Goal::Recovery => recovery_score(forecast),
    };
    let class = u32::from(work.class as u8);
    let first_try = u32::from(work.attempt == 0);
    let priority = (class << (SCORE_BITS + 1)) + (first_try << SCORE_BITS) + score;
    Priority(u16::try_from(priority).unwrap_or(0))
}

/// Returns the worth per expected run time on a logarithmic scale, in half octaves.
fn goodput_score(worth: u32, run_time: Duration) -> u32 {
    /// Scales the quotient so that one unit of worth per second has the lowest score.
    const WORTH_SHIFT: u32 = 24;
    const MIN_LOG_BUCKET: u32 = 8;

    let scaled = u64::from(worth) << WORTH_SHIFT;
    let per_time = scaled / micros(run_time).max(1);
    log_bucket::<1>(per_time)
        .saturating_sub(MIN_LOG_BUCKET)
        .min(MAX_SCORE)
}

/// Ranks calls that meet their deadline with a margin first, then shorter calls before longer
/// ones.
fn recovery_score(forecast: Forecast) -> u32 {
    /// Number of scores for calls with a margin, and for those without.
    const LENGTH_SCORES: u32 = 1 << (SCORE_BITS - 1);

    let length = log_bucket::<1>(micros(forecast.run_time) >> MIN_RUN_TIME_SHIFT);
    let score = (LENGTH_SCORES - 1).saturating_sub(length);
    u32::from(forecast.has_margin) * LENGTH_SCORES + score
}

/// Run times below `1 << MIN_RUN_TIME_SHIFT` microseconds get the same score.
const MIN_RUN_TIME_SHIFT: u32 = 6;
