//! Numbered calls between daemons.
//!
//! A daemon numbers each call that may not be repeated and sends each number
//! once. The receiving daemon runs the call of each number at most once, even
//! if the network delivers duplicates. A refused number is not reused: after a
//! definite "not run" the source sends the call under its next number.
//!
//! The replay window of an idle source is reduced to its lower edge, one
//! number, below which every number counts as seen. A process never removes a
//! source, because it could not tell a removed source from a new one. When the
//! limit of sources is reached, calls from new sources are refused. This is a
//! definite "not run": no source is ever removed, so a source without an entry
//! has never been admitted.

use std::collections::{HashMap, VecDeque};

use model::{Incarnation, InstanceId};
use slotmap::{SlotMap, new_key_type};

use crate::call::CallNumber;
use crate::limits::SourceConfig;
use crate::replay_window::ReplayWindow;

new_key_type! {
    struct SourceKey;
}

/// Decision about a numbered call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmitDecision {
    /// Run the call now. Returned at most once for each number.
    Run,
    /// The number has arrived before: outcome unknown.
    Seen,
    /// The number is below the source's lower edge: outcome unknown.
    BelowEdge,
    /// The source is new and the limit of sources is reached: certainly not run.
    Full,
}

/// Replay windows for the numbered calls of other daemons.
#[derive(Debug)]
pub struct SourceWindow {
    cfg: SourceConfig,
    ids: HashMap<(InstanceId, Incarnation), SourceKey>,
    sources: SlotMap<SourceKey, Source>,
    /// Sources whose replay window has a bitmap, in the order in which they
    /// are checked for compaction.
    active: VecDeque<SourceKey>,
}

#[derive(Debug)]
struct Source {
    replay_window: ReplayWindow,
    /// A call has arrived since the source was last checked for compaction.
    referenced: bool,
}

impl SourceWindow {
    /// Creates a window without sources.
    #[must_use]
    pub fn new(cfg: SourceConfig) -> Self {
        SourceWindow {
            cfg,
            ids: HashMap::new(),
            sources: SlotMap::with_key(),
            active: VecDeque::new(),
        }
    }

    /// Decides whether a numbered call runs, and records its number as seen.
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

    /// Returns the number of known sources.
    #[must_use]
    pub fn len(&self) -> usize {
        self.sources.len()
    }

    /// True if no source is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.sources.is_empty()
    }

    /// Returns the number of sources whose replay window has a bitmap.
    #[must_use]
    pub fn active(&self) -> usize {
        self.active.len()
    }

    /// Finds the source of a call, or adds it if the limit allows.
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

    /// Gives the replay window of a source a bitmap. If the limit is reached, compacts the one
    /// of an idle source.
    fn activate(&mut self, key: SourceKey) {
        while self.active.len() >= self.cfg.max_active.max(1) {
            self.compact_or_requeue_front();
        }
        self.sources[key].replay_window.expand(self.cfg.window);
        self.active.push_back(key);
    }

    /// Compacts the first source of the queue, or moves it to the end if a call
    /// has arrived since its last check (second-chance eviction).
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
