//! Calls made by one execution of a target.
//!
//! If a target repeats one of its own calls within one execution, it gets the
//! result of the first call, so a retry inside the target does not run the call
//! twice. The ledger exists as long as the execution. A call that names an
//! execution which has ended must be refused as not run.

use std::collections::HashMap;
use std::sync::Arc;

use crate::answer::{Answer, CachedAnswer};
use crate::hash::{KeyHash, OperationHash};
use crate::limits::LedgerConfig;

/// Permission to send one call. It must be ended explicitly.
#[derive(Debug)]
#[must_use = "end it by `finish` or `not_run`"]
pub struct SendPermit {
    call: (OperationHash, KeyHash),
}

/// Decision about a call that an execution makes.
#[derive(Debug)]
pub enum BeginDecision {
    /// Send the call now.
    Send(SendPermit),
    /// The same call has been sent and has not ended.
    Running,
    /// The same call was answered; returns its answer.
    Cached(Arc<CachedAnswer>),
    /// The same call was answered, but its answer is not cached.
    AnswerGone,
    /// The same call ended with an unknown outcome.
    Unknown,
    /// The execution has reached its limit of calls: not run.
    Full,
}

/// Result of a call that was sent and may have run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendResult {
    /// The call was answered.
    Answered(Answer),
    /// The call may have run; its outcome is unknown.
    Unknown,
}

#[derive(Debug)]
enum State {
    Running,
    Cached(Arc<CachedAnswer>),
    Gone,
    Unknown,
}

/// Calls of one execution that may not be repeated.
#[derive(Debug)]
pub struct CallLedger {
    cfg: LedgerConfig,
    calls: HashMap<(OperationHash, KeyHash), State>,
    cached_bytes: usize,
}

impl CallLedger {
    /// Creates an empty ledger.
    #[must_use]
    pub fn new(cfg: LedgerConfig) -> Self {
        CallLedger {
            cfg,
            calls: HashMap::new(),
            cached_bytes: 0,
        }
    }

    /// Decides whether a call is sent or gets the result of an earlier one.
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

    /// Records the result of a call that was sent.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "ending a call consumes its permit"
    )]
    pub fn finish(&mut self, permit: SendPermit, end: SendResult) {
        let state = match end {
            SendResult::Unknown => State::Unknown,
            SendResult::Answered(Answer::Gone) => State::Gone,
            SendResult::Answered(Answer::Cached(cached)) => self.cache(cached),
        };
        self.calls.insert(permit.call, state);
    }

    /// Removes a call that was certainly not run, so that it may be sent again.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "ending a call consumes its permit"
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
