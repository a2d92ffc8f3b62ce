//! Sliding replay window over the call numbers of one source.

use crate::source::AdmitDecision;

/// Numbers per word of the bitmap.
const WORD_BITS: u64 = u64::BITS as u64;

/// Bitmap of the numbers of one source that have arrived, above a lower edge.
///
/// Every number below the lower edge counts as seen. A compact window has no
/// bitmap, only the lower edge.
#[derive(Debug, Default)]
pub(crate) struct ReplayWindow {
    lower_edge: u64,
    highest: Option<u64>,
    words: Box<[u64]>,
}

impl ReplayWindow {
    pub(crate) fn is_compact(&self) -> bool {
        self.words.is_empty()
    }

    /// Frees the bitmap; all numbers up to the highest one seen count as seen.
    pub(crate) fn compact(&mut self) {
        self.lower_edge = self.highest.map_or(self.lower_edge, |highest| highest + 1);
        self.words = Box::default();
    }

    /// Allocates a bitmap that covers at least `window` numbers.
    pub(crate) fn expand(&mut self, window: usize) {
        let words = window.div_ceil(64) + 1;
        self.words = vec![0; words].into_boxed_slice();
    }

    /// Decides whether the call of a number runs. The window must not be compact.
    pub(crate) fn admit(&mut self, number: u64) -> AdmitDecision {
        // No lower edge can be above `u64::MAX`, so this number is never admitted.
        if number < self.lower_edge || number == u64::MAX {
            return AdmitDecision::BelowEdge;
        }
        self.slide_to(number);
        let word = self.word(number / WORD_BITS);
        let bit = 1 << (number % WORD_BITS);
        if *word & bit != 0 {
            return AdmitDecision::Seen;
        }
        *word |= bit;
        self.highest = self.highest.max(Some(number));
        AdmitDecision::Run
    }

    /// Raises the lower edge by whole words until `number` has a bit.
    fn slide_to(&mut self, number: u64) {
        let capacity = self.words.len() as u64;
        let (first, last) = (self.lower_edge / WORD_BITS, number / WORD_BITS);
        if last - first < capacity {
            return;
        }
        let edge_word = last + 1 - capacity;
        for passed in first..edge_word.min(first + capacity) {
            *self.word(passed) = 0;
        }
        self.lower_edge = edge_word * WORD_BITS;
    }

    fn word(&mut self, index: u64) -> &mut u64 {
        let at = index % self.words.len() as u64;
        &mut self.words[usize::try_from(at).unwrap_or_default()]
    }
}
