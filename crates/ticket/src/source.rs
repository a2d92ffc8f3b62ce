//! Numbered calls between daemons.
//!
//! A daemon numbers each call that may not be repeated and sends each number
//! once. The receiving daemon runs each number at most once, whatever
//! duplicates the network delivers. A number that was refused is not given
//! back: after a definite "not run" the source takes its next number.
//!
//! A source that has not been heard for long keeps only its lower edge, one
//! number, below which everything counts as seen. No source is ever forgotten
//! by a process, because a forgotten source could not be told from a new one.
//! When no more edges fit, sources never seen before are refused, which is a
//! definite "not run" for the same reason.

use std::collections::{HashMap, VecDeque};

use model::{Incarnation, InstanceId};
use slotmap::{SlotMap, new_key_type};

use crate::call::CallNumber;
use crate::limits::SourceConfig;
use crate::replay_window::ReplayWindow;

new_key_type! {
    struct SourceKey;
}

/// What becomes of a numbered call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmitDecision {
    /// Run it now. Given at most once for each number.
    Run,
    /// The number arrived before: unknown.
    Seen,
    /// The number is below the source's lower edge: unknown.
    BelowEdge,
    /// The source is new and no more sources fit: certainly not run.
    Full,
}

/// The calls that have arrived from other daemons.
#[derive(Debug)]
pub struct SourceWindow {
    cfg: SourceConfig,
    ids: HashMap<(InstanceId, Incarnation), SourceKey>,
    sources: SlotMap<SourceKey, Source>,
    /// Sources with a full record, in the order in which they are considered
    /// for folding.
    active: VecDeque<SourceKey>,
}

#[derive(Debug)]
struct Source {
    replay_window: ReplayWindow,
    /// Heard since it was last considered for folding.
    referenced: bool,
}

impl SourceWindow {
    /// Starts without any source.
    #[must_use]
    pub fn new(cfg: SourceConfig) -> Self {
        SourceWindow {
            cfg,
            ids: HashMap::new(),
            sources: SlotMap::with_key(),
            active: VecDeque::new(),
        }
    }

    /// Decides whether a numbered call runs.
    pub fn admit(&mut self, call: &CallNumber) -> AdmitDecision {
        let Some(key) = self.source(call) else {
            return AdmitDecision::Full;
        };
        if self.sources[key].replay_window.is_compact() {
            self.activate(key);
        }
        let source = &mut self.sources[key];
        source.referenced = true;
        source.replay_window.admit(call.sequence())
    }

    /// Returns the number of sources remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.sources.len()
    }

    /// True if no source has been heard yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.sources.is_empty()
    }

    /// Returns the number of sources with a full record.
    #[must_use]
    pub fn active(&self) -> usize {
        self.active.len()
    }

    /// Finds the source of a call, or adds it if one more fits.
    fn source(&mut self, call: &CallNumber) -> Option<SourceKey> {
        let id = (call.instance().clone(), call.incarnation());
        if let Some(&key) = self.ids.get(&id) {
            return Some(key);
        }
        if self.sources.len() >= self.cfg.max_sources {
            return None;
        }
        let key = self.sources.insert(Source {
            replay_window: ReplayWindow::default(),
            referenced: false,
        });
        self.ids.insert(id, key);
        Some(key)
    }

    /// Gives a source its full record, folding another one's if need be.
    fn activate(&mut self, key: SourceKey) {
        while self.active.len() >= self.cfg.max_active.max(1) {
            self.compact_or_requeue_front();
        }
        self.sources[key].replay_window.expand(self.cfg.window);
        self.active.push_back(key);
    }

    /// Folds the source that is first in line, unless it was heard since it
    /// was last considered.
    fn compact_or_requeue_front(&mut self) {
        let Some(key) = self.active.pop_front() else {
            return;
        };
        let source = &mut self.sources[key];
        if std::mem::take(&mut source.referenced) {
            self.active.push_back(key);
        } else {
            source.replay_window.compact();
        }
    }
}
