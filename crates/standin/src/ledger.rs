//! Records every execution on the targets, to check what callers were told against it.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use derive_more::Display;
use smol_str::SmolStr;

/// How a run ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RunEnd {
    /// The complete response was handed to the connection.
    #[display("finished")]
    Finished,
    /// The connection closed, or the target was dropped, before that.
    #[display("cancelled")]
    Cancelled,
}

/// One execution of an operation by a target.
#[derive(Clone, Debug)]
pub struct Run {
    /// Service of the target.
    pub service: SmolStr,
    /// Instance of the target.
    pub instance: SmolStr,
    /// Operation that ran.
    pub operation: SmolStr,
    /// Root request that it ran for, if the request carried a request id.
    pub root: Option<SmolStr>,
    /// Idempotency key, when the request carried one.
    pub key: Option<SmolStr>,
    /// Token that identifies the request to its caller.
    pub token: SmolStr,
    /// Size of the request body, in bytes.
    pub received_bytes: usize,
    /// True if the target was draining when it began.
    pub while_draining: bool,
    /// When it began.
    pub started: Instant,
    /// When and how it ended; absent while it runs.
    pub ended: Option<(Instant, RunEnd)>,
}

/// Position of a run in its ledger.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunIndex(usize);

/// The runs of any number of targets, in the order in which they began.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    entries: Arc<Mutex<Entries>>,
}

#[derive(Debug, Default)]
struct Entries {
    runs: Vec<Run>,
    mismatches: Vec<String>,
}

impl Ledger {
    /// All runs so far.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// The runs of one operation.
    #[must_use]
    pub fn runs_of(&self, service: &str, operation: &str) -> Vec<Run> {
        let matches = |run: &&Run| run.service == service && run.operation == operation;
        self.lock().runs.iter().filter(matches).cloned().collect()
    }

    /// How many runs began for one idempotency key.
    #[must_use]
    pub fn count_of_key(&self, key: &str) -> usize {
        let has_key = |run: &&Run| run.key.as_deref() == Some(key);
        self.lock().runs.iter().filter(has_key).count()
    }

    /// The operations that began more than once for one key, as
    /// `service/operation key`, with the number of runs.
    #[must_use]
    pub fn repeated(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for run in &self.lock().runs {
            if let Some(key) = &run.key {
                let name = format!("{}/{} {key}", run.service, run.operation);
                *counts.entry(name).or_insert(0) += 1;
            }
        }
        counts.retain(|_, count| *count > 1);
        counts
    }

    /// Successful responses to downstream calls whose body was not the expected one, as
    /// `service/operation token`.
    #[must_use]
    pub fn mismatches(&self) -> Vec<String> {
        self.lock().mismatches.clone()
    }

    pub(crate) fn record_mismatch(&self, mismatch: String) {
        self.lock().mismatches.push(mismatch);
    }

    pub(crate) fn begin(&self, run: Run) -> RunIndex {
        let mut entries = self.lock();
        entries.runs.push(run);
        RunIndex(entries.runs.len() - 1)
    }

    pub(crate) fn end(&self, run: RunIndex, end: RunEnd) {
        self.lock().runs[run.0].ended = Some((Instant::now(), end));
    }

    fn lock(&self) -> MutexGuard<'_, Entries> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
