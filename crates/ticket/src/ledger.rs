//! Calls made by one execution of a target.
//!
//! A target that repeats one of its own calls within one execution gets the
//! first call's result, so that a repeat inside the target does not double it.
//! The ledger lives as long as the execution. A call that names an execution
//! which has ended must be refused as not run.

use std::collections::HashMap;
use std::sync::Arc;

use crate::answer::{Answer, CachedAnswer};
use crate::hash::{KeyHash, OperationHash};
use crate::limits::LedgerConfig;

/// The right to send one call, which must be ended explicitly.
#[derive(Debug)]
#[must_use = "end it by `finish` or `not_run`"]
pub struct SendPermit {
    call: (OperationHash, KeyHash),
}

/// What becomes of a call that an execution makes.
#[derive(Debug)]
pub enum BeginDecision {
    /// Send it now.
    Send(SendPermit),
    /// The same call is on its way.
    Running,
    /// The same call was answered; this is its answer.
    Cached(Arc<CachedAnswer>),
    /// The same call was answered, and its answer was not kept.
    AnswerGone,
    /// The same call ended as unknown.
    Unknown,
    /// The execution makes too many calls: not run.
    Full,
}

/// How a call that was sent ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendResult {
    /// It was answered.
    Answered(Answer),
    /// It may have run.
    Unknown,
}

#[derive(Debug)]
enum State {
    Running,
    Cached(Arc<CachedAnswer>),
    Gone,
    Unknown,
}

/// The calls of one execution that may not be repeated.
#[derive(Debug)]
pub struct CallLedger {
    cfg: LedgerConfig,
    calls: HashMap<(OperationHash, KeyHash), State>,
    cached_bytes: usize,
}

impl CallLedger {
    /// Starts without any call.
    #[must_use]
    pub fn new(cfg: LedgerConfig) -> Self {
        CallLedger {
            cfg,
            calls: HashMap::new(),
            cached_bytes: 0,
        }
    }

    /// Decides whether a call is sent or answered by an earlier one.
    pub fn begin(&mut self, operation: OperationHash, key: KeyHash) -> BeginDecision {
        let call = (operation, key);
        match self.calls.get(&call) {
            Some(State::Running) => BeginDecision::Running,
            Some(State::Cached(cached)) => BeginDecision::Cached(Arc::clone(cached)),
            Some(State::Gone) => BeginDecision::AnswerGone,
            Some(State::Unknown) => BeginDecision::Unknown,
            None if self.calls.len() >= self.cfg.max_calls => BeginDecision::Full,
            None => {
                self.calls.insert(call, State::Running);
                BeginDecision::Send(SendPermit { call })
            }
        }
    }

    /// Records how a call that was sent ended.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "a permit is used up by ending its call"
    )]
    pub fn finish(&mut self, permit: SendPermit, end: SendResult) {
        let state = match end {
            SendResult::Unknown => State::Unknown,
            SendResult::Answered(Answer::Gone) => State::Gone,
            SendResult::Answered(Answer::Cached(cached)) => self.cache(cached),
        };
        self.calls.insert(permit.call, state);
    }

    /// Takes back a call that certainly was not run, so it may be sent again.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "a permit is used up by ending its call"
    )]
    pub fn not_run(&mut self, permit: SendPermit) {
        self.calls.remove(&permit.call);
    }

    fn cache(&mut self, cached: Arc<CachedAnswer>) -> State {
        let bytes = self.cached_bytes + cached.bytes();
        if bytes > self.cfg.max_cached_bytes {
            return State::Gone;
        }
        self.cached_bytes = bytes;
        State::Cached(cached)
    }
}
