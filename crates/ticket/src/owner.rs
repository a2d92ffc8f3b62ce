//! Choice of the instance that issues the tickets for a key.

use model::InstanceId;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::hash::KeyHash;

/// Chooses the instance that issues the ticket of a key, by rendezvous hashing.
///
/// Daemons with the same list of instances choose the same one, so a caller that
/// repeats a call at another daemon usually gets the same ticket. Daemons with
/// different lists may choose differently. At-most-once execution does not depend
/// on this choice: each ticket names the only incarnation that may run it.
///
/// Returns `None` if there are no instances.
pub fn owner<'a, I>(key: KeyHash, instances: I) -> Option<&'a InstanceId>
where
    I: IntoIterator<Item = &'a InstanceId>,
{
    let seed = xxh3_64(&u128::from(key).to_le_bytes());
    instances.into_iter().max_by_key(|instance| {
        (
            xxh3_64_with_seed(instance.as_str().as_bytes(), seed),
            *instance,
        )
    })
}
