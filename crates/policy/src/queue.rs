//! Priority queue of the calls that wait for a slot.

use std::time::Instant;

use model::Class;
use slotmap::{Key, SlotMap};

use crate::expiry::ExpiryHeap;
use crate::priority::{BUCKETS, Bucket, PRIORITIES, PRIORITIES_PER_CLASS, Priority};
use crate::work::{WaiterKey, Work};

/// Priorities per word of the occupancy bitmap.
const WORD_BITS: usize = 64;
/// Maximum number of waiters for which memory is allocated in advance.
const MAX_PREALLOCATED: usize = 1 << 12;

/// One waiter and its links to its neighbours in its bucket.
#[derive(Debug)]
struct Waiter {
    work: Work,
    bucket: Bucket,
    sequence: u64,
    older: WaiterKey,
    newer: WaiterKey,
    expiry_position: usize,
}

/// The waiters of one bucket, from the oldest to the newest.
#[derive(Clone, Copy, Debug, Default)]
struct List {
    oldest: WaiterKey,
    newest: WaiterKey,
}

/// Calls that wait for a slot, ordered by priority.
///
/// The queue keeps one linked list per bucket, and bitmaps of the occupied buckets find
/// the highest and the lowest one. The cost of an operation thus does not depend on the
/// number of waiters, except for the heap of latest starts, where it is logarithmic.
#[derive(Debug)]
pub(crate) struct AdmissionQueue {
    waiters: SlotMap<WaiterKey, Waiter>,
    /// One list per bucket.
    lists: Box<[List]>,
    /// Per priority, a bitmap of the values of the hash bits whose bucket has waiters.
    hash_masks: [u8; PRIORITIES],
    /// Bitmap of the priorities with waiters.
    words: [u64; PRIORITIES / WORD_BITS],
    priority_counts: [u32; PRIORITIES],
    class_counts: [u32; Class::ALL.len()],
    expiry: ExpiryHeap,
    next_sequence: u64,
}

impl AdmissionQueue {
    pub(crate) fn new(capacity: u32) -> Self {
        let preallocated = usize::try_from(capacity)
            .unwrap_or(usize::MAX)
            .min(MAX_PREALLOCATED);
        AdmissionQueue {
            waiters: SlotMap::with_capacity_and_key(preallocated),
            lists: vec![List::default(); BUCKETS].into_boxed_slice(),
            hash_masks: [0; PRIORITIES],
            words: [0; PRIORITIES / WORD_BITS],
            priority_counts: [0; PRIORITIES],
            class_counts: [0; Class::ALL.len()],
            expiry: ExpiryHeap::with_capacity(preallocated),
            next_sequence: 0,
        }
    }

    /// Number of waiters.
    pub(crate) fn len(&self) -> u32 {
        u32::try_from(self.waiters.len()).unwrap_or(u32::MAX)
    }

    /// Returns the priority of the highest-ranked waiter.
    pub(crate) fn highest(&self) -> Option<Priority> {
        self.base_bucket_of_highest().map(Bucket::priority)
    }

    /// Returns the bucket of the lowest-ranked waiter.
    pub(crate) fn lowest(&self) -> Option<Bucket> {
        let word = self.words.iter().position(|&word| word != 0)?;
        let bit = self.words[word].trailing_zeros() as usize;
        let priority = word * WORD_BITS + bit;
        Some(Bucket::from_parts(
            priority,
            self.hash_masks[priority].trailing_zeros(),
        ))
    }

    /// Number of waiters with a higher priority.
    pub(crate) fn count_above(&self, priority: Priority) -> u32 {
        let class = priority.class().index();
        let class_end = (class + 1) * PRIORITIES_PER_CLASS;
        let higher: u32 = self.class_counts[class + 1..].iter().sum();
        let same: u32 = self.priority_counts[priority.index() + 1..class_end]
            .iter()
            .sum();
        higher + same
    }

    /// Number of waiters with the same priority.
    pub(crate) fn count_at(&self, priority: Priority) -> u32 {
        self.priority_counts[priority.index()]
    }

