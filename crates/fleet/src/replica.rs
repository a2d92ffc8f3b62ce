//! One replicated state: what is held, what is taken and what is passed on.

use bytes::Bytes;
use wire::control::{self, Body, Delta, Kind, Step, Whole};

use crate::history::History;
use crate::stamp::{Comparison, Stamp, compare};

/// How one kind of state is read, written and patched.
#[derive(Debug)]
pub(crate) struct Codec<T> {
    pub(crate) kind: Kind,
    /// Reads a whole state and checks it.
    pub(crate) read: fn(&[u8]) -> Result<T, String>,
    /// Writes the canonical form.
    pub(crate) write: fn(&T) -> Vec<u8>,
    pub(crate) stamp: fn(&T) -> Stamp,
    /// Writes the patch that leads from one state to another.
    pub(crate) diff: fn(&T, &T) -> Vec<u8>,
    /// Applies a patch and checks the result.
    pub(crate) apply: fn(&T, &[u8]) -> Result<T, String>,
}

/// What became of an offered state.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum OfferOutcome {
    /// It is now the state held.
    Applied,
    /// It was held already.
    Same,
    /// It is older than the state held.
    Older,
    /// The same revision with other content; taken if its digest is greater.
    Conflict { revision: u64, applied: bool },
    /// It fails its checks and was refused whole.
    Refused(String),
    /// The steps do not lead from the state held to where they say.
    PatchMismatch,
}

/// A state held by this daemon together with its latest changes.
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

    /// True if a state with this stamp is worth pulling.
    pub(crate) fn wants(&self, stamp: Stamp) -> bool {
        self.stamp() < Some(stamp) && self.refused != Some(stamp)
    }

    /// Takes a whole state if it is newer and passes its checks.
    pub(crate) fn offer_whole(&mut self, content: &[u8], claimed: Option<Stamp>) -> OfferOutcome {
        match (self.codec.read)(content) {
            Ok(state) => self.offer(state),
            Err(reason) => {
                self.refused = claimed.or(self.refused);
                OfferOutcome::Refused(reason)
            }
        }
    }

    /// Takes a chain of steps that starts at the state held.
    pub(crate) fn offer_steps(&mut self, steps: &[Step]) -> OfferOutcome {
        let mut outcome = OfferOutcome::Same;
        for step in steps {
            if self.stamp() != Some(step.from.into()) {
                // An earlier answer may have brought part of the chain already.
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

    /// Answers a daemon that holds `base`: by steps where they are kept and shorter.
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
            content: (self.codec.write)(state).into(),
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
