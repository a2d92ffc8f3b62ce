//! Where a daemon reads what the operators and the targets publish.

use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use futures_util::future::LocalBoxFuture;
use routes::{RouteTable, Targets};

/// One of the two published states.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum PublishedState {
    /// The operators' configuration.
    #[display("configuration")]
    Table,
    /// The targets that registered themselves.
    #[display("targets")]
    Targets,
}

/// A published state at one revision of the source.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Document {
    /// Revision of the source at which it was read: a higher one replaces a lower one, and a
    /// wait for changes goes on from it.
    pub revision: u64,
    /// The state as it was published.
    pub bytes: Bytes,
}

/// What a wait for changes brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchResult {
    /// Nothing changed up to this revision.
    Unchanged(u64),
    /// The state as it is now.
    Changed(Document),
    /// The changes since the given revision are no longer known: read the state again.
    HistoryGone,
}

/// Why a read failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum SourceError {
    /// The source turned the call away.
    #[display("turned away with status {status}")]
    Rejected {
        /// Its status.
        status: u16,
    },
    /// The connection failed.
    #[display("connection: {problem}")]
    Connection {
        /// What failed.
        problem: String,
    },
    /// The answer can't be read.
    #[display("unreadable answer: {problem}")]
    Unreadable {
        /// What is wrong with it.
        problem: String,
    },
}

/// A read under way; dropping it closes its connection.
pub type SourceFuture<T> = LocalBoxFuture<'static, Result<T, SourceError>>;
/// Reads a state; `None` if nothing was published yet.
pub type ReadFn = Box<dyn Fn(PublishedState) -> SourceFuture<Option<Document>>>;
/// Waits for a change of the configuration after a revision, for a time at the most.
pub type WatchFn = Box<dyn Fn(u64, Duration) -> SourceFuture<WatchResult>>;
/// Decodes a document.
pub type ParseFn<T> = fn(&[u8]) -> Result<T, String>;

/// How a daemon reads the published states.
pub struct Source {
    /// Reads a state as it is now.
    pub read: ReadFn,
    /// Waits for a change of the configuration.
    pub watch_table: WatchFn,
    /// Decodes both states.
    pub parse: Parsers,
}

/// Decodes the published states.
#[derive(Clone, Copy, Debug)]
pub struct Parsers {
    /// Decodes the configuration.
    pub table: ParseFn<RouteTable>,
    /// Decodes the list of targets; entries that name no target are left out.
    pub targets: ParseFn<Targets>,
}
