//! The last changes of a state, from which lagging daemons are served.

use std::collections::VecDeque;

use wire::control::Step;

use crate::stamp::Stamp;

/// Most bytes of patches that are kept for one state.
const MAX_HISTORY_BYTES: usize = 256 << 10;

/// A chain of steps that ends at the state held.
#[derive(Debug, Default)]
pub(crate) struct History {
    steps: VecDeque<Step>,
    bytes: usize,
}

impl History {
    /// Appends a step; the oldest ones are given up beyond the bound.
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

    /// Returns the steps that lead from `base` to the state held, if all are kept.
    pub(crate) fn steps_since(&self, base: Stamp) -> Option<Vec<Step>> {
        let at = self
            .steps
            .iter()
            .position(|step| Stamp::from(step.from) == base)?;
        Some(self.steps.range(at..).cloned().collect())
    }
}
