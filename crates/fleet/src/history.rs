//! Recent patches of a state, from which lagging daemons catch up.

use std::collections::VecDeque;

use wire::control::Step;

use crate::stamp::Stamp;

/// Maximum total size of the patches kept for one state, in bytes.
const MAX_HISTORY_BYTES: usize = 256 << 10;

/// A chain of steps that ends at the current state.
#[derive(Debug, Default)]
pub(crate) struct History {
    steps: VecDeque<Step>,
    bytes: usize,
}

impl History {
    /// Appends a step and drops the oldest ones beyond [`MAX_HISTORY_BYTES`].
    pub(crate) fn push(&mut self, step: Step) {
        self.bytes += step.patch.len();
        self.steps.push_back(step);
        while self.bytes > MAX_HISTORY_BYTES {
            let Some(oldest) = self.steps.pop_front() else {
                break;
            };
            self.bytes -= oldest.patch.len();
        }
    }

    /// Returns the steps from `base` to the current state, or `None` if some were dropped.
    pub(crate) fn steps_since(&self, base: Stamp) -> Option<Vec<Step>> {
        let at = self
            .steps
            .iter()
            .position(|step| Stamp::from(step.from) == base)?;
        Some(self.steps.range(at..).cloned().collect())
    }
}
