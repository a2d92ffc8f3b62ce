//! Doubly linked list whose links are stored in the entries of an arena.

use crate::entry::{Entries, EntryKey};

/// Neighbours of an entry in the list.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Links {
    older: Option<EntryKey>,
    newer: Option<EntryKey>,
}

/// Entries in insertion order. Any entry can be removed in constant time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct IntrusiveList {
    oldest: Option<EntryKey>,
    newest: Option<EntryKey>,
    len: usize,
}

impl IntrusiveList {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn oldest(&self) -> Option<EntryKey> {
        self.oldest
    }

    /// Appends an entry, which must not be in the list.
    pub(crate) fn push(&mut self, entries: &mut Entries, key: EntryKey) {
        entries[key].links = Links {
            older: self.newest,
            newer: None,
        };
        match self.newest {
            Some(newest) => entries[newest].links.newer = Some(key),
            None => self.oldest = Some(key),
        }
        self.newest = Some(key);
        self.len += 1;
    }

    /// Removes an entry, which must be in the list.
    pub(crate) fn remove(&mut self, entries: &mut Entries, key: EntryKey) {
        let links = std::mem::take(&mut entries[key].links);
        match links.older {
            Some(older) => entries[older].links.newer = links.newer,
            None => self.oldest = links.newer,
        }
        match links.newer {
            Some(newer) => entries[newer].links.older = links.older,
            None => self.newest = links.older,
        }
        self.len -= 1;
    }
}
