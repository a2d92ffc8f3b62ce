//! The actions that a [`Node`](crate::Node) requests, and the results it gets back.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use wire::control::{Envelope, Kind};

/// An action to be performed by the caller of [`Node`](crate::Node).
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a control message.
    Send {
        /// Advertised control address of the receiver.
        to: SocketAddr,
        /// The message.
        message: Box<Envelope>,
    },
    /// Read the document from the platform.
    ReadDocument(Read),
    /// Read the instance list from the platform.
    ReadInstances(Read),
    /// Publish [`Node::view`](crate::Node::view), which has changed.
    ViewChanged,
    /// Report a condition to the operators.
    Alarm(Alarm),
}

/// A read of the platform. Each is answered by exactly one [`PlatformAnswer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Read {
    /// Revision held; only a higher one is requested. `None` requests any.
    pub after: Option<u64>,
    /// Time for which the platform may wait for a higher revision; zero means not at all.
    pub wait: Duration,
}

/// The answer to a [`Read`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformAnswer {
    /// Kind of state that was read.
    pub kind: Kind,
    /// Result of the read.
    pub result: ReadResult,
}

/// Result of a [`Read`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadResult {
    /// Content that has not been validated.
    Content(Bytes),
    /// There is no revision above [`Read::after`].
    Unchanged,
    /// No state of this kind is published.
    Absent,
    /// The platform gave no answer, or one that can't be parsed.
    Failed,
}

/// A condition that operators must see.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Alarm {
    /// Two different contents were published under one revision.
    #[display("two contents of {kind} {revision}")]
    Conflict {
        /// Kind of the state.
        kind: Kind,
        /// The revision.
        revision: u64,
    },
    /// A state failed validation and was rejected as a whole; the old one stays in force.
    #[display("{kind} refused: {reason}")]
    Refused {
        /// Kind of the state.
        kind: Kind,
        /// Why it failed validation.
        reason: String,
    },
    /// The platform answered with an older state than the one in force.
    #[display("platform answered with an older {kind}")]
    OlderAnswer {
        /// Kind of the state.
        kind: Kind,
    },
    /// The process was paused for the given time.
    #[display("paused for {} ms", _0.as_millis())]
    Paused(Duration),
}

/// Requested actions, in the order in which to perform them.
#[derive(Debug, Default)]
pub struct Outbox {
    actions: Vec<Action>,
}

impl Outbox {
    /// Removes and returns all actions.
    pub fn drain(&mut self) -> impl Iterator<Item = Action> + '_ {
        self.actions.drain(..)
    }

    pub(crate) fn push(&mut self, action: Action) {
        self.actions.push(action);
    }
}