    /// Adds a waiter that cannot meet its deadline if it starts after `latest_start`.
    pub(crate) fn push(
        &mut self,
        work: Work,
        priority: Priority,
        latest_start: Instant,
    ) -> WaiterKey {
        let bucket = Bucket::new(priority, work.shed_hash);
        let older = self.lists[bucket.index()].newest;
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let key = self.waiters.insert(Waiter {
            work,
            bucket,
            sequence,
            older,
            newer: WaiterKey::null(),
            expiry_position: 0,
        });
        match self.waiters.get_mut(older) {
            Some(waiter) => waiter.newer = key,
            None => self.lists[bucket.index()].oldest = key,
        }
        self.lists[bucket.index()].newest = key;
        self.count_inserted(bucket);
        let waiters = &mut self.waiters;
        self.expiry.push(latest_start, key, |moved, position| {
            waiters[moved].expiry_position = position;
        });
        key
    }

    /// Removes the waiter that starts next: of the highest priority, the newest or the oldest.
    pub(crate) fn pop_highest(&mut self, newest_first: bool) -> Option<(WaiterKey, Work)> {
        let priority = self.highest()?;
        let mut hash_mask = self.hash_masks[priority.index()];
        let mut chosen: Option<(u64, WaiterKey)> = None;
        while hash_mask != 0 {
            let bucket = Bucket::from_parts(priority.index(), hash_mask.trailing_zeros());
            hash_mask &= hash_mask - 1;
            let list = self.lists[bucket.index()];
            let key = if newest_first {
                list.newest
            } else {
                list.oldest
            };
            let sequence = self.waiters[key].sequence;
            let is_better = chosen.is_none_or(|(best, _)| (sequence > best) == newest_first);
            if is_better {
                chosen = Some((sequence, key));
            }
        }
        let (_, key) = chosen?;
        self.remove(key).map(|work| (key, work))
    }

    /// Removes the waiter that is shed next: the oldest in the lowest bucket.
    pub(crate) fn pop_lowest(&mut self) -> Option<(WaiterKey, Work)> {
        let bucket = self.lowest()?;
        let key = self.lists[bucket.index()].oldest;
        self.remove(key).map(|work| (key, work))
    }

    /// Removes the waiter with the earliest latest start if that time has been reached.
    pub(crate) fn pop_expired(&mut self, now: Instant) -> Option<(WaiterKey, Work)> {
        let (at, key) = self.expiry.first()?;
        if at > now {
            return None;
        }
        self.remove(key).map(|work| (key, work))
    }

    /// Returns the earliest of the latest starts.
    pub(crate) fn next_expiry(&self) -> Option<Instant> {
        self.expiry.first().map(|(at, _)| at)
    }

    /// Removes a waiter; `None` if it no longer waits.
    pub(crate) fn remove(&mut self, key: WaiterKey) -> Option<Work> {
        let waiter = self.waiters.remove(key)?;
        let list = &mut self.lists[waiter.bucket.index()];
        match self.waiters.get_mut(waiter.older) {
            Some(older) => older.newer = waiter.newer,
            None => list.oldest = waiter.newer,
        }
        match self.waiters.get_mut(waiter.newer) {
            Some(newer) => newer.older = waiter.older,
            None => list.newest = waiter.older,
        }
        self.count_removed(waiter.bucket);
        let waiters = &mut self.waiters;
        self.expiry
            .remove(waiter.expiry_position, |moved, position| {
                waiters[moved].expiry_position = position;
            });
        Some(waiter.work)
    }

    fn base_bucket_of_highest(&self) -> Option<Bucket> {
        let word = self.words.iter().rposition(|&word| word != 0)?;
        let bit = WORD_BITS - 1 - self.words[word].leading_zeros() as usize;
        Some(Bucket::from_parts(word * WORD_BITS + bit, 0))
    }

    fn count_inserted(&mut self, bucket: Bucket) {
        let priority = bucket.priority().index();
        self.hash_masks[priority] |= bucket.bit();
        self.words[priority / WORD_BITS] |= 1 << (priority % WORD_BITS);
        self.priority_counts[priority] += 1;
        self.class_counts[bucket.priority().class().index()] += 1;
    }

    fn count_removed(&mut self, bucket: Bucket) {
        let priority = bucket.priority().index();
        self.priority_counts[priority] -= 1;
        self.class_counts[bucket.priority().class().index()] -= 1;
        if self.lists[bucket.index()].oldest.is_null() {
            self.hash_masks[priority] &= !bucket.bit();
        }
        if self.priority_counts[priority] == 0 {
            self.words[priority / WORD_BITS] &= !(1 << (priority % WORD_BITS));
        }
    }
}
