//! Bitmap of the latest sequence numbers whose calls have started.

/// Bits in one word of the bitmap.
const WORD_BITS: usize = u64::BITS as usize;

/// Status of an issued sequence number that has no entry any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SequenceStatus {
    /// Its call certainly never started.
    NeverStarted,
    /// Its call started, so it may have run.
    Started,
    /// The number is below the lower edge of the bitmap.
    BelowEdge,
}

/// One bit for each of the latest issued sequence numbers: whether its call ever started.
///
/// A running call has an entry; its bit is set when the call ends.
#[derive(Clone, Debug)]
pub(crate) struct StartBitmap {
    started: Box<[u64]>,
    next: u64,
}

impl StartBitmap {
    /// Creates a bitmap for at least `sequences` sequence numbers.
    pub(crate) fn new(sequences: usize) -> Self {
        let words = sequences.div_ceil(WORD_BITS).max(1);
        StartBitmap {
            started: vec![0; words].into_boxed_slice(),
            next: 0,
        }
    }

    /// Issues the next sequence number, which reuses the bit of the oldest one.
    pub(crate) fn issue(&mut self) -> u64 {
        let sequence = self.next;
        let (word, bit) = self.bit_position(sequence);
        self.started[word] &= !bit;
        self.next += 1;
        sequence
    }

    /// Sets the bit of an issued sequence number, unless it is below the lower edge.
    pub(crate) fn mark_started(&mut self, sequence: u64) {
        if self.contains(sequence) {
            let (word, bit) = self.bit_position(sequence);
            self.started[word] |= bit;
        }
    }

    /// Returns the status of a sequence number, or `None` if it was never issued.
    pub(crate) fn status(&self, sequence: u64) -> Option<SequenceStatus> {
        if sequence >= self.next {
            return None;
        }
        if !self.contains(sequence) {
            return Some(SequenceStatus::BelowEdge);
        }
        let (word, bit) = self.bit_position(sequence);
        if self.started[word] & bit == 0 {
            Some(SequenceStatus::NeverStarted)
        } else {
            Some(SequenceStatus::Started)
        }
    }

    /// Memory of the bitmap, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        size_of_val(&*self.started)
    }

    fn capacity(&self) -> u64 {
        (self.started.len() * WORD_BITS) as u64
    }

    fn contains(&self, sequence: u64) -> bool {
        sequence < self.next && self.next - sequence <= self.capacity()
    }

    fn bit_position(&self, sequence: u64) -> (usize, u64) {
        let at = usize::try_from(sequence % self.capacity()).unwrap_or_default();
        (at / WORD_BITS, 1 << (at % WORD_BITS))
    }
}
