//! The local copy of a replicated state, and its exchange with peers.

use bytes::Bytes;
use wire::control::{self, Body, Delta, Kind, Step, Whole};

use crate::history::History;
use crate::stamp::{Comparison, Stamp, compare};

/// Functions that decode, encode and patch one kind of state.
#[derive(Debug)]
pub(crate) struct Codec<T> {
    pub(crate) kind: Kind,
    /// Decodes and validates a whole state.
    pub(crate) decode: fn(&[u8]) -> Result<T, String>,
    /// Encodes a state in its canonical form.
    pub(crate) encode: fn(&T) -> Vec<u8>,
    pub(crate) stamp: fn(&T) -> Stamp,
    /// Encodes the patch from one state to another.
    pub(crate) diff: fn(&T, &T) -> Vec<u8>,
    /// Applies a patch and validates the result.
    pub(crate) apply: fn(&T, &[u8]) -> Result<T, String>,
}

/// Outcome of offering a state to a [`Replica`].
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum OfferOutcome {
    /// It is newer and was applied.
    Applied,
    /// It is the current state.
    Same,
    /// It is older than the current state.
    Older,
    /// It has the current revision with other content, and was applied if its digest is
    /// greater.
    Conflict { revision: u64, applied: bool },
    /// It failed validation, for the given reason, and was rejected as a whole.
    Refused(String),
    /// The patches don't apply to the current state or don't yield the announced stamp.
    PatchMismatch,
}

/// This daemon's copy of a state and the history of its recent changes.
#[derive(Debug)]
pub(crate) struct Replica<T> {
    codec: Codec<T>,
    held: Option<(Stamp, T)>,
    history: History,
    refused: Option<Stamp>,
}

impl<T> Replica<T> {
    pub(crate) fn new(codec: Codec<T>) -> Self {
        Replica {
            codec,
            held: None,
            history: History::default(),
            refused: None,
        }
    }

    pub(crate) fn stamp(&self) -> Option<Stamp> {
        self.held.as_ref().map(|(stamp, _)| *stamp)
    }

    pub(crate) fn state(&self) -> Option<&T> {
        self.held.as_ref().map(|(_, state)| state)
    }

    /// True if a state with this stamp is newer and is not the one last refused.
    pub(crate) fn wants(&self, stamp: Stamp) -> bool {
        self.stamp() < Some(stamp) && self.refused != Some(stamp)
    }

    /// Applies a whole state if it is newer and valid.
    ///
    /// `claimed` is the stamp that the sender gave, if any. If the state is invalid, that stamp
    /// is not pulled again.
    pub(crate) fn offer_whole(&mut self, content: &[u8], claimed: Option<Stamp>) -> OfferOutcome {
        match (self.codec.decode)(content) {
            Ok(state) => self.offer(state),
            Err(reason) => {
                self.refused = claimed.or(self.refused);
                OfferOutcome::Refused(reason)
            }
        }
    }

    /// Applies a chain of patches that starts at the current state.
    pub(crate) fn offer_steps(&mut self, steps: &[Step]) -> OfferOutcome {
        let mut outcome = OfferOutcome::Same;
        for step in steps {
            if self.stamp() != Some(step.from.into()) {
                // An earlier reply may have contained the start of the chain.
                continue;
            }
            let Some((_, held)) = &self.held else {
                return OfferOutcome::PatchMismatch;
            };
            let Ok(state) = (self.codec.apply)(held, &step.patch) else {
                return OfferOutcome::PatchMismatch;
            };
            if (self.codec.stamp)(&state) != step.to.into() {
                return OfferOutcome::PatchMismatch;
            }
            outcome = self.offer(state);
        }
        match steps.last() {
            Some(last) if self.stamp() < Some(last.to.into()) => OfferOutcome::PatchMismatch,
            _ => outcome,
        }
    }

    /// Returns the reply to a pull from a daemon that holds `base`: patches if the history
    /// reaches back that far, the whole state otherwise, nothing if `base` is up to date.
    pub(crate) fn reply(&self, base: Option<Stamp>) -> Option<Body> {
        let (stamp, state) = self.held.as_ref()?;
        if base >= Some(*stamp) {
            return None;
        }
        let kind = self.codec.kind.into();
        if let Some(steps) = base.and_then(|base| self.history.steps_since(base)) {
            return Some(Body::Delta(Delta { kind, steps }));
        }
        Some(Body::Whole(Whole {
            kind,
            stamp: (*stamp).into(),
            content: (self.codec.encode)(state).into(),
        }))
    }

    fn offer(&mut self, state: T) -> OfferOutcome {
        let stamp = (self.codec.stamp)(&state);
        let outcome = match compare(self.stamp(), stamp) {
            Comparison::Newer => OfferOutcome::Applied,
            Comparison::Same => return OfferOutcome::Same,
            Comparison::Older => return OfferOutcome::Older,
            Comparison::Conflict { offered_wins } => OfferOutcome::Conflict {
                revision: stamp.revision,
                applied: offered_wins,
            },
        };
        if !matches!(outcome, OfferOutcome::Conflict { applied: false, .. }) {
            self.replace(stamp, state);
        }
        outcome
    }

    fn replace(&mut self, stamp: Stamp, state: T) {
        if let Some((from, held)) = &self.held {
            let patch = Bytes::from((self.codec.diff)(held, &state));
            self.history.push(Step {
                from: control::Stamp::from(*from),
                to: stamp.into(),
                patch,
            });
        }
        self.held = Some((stamp, state));
    }
}
