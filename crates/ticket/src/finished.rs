//! Finished calls, and the order in which they are removed.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

use crate::answer::CachedAnswer;
use crate::entry::{Entries, EntryKey, State};

/// Finished calls, in the order in which they ended.
///
/// Answers are dropped before entries are removed, both oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct FinishedCalls {
    ended: VecDeque<EntryKey>,
    /// Entries of `ended` whose answer is cached.
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

    /// Adds a finished call with its answer.
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

    /// Adds a finished call without an answer.
    pub(crate) fn push_without_answer(&mut self, entries: &mut Entries, key: EntryKey) {
        entries[key].state = State::Gone;
        self.ended.push_back(key);
    }

    /// Drops the oldest cached answer; its call stays.
    pub(crate) fn drop_oldest_answer(&mut self, entries: &mut Entries) {
        let Some(key) = self.cached.pop_front() else {
            return;
        };
        let state = std::mem::replace(&mut entries[key].state, State::Gone);
        if let State::Cached(cached) = state {
            self.cached_bytes -= cached.bytes();
        }
    }

    /// Removes the call that ended first, together with its answer.
    pub(crate) fn pop_oldest(&mut self, entries: &mut Entries) -> Option<EntryKey> {
        let key = self.ended.pop_front()?;
        if self.cached.front() == Some(&key) {
            self.drop_oldest_answer(entries);
        }
        Some(key)
    }

    /// Returns when the oldest call ended, or `None` if there are no calls.
    pub(crate) fn oldest_ended_at(&self, entries: &Entries) -> Option<Instant> {
        self.ended
            .front()
            .map(|&key| entries[key].expires_or_ended_at)
    }
}
