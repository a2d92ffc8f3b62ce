//! A list that runs through the entries of an arena, oldest first.

use crate::entry::{Entries, EntryKey};

/// Neighbours of an entry in the chain.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Links {
    older: Option<EntryKey>,
    newer: Option<EntryKey>,
}

/// Entries in the order in which they were pushed, with removal from anywhere.
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

    /// Appends an entry that is not in the list as the newest one.
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

    /// Takes an entry out of the list, which it must be in.
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
