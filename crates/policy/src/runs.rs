//! Which run a target's own call belongs to, found without a trace.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use model::{Class, OperationKey};
use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// Key of one run in [`Runs`].
    pub struct RunKey;
}

/// How far a call's deadline may lie from its run's for a sure match: both travel in whole
/// milliseconds, and a call takes some time to get here.
const SURE_BEFORE: Duration = Duration::from_millis(3);
const SURE_AFTER: Duration = Duration::from_micros(500);
/// How much later than its run's deadline a call's may seem to be at a busy daemon.
const LATE_BY: Duration = Duration::from_millis(60);

/// What the calls of a run inherit from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Run {
    /// The operation that runs.
    pub operation: OperationKey,
    /// Importance of the root request.
    pub class: Class,
    /// Rank among the requests of one class.
    pub worth: u32,
    /// Hash of the root request.
    pub shed_hash: u64,
    /// When the target stops work on it; its calls expire then, too.
    pub deadline: Instant,
    /// True if the request had run before, so that its calls are repeats as well.
    pub repeated: bool,
}

/// The runs in flight at the target beside one daemon.
///
/// A call of the target names no parent, but it expires when its parent does. The run whose
/// deadline lies closest is taken for the parent; a wrong match gives the call another rank
/// and nothing more.
#[derive(Debug, Default)]
pub struct Runs {
    runs: SlotMap<RunKey, Run>,
    by_deadline: BTreeSet<(Instant, RunKey)>,
}

impl Runs {
    /// Takes note that a run begins.
    pub fn begin(&mut self, run: Run) -> RunKey {
        let key = self.runs.insert(run);
        self.by_deadline.insert((run.deadline, key));
        key
    }

    /// Takes note that a run ended; one that ended before is ignored.
    pub fn end(&mut self, key: RunKey) {
        if let Some(run) = self.runs.remove(key) {
            self.by_deadline.remove(&(run.deadline, key));
        }
    }

    /// The run to which a call with this deadline surely belongs: several with nearly the same
    /// deadline are alike in all that a call inherits but the class.
    #[must_use]
    pub fn sure_parent(&self, deadline: Instant) -> Option<Run> {
        self.nearest(deadline, SURE_AFTER, SURE_BEFORE)
    }

    /// The run that a call of a busy target most likely belongs to.
    ///
    /// Where the call's deadline is its own, because its run has longer, any run that has may
    /// have made it; then the most important of them counts.
    #[must_use]
    pub fn likely_parent(&self, deadline: Instant, deadline_is_its_own: bool) -> Option<Run> {
        if !deadline_is_its_own {
            return self.nearest(deadline, LATE_BY, SURE_BEFORE);
        }
        let from = (deadline, RunKey::default());
        let longer = self.by_deadline.range(from..);
        longer
            .filter_map(|(_, key)| self.runs.get(*key))
            .max_by_key(|run| run.class)
            .copied()
    }

    /// The operations of which a run may have made a call with this deadline: all runs that
    /// have as long.
    #[must_use]
    pub fn candidates(&self, deadline: Instant) -> Vec<OperationKey> {
        let least = deadline.checked_sub(SURE_BEFORE).unwrap_or(deadline);
        let mut operations = Vec::new();
        for (_, key) in self.by_deadline.range((least, RunKey::default())..) {
            let operation = self.runs[*key].operation;
            if !operations.contains(&operation) {
                operations.push(operation);
            }
        }
        operations
    }

    /// The run whose deadline lies closest, from `before` its own to `after` it.
    fn nearest(&self, deadline: Instant, before: Duration, after: Duration) -> Option<Run> {
        let least = deadline.checked_sub(before).unwrap_or(deadline);
        let from = (least, RunKey::default());
        let near = self
            .by_deadline
            .range(from..)
            .take_while(|(at, _)| *at <= deadline + after);
        let distance = |at: Instant| {
            at.saturating_duration_since(deadline) + deadline.saturating_duration_since(at)
        };
        let (_, key) = near.min_by_key(|(at, _)| distance(*at))?;
        self.runs.get(*key).copied()
    }

    /// Number of runs in flight.
    #[must_use]
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// True if nothing runs.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }
}
