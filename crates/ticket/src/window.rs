//! Tickets of one incarnation and their states.
//!
//! An issued ticket is open, running, finished (with or without its answer) or
//! closed. A call runs only from the open state, and a ticket leaves this state
//! once and never returns to it. A call that was started therefore cannot start
//! again, and "not run" stays true once it has been reported.
//!
//! Entries are removed to limit memory. This never makes a ticket runnable
//! again: a bitmap tells whether the call of a sequence number without an entry
//! was started. Below the lower edge of the bitmap the decision is
//! [`RedeemDecision::BelowEdge`], which must not be reported as "not run".
//!
//! Expiry only frees memory. No other process reports "not run" because the
//! time of a ticket has passed, so a process that was paused for longer than
//! that may still run or close the ticket: only its own entries decide, under
//! its own lock.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use model::{Incarnation, InstanceId, Outcome};

use crate::answer::Answer;
use crate::entry::{CallId, Entries, Entry, EntryKey, State};
use crate::finished::FinishedCalls;
use crate::hash::{KeyHash, OperationHash};
use crate::intrusive_list::{IntrusiveList, Links};
use crate::limits::WindowConfig;
use crate::redeem::{RedeemDecision, RunPermit, Usage};
use crate::secret::Secret;
use crate::start_bitmap::{SequenceStatus, StartBitmap};
use crate::ticket::Ticket;

/// Tickets issued by one incarnation of one instance.
#[derive(Debug)]
pub struct TicketWindow {
    instance: InstanceId,
    incarnation: Incarnation,
    secret: Secret,
    cfg: WindowConfig,
    entries: Entries,
    calls: HashMap<CallId, EntryKey>,
    starts: StartBitmap,
    open: IntrusiveList,
    finished: FinishedCalls,
}

impl TicketWindow {
    /// Creates a window without tickets. `incarnation` and `secret` must be drawn
    /// at random by each process.
    #[must_use]
    pub fn new(
        instance: InstanceId,
        incarnation: Incarnation,
        secret: Secret,
        cfg: WindowConfig,
    ) -> Self {
        TicketWindow {
            instance,
            incarnation,
            secret,
            cfg,
            entries: Entries::with_key(),
            calls: HashMap::new(),
            starts: StartBitmap::new(cfg.max_sequences),
            open: IntrusiveList::default(),
            finished: FinishedCalls::default(),
        }
    }

    /// Returns the ticket of a call.
    ///
    /// A call whose ticket is open, running or finished gets the same ticket
    /// again; this renews the expiry of an open one.
    pub fn issue(&mut self, operation: OperationHash, key: KeyHash, now: Instant) -> Ticket {
        self.expire(now);
        let call = (operation, key);
        let sequence = match self.calls.get(&call) {
            Some(&entry) => self.renew(entry, now),
            None => self.open_ticket(call, now),
        };
        self.ticket(sequence, call)
    }

    /// Returns the decision about a call by its operation and key, if its
    /// ticket has been used.
    ///
    /// With it, a caller that repeats its request without the ticket gets the
    /// answer instead of another ticket.
    #[must_use]
    pub fn lookup(&self, operation: OperationHash, key: KeyHash) -> Option<RedeemDecision> {
        let entry = self.calls.get(&(operation, key))?;
        self.entries[*entry].state.duplicate_decision()
    }

    /// Decides whether a call that presents a ticket runs.
    pub fn redeem(
        &mut self,
        ticket: &Ticket,
        operation: OperationHash,
        key: KeyHash,
        now: Instant,
    ) -> RedeemDecision {
        if ticket.instance != self.instance {
            return RedeemDecision::Foreign;
        }
        if ticket.incarnation != self.incarnation {
            return RedeemDecision::Superseded;
        }
        if !self.is_valid(ticket, operation, key) {
            return RedeemDecision::Invalid;
        }
        self.expire(now);
        let Some(&entry) = self.calls.get(&(operation, key)) else {
            return self.decide_without_entry(ticket.sequence);
        };
        // If a later ticket of the same call has been used, its state decides.
        if let Some(decision) = self.entries[entry].state.duplicate_decision() {
            return decision;
        }
        if self.entries[entry].sequence != ticket.sequence {
            return self.decide_without_entry(ticket.sequence);
        }
        self.open.remove(&mut self.entries, entry);
        self.entries[entry].state = State::Running { started: false };
        RedeemDecision::Run(RunPermit { entry })
    }

    /// Records that bytes of the call may be sent to the target from now on.
    pub fn start(&mut self, permit: &RunPermit) {
        if let Some(entry) = self.entries.get_mut(permit.entry) {
            entry.state = State::Running { started: true };
        }
    }

