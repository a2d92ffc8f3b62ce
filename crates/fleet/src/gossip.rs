//! Dissemination of notes to the neighbours; a note is a claim about one member.

use std::collections::VecDeque;

use wire::control::Note;

/// Maximum number of notes pushed in one message.
pub(crate) const MAX_NOTES: usize = 16;

/// Number of messages that each note is piggybacked on after it was pushed.
const PIGGYBACK_REPEATS: u8 = 8;

/// Maximum number of notes kept for piggybacking; the oldest are dropped.
const MAX_KEPT: usize = 1024;

/// Notes that are pushed to all neighbours once and then piggybacked on heartbeats.
#[derive(Debug, Default)]
pub(crate) struct Gossip {
    unsent: VecDeque<Note>,
    repeating: VecDeque<(Note, u8)>,
}

impl Gossip {
    /// Adds a note, replacing an earlier one about the same member.
    pub(crate) fn add(&mut self, note: Note) {
        self.unsent.retain(|earlier| earlier.id != note.id);
        self.repeating.retain(|(earlier, _)| earlier.id != note.id);
        self.unsent.push_back(note);
    }

    /// Piggybacks a note once more, for daemons that may have missed it.
    pub(crate) fn repeat(&mut self, note: Note) {
        if self
            .repeating
            .iter()
            .all(|(earlier, _)| earlier.id != note.id)
        {
            self.repeating.push_front((note, 1));
        }
    }

    /// Takes up to [`MAX_NOTES`] notes that have not been pushed yet.
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

    /// Returns up to `limit` notes to piggyback on a heartbeat.
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
