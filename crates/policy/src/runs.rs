//! Matching of a target's outgoing calls to the runs that made them, without trace headers.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use model::{Class, OperationKey};
use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// Key of one run in [`Runs`].
    pub struct RunKey;
}

/// How much earlier than its run's deadline a call's deadline may be for a certain match:
/// deadlines are sent in whole milliseconds.
const CERTAIN_EARLY: Duration = Duration::from_millis(3);
/// How much later than its run's deadline a call's deadline may be for a certain match: a call
/// takes some time to reach this daemon.
const CERTAIN_LATE: Duration = Duration::from_micros(500);
/// How much later than its run's deadline a call's deadline may appear at a busy daemon.
const LIKELY_LATE: Duration = Duration::from_millis(60);
/// Distance from a call's deadline at which the density of run deadlines is sampled: beyond the
/// runs that match.
const DENSITY_FROM: Duration = Duration::from_millis(5);
/// Width of the sample, as a multiple of the width within which a match is certain.
const DENSITY_WIDTHS: u32 = 10;

/// A run and the properties that its calls inherit from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Run {
    /// The operation that runs.
    pub operation: OperationKey,
    /// Priority class of the root request.
    pub class: Class,
    /// Worth of the request, by which requests of one class are ranked.
    pub worth: u32,
    /// Hash of the root request.
    pub shed_hash: u64,
    /// When the target stops working on it; its calls expire at the same time.
    pub deadline: Instant,
    /// True if the request was run before, which makes its calls retries as well.
    pub repeated: bool,
}

/// The runs in flight at the target beside one daemon.
///
/// A call of the target does not name its parent, but it expires when its parent does. The run
/// with the closest deadline is taken as the parent. A wrong match changes only the rank of
/// the call.
#[derive(Debug, Default)]
pub struct Runs {
    runs: SlotMap<RunKey, Run>,
    by_deadline: BTreeSet<(Instant, RunKey)>,
}

impl Runs {
    /// Adds a run that starts.
    pub fn begin(&mut self, run: Run) -> RunKey {
        let key = self.runs.insert(run);
        self.by_deadline.insert((run.deadline, key));
        key
    }

    /// Removes a run that ended; a key that was removed before is ignored.
    pub fn end(&mut self, key: RunKey) {
        if let Some(run) = self.runs.remove(key) {
            self.by_deadline.remove(&(run.deadline, key));
        }
    }

    /// Returns the run to which a call with this deadline certainly belongs.
    ///
    /// If several runs have nearly the same deadline, the closest is returned; in what a call
    /// inherits, they differ only in the class.
    #[must_use]
    pub fn certain_parent(&self, deadline: Instant) -> Option<Run> {
        self.nearest(deadline, CERTAIN_LATE, CERTAIN_EARLY)
    }

    /// Returns the probability that [`certain_parent`](Runs::certain_parent) finds a run for a
    /// request that no run made, estimated from the density of the run deadlines nearby.
    #[must_use]
    pub fn chance_match(&self, deadline: Instant) -> f64 {
        let from = deadline + DENSITY_FROM;
        let until = from + (CERTAIN_EARLY + CERTAIN_LATE) * DENSITY_WIDTHS;
        let sampled = (from, RunKey::default())..(until, RunKey::default());
        let count = u32::try_from(self.by_deadline.range(sampled).count()).unwrap_or(u32::MAX);
        1.0 - (-f64::from(count) / f64::from(DENSITY_WIDTHS)).exp()
    }

    /// Returns the run to which a call of a busy target most likely belongs.
    ///
    /// With `has_own_deadline`, the call expires before its run does, so that any run with a
    /// later deadline may have made it; the most important of these is returned.
    #[must_use]
    pub fn likely_parent(&self, deadline: Instant, has_own_deadline: bool) -> Option<Run> {
        if !has_own_deadline {
            return self.nearest(deadline, LIKELY_LATE, CERTAIN_EARLY);
        }
        let from = (deadline, RunKey::default());
        let later = self.by_deadline.range(from..);
        later
            .filter_map(|(_, key)| self.runs.get(*key))
            .max_by_key(|run| run.class)
            .copied()
    }

    /// Returns the operations whose runs may have made a call with this deadline: those of all
    /// runs that do not expire before it.
    #[must_use]
    pub fn possible_parent_operations(&self, deadline: Instant) -> Vec<OperationKey> {
        let least = deadline.checked_sub(CERTAIN_EARLY).unwrap_or(deadline);
        let mut operations = Vec::new();
        for (_, key) in self.by_deadline.range((least, RunKey::default())..) {
            let operation = self.runs[*key].operation;
            if !operations.contains(&operation) {
                operations.push(operation);
            }
        }
        operations
    }

    /// Returns the run with the closest deadline, from `before` earlier to `after` later than
    /// `deadline`.
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

    /// True if no run is in flight.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }
}
