//! Calls that have run, and the order in which they are forgotten.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

use crate::answer::CachedAnswer;
use crate::entry::{Entries, EntryKey, State};

/// Calls that have run, in the order in which they ended.
///
/// Answers drop before calls are forgotten, both the oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct FinishedCalls {
    ended: VecDeque<EntryKey>,
    /// Those of `ended` whose answer is kept.
    cached: VecDeque<EntryKey>,
    cached_bytes: usize,
}

impl FinishedCalls {
    pub(crate) fn len(&self) -> usize {
        self.ended.len()
    }

    pub(crate) fn cached_bytes(&self) -> usize {
        self.cached_bytes
    }

    /// Adds a call that ended, with its answer.
    pub(crate) fn push_cached(
        &mut self,
        entries: &mut Entries,
        key: EntryKey,
        cached: Arc<CachedAnswer>,
    ) {
        self.cached_bytes += cached.bytes();
        entries[key].state = State::Cached(cached);
        self.cached.push_back(key);
        self.ended.push_back(key);
    }

    /// Adds a call that ended without an answer to keep.
    pub(crate) fn push_without_answer(&mut self, entries: &mut Entries, key: EntryKey) {
        entries[key].state = State::Gone;
        self.ended.push_back(key);
    }

    /// Drops the oldest answer, but not its call.
    pub(crate) fn drop_oldest_answer(&mut self, entries: &mut Entries) {
        let Some(key) = self.cached.pop_front() else {
            return;
        };
        let state = std::mem::replace(&mut entries[key].state, State::Gone);
        if let State::Cached(cached) = state {
            self.cached_bytes -= cached.bytes();
        }
    }

    /// Takes out the call that ended first, with its answer.
    pub(crate) fn pop_oldest(&mut self, entries: &mut Entries) -> Option<EntryKey> {
        let key = self.ended.pop_front()?;
        if self.cached.front() == Some(&key) {
            self.drop_oldest_answer(entries);
        }
        Some(key)
    }

    /// Returns when the oldest call ended.
    pub(crate) fn oldest_ended_at(&self, entries: &Entries) -> Option<Instant> {
        self.ended
            .front()
            .map(|&key| entries[key].expires_or_ended_at)
    }
}