    /// Closes the ticket of a call that was certainly not run.
    ///
    /// The ticket cannot run afterwards, not even for a duplicate that is still
    /// in transit. To retry, the caller needs the next ticket, which
    /// [`issue`](Self::issue) returns at once.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "ending a call consumes its permit"
    )]
    pub fn not_run(&mut self, permit: RunPermit) {
        self.remove_entry(permit.entry);
    }

    /// Records that a call has run, and caches its answer if it is small enough.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "ending a call consumes its permit"
    )]
    pub fn finish(&mut self, permit: RunPermit, answer: Answer, now: Instant) {
        let Some(entry) = self.entries.get_mut(permit.entry) else {
            return;
        };
        entry.expires_or_ended_at = now;
        self.starts.mark_started(entry.sequence);
        match answer {
            Answer::Cached(cached) if cached.bytes() <= self.cfg.max_answer_bytes => {
                self.finished
                    .push_cached(&mut self.entries, permit.entry, cached);
            }
            Answer::Cached(_) | Answer::Gone => self
                .finished
                .push_without_answer(&mut self.entries, permit.entry),
        }
        self.enforce_finished_limits();
    }

    /// Ends a call whose handler was dropped before its end, and returns the outcome.
    pub fn abandon(&mut self, permit: RunPermit, now: Instant) -> Outcome {
        let state = self.entries.get(permit.entry).map(|entry| &entry.state);
        if matches!(state, Some(State::Running { started: false })) {
            self.not_run(permit);
            Outcome::NotRun
        } else {
            self.finish(permit, Answer::Gone, now);
            Outcome::Unknown
        }
    }

    /// Returns the current size of the window.
    #[must_use]
    pub fn usage(&self, now: Instant) -> Usage {
        let age = |since| now.saturating_duration_since(since);
        Usage {
            open: self.open.len(),
            running: self.entries.len() - self.open.len() - self.finished.len(),
            finished: self.finished.len(),
            cached_bytes: self.finished.cached_bytes(),
            start_bitmap_bytes: self.starts.bytes(),
            oldest_finished_age: self
                .finished
                .oldest_ended_at(&self.entries)
                .map_or(Duration::ZERO, age),
        }
    }

    fn is_valid(&self, ticket: &Ticket, operation: OperationHash, key: KeyHash) -> bool {
        let call = (operation, key);
        (ticket.operation, ticket.key) == call
            && ticket.checksum == self.checksum(ticket.sequence, call)
            && self.starts.status(ticket.sequence).is_some()
    }

    fn checksum(&self, sequence: u64, (operation, key): CallId) -> u64 {
        self.secret
            .checksum(&self.instance, self.incarnation, sequence, operation, key)
    }

    fn ticket(&self, sequence: u64, call: CallId) -> Ticket {
        Ticket {
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            sequence,
            operation: call.0,
            key: call.1,
            checksum: self.checksum(sequence, call),
        }
    }

    fn open_ticket(&mut self, call: CallId, now: Instant) -> u64 {
        if self.open.len() >= self.cfg.max_open.max(1) {
            self.close_oldest();
        }
        let sequence = self.starts.issue();
        let key = self.entries.insert(Entry {
            sequence,
            call,
            state: State::Open,
            expires_or_ended_at: now + self.cfg.ticket_ttl,
            links: Links::default(),
        });
        self.open.push(&mut self.entries, key);
        self.calls.insert(call, key);
        sequence
    }

    fn renew(&mut self, key: EntryKey, now: Instant) -> u64 {
        let entry = &mut self.entries[key];
        let sequence = entry.sequence;
        if matches!(entry.state, State::Open) {
            entry.expires_or_ended_at = entry.expires_or_ended_at.max(now + self.cfg.ticket_ttl);
            self.open.remove(&mut self.entries, key);
            self.open.push(&mut self.entries, key);
        }
        sequence
    }

    /// Decides about an issued sequence number that has no entry.
    fn decide_without_entry(&self, sequence: u64) -> RedeemDecision {
        match self.starts.status(sequence) {
            Some(SequenceStatus::NeverStarted) => RedeemDecision::Expired,
            Some(SequenceStatus::Started) => RedeemDecision::AnswerGone,
            Some(SequenceStatus::BelowEdge) => RedeemDecision::BelowEdge,
            None => RedeemDecision::Invalid,
        }
    }

    /// Closes the open tickets that have expired.
    fn expire(&mut self, now: Instant) {
        while self
            .open
            .oldest()
            .is_some_and(|key| self.entries[key].expires_or_ended_at <= now)
        {
            self.close_oldest();
        }
    }

    fn close_oldest(&mut self) {
        if let Some(key) = self.open.oldest() {
            self.open.remove(&mut self.entries, key);
            self.remove_entry(key);
        }
    }

    /// Drops answers, then finished calls, until both limits hold.
    fn enforce_finished_limits(&mut self) {
        while self.finished.cached_bytes() > self.cfg.max_cached_bytes {
            self.finished.drop_oldest_answer(&mut self.entries);
        }
        while self.finished.len() > self.cfg.max_finished
            && let Some(key) = self.finished.pop_oldest(&mut self.entries)
        {
            self.remove_entry(key);
        }
    }

    /// Removes an entry that is in neither `open` nor `finished`.
    fn remove_entry(&mut self, key: EntryKey) {
        if let Some(entry) = self.entries.remove(key) {
            self.calls.remove(&entry.call);
        }
    }
}
