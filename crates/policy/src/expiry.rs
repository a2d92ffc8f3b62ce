//! Min-heap of the waiters by latest useful start.

use std::time::Instant;

use crate::work::WaiterKey;

/// Children per node; four entries span one or two cache lines.
const ARITY: usize = 4;

/// A d-ary min-heap of waiters by latest useful start.
///
/// The callback `moved` reports each new position of an entry. The caller keeps the
/// positions, so that it can remove an entry from the middle.
#[derive(Debug, Default)]
pub(crate) struct ExpiryHeap {
    entries: Vec<(Instant, WaiterKey)>,
}

impl ExpiryHeap {
    pub(crate) fn with_capacity(capacity: usize) -> Self {
        ExpiryHeap {
            entries: Vec::with_capacity(capacity),
        }
    }

    /// Returns the entry with the earliest latest start.
    pub(crate) fn first(&self) -> Option<(Instant, WaiterKey)> {
        self.entries.first().copied()
    }

    pub(crate) fn push(
        &mut self,
        at: Instant,
        key: WaiterKey,
        mut moved: impl FnMut(WaiterKey, usize),
    ) {
        self.entries.push((at, key));
        self.sift_up(self.entries.len() - 1, &mut moved);
    }

    pub(crate) fn remove(&mut self, position: usize, mut moved: impl FnMut(WaiterKey, usize)) {
        self.entries.swap_remove(position);
        if position < self.entries.len() {
            let position = self.sift_up(position, &mut moved);
            self.sift_down(position, &mut moved);
        }
    }

    fn sift_up(&mut self, mut position: usize, moved: &mut impl FnMut(WaiterKey, usize)) -> usize {
        let entry = self.entries[position];
        while position > 0 {
            let parent = (position - 1) / ARITY;
            if self.entries[parent].0 <= entry.0 {
                break;
            }
            self.set(position, self.entries[parent], moved);
            position = parent;
        }
        self.set(position, entry, moved);
        position
    }

    fn sift_down(&mut self, mut position: usize, moved: &mut impl FnMut(WaiterKey, usize)) {
        let entry = self.entries[position];
        while let Some(child) = self.min_child(position) {
            if entry.0 <= self.entries[child].0 {
                break;
            }
            self.set(position, self.entries[child], moved);
            position = child;
        }
        self.set(position, entry, moved);
    }

    fn min_child(&self, position: usize) -> Option<usize> {
        let first = position * ARITY + 1;
        let end = (first + ARITY).min(self.entries.len());
        (first..end).min_by_key(|&child| self.entries[child].0)
    }

    fn set(
        &mut self,
        position: usize,
        entry: (Instant, WaiterKey),
        moved: &mut impl FnMut(WaiterKey, usize),
    ) {
        self.entries[position] = entry;
        moved(entry.1, position);
    }
}
