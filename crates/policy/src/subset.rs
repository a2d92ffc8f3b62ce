//! Selection of the bounded subset of a service's instances that one daemon calls.

use model::InstanceId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use xxhash_rust::xxh3::xxh3_64;

/// Rank of a candidate for one daemon by rendezvous hashing.
///
/// Each daemon has its own ranking, so the subsets of many daemons spread over all
/// candidates, and adding or removing a candidate doesn't change the order of the others.
pub(crate) fn rank(own_id: &InstanceId, candidate: &InstanceId) -> u64 {
    let seed = xxh3_64(own_id.as_str().as_bytes());
    xxh3_64_with_seed(candidate.as_str().as_bytes(), seed)
}

/// Keeps the `size` items with the highest ranks, in no particular order; all if `size` is 0.
pub(crate) fn keep_best<T>(items: &mut Vec<T>, size: usize, rank: impl Fn(&T) -> u64) {
    if items.len() > size && size > 0 {
        items.select_nth_unstable_by_key(size - 1, |item| std::cmp::Reverse(rank(item)));
        items.truncate(size);
    }
}
