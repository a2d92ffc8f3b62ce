//! News about members on its way to the neighbours.

use std::collections::VecDeque;

use wire::control::Note;

/// Most notes in one message.
pub(crate) const MAX_NOTES: usize = 16;

/// Messages that each note rides on after it was pushed.
const PIGGYBACK_REPEATS: u8 = 8;

/// Most notes kept for passing on.
const MAX_KEPT: usize = 1024;

/// Notes to be pushed at once and then repeated on heartbeats.
#[derive(Debug, Default)]
pub(crate) struct Gossip {
    unsent: VecDeque<Note>,
    repeating: VecDeque<(Note, u8)>,
}

impl Gossip {
    /// Adds a note; an earlier one about the same member is replaced.
    pub(crate) fn add(&mut self, note: Note) {
        self.unsent.retain(|earlier| earlier.id != note.id);
        self.repeating.retain(|(earlier, _)| earlier.id != note.id);
        self.unsent.push_back(note);
    }

    /// Lets a note ride once more, in case that somebody has missed it.
    pub(crate) fn repeat(&mut self, note: Note) {
        if self
            .repeating
            .iter()
            .all(|(earlier, _)| earlier.id != note.id)
        {
            self.repeating.push_front((note, 1));
        }
    }

    /// Takes the notes that are to be pushed to all neighbours now.
    pub(crate) fn take_unsent(&mut self) -> Vec<Note> {
        let count = self.unsent.len().min(MAX_NOTES);
        let notes: Vec<Note> = self.unsent.drain(..count).collect();
        for note in &notes {
            self.repeating.push_back((note.clone(), PIGGYBACK_REPEATS));
        }
        while self.repeating.len() > MAX_KEPT {
            self.repeating.pop_front();
        }
        notes
    }

    /// Takes a few notes to ride on a heartbeat.
    pub(crate) fn piggyback(&mut self, limit: usize) -> Vec<Note> {
        let mut notes = Vec::new();
        for _ in 0..limit.min(self.repeating.len()) {
            let Some((note, left)) = self.repeating.pop_front() else {
                break;
            };
            notes.push(note.clone());
            if left > 1 {
                self.repeating.push_back((note, left - 1));
            }
        }
        notes
    }
}
