//! Interface to the source of the published states: the operators' configuration and the target
//! list.

use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use futures_util::future::LocalBoxFuture;
use routes::{RouteTable, Targets};

/// One of the two states that the source publishes.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum PublishedState {
    /// The operators' configuration, which is parsed into a [`RouteTable`].
    #[display("configuration")]
    Table,
    /// The target list: all registered targets.
    #[display("targets")]
    Targets,
}

/// How a published state reached this daemon.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum Via {
    /// A read of the source.
    #[display("read")]
    Read,
    /// A watch of the source.
    #[display("watch")]
    Watch,
    /// A check of the source for changes.
    #[display("check")]
    Check,
    /// A fetch from another daemon.
    #[display("daemon")]
    Daemon,
}

/// Lowest bit of a revision that counts how often the source was restored from an older copy of
/// itself. The source counts its own revisions anew from that copy, so they are lower then.
pub const RESTORATION_SHIFT: u32 = 40;

/// A published state at one revision of the source.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Document {
    /// Revision of the source at which the document was read, plus the number of its restorations
    /// shifted by [`RESTORATION_SHIFT`]. A document replaces those of lower revisions, and a watch
    /// resumes from its revision.
    pub revision: u64,
    /// The state, encoded as it was published.
    pub bytes: Bytes,
}

/// Result of watching for a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchResult {
    /// No change up to this revision.
    Unchanged(u64),
    /// The current state.
    Changed(Document),
    /// The source no longer holds the changes since the given revision; the state has to be
    /// read again.
    HistoryGone,
}

/// Why a read failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum SourceError {
    /// The source answered with an error status.
    #[display("rejected with status {status}")]
    Rejected {
        /// HTTP status of the response.
        status: u16,
    },
    /// The connection could not be established, broke or timed out.
    #[display("connection: {problem}")]
    Connection {
        /// Description of the failure.
        problem: String,
    },
    /// The response could not be decoded.
    #[display("unreadable response: {problem}")]
    Unreadable {
        /// Why decoding failed.
        problem: String,
    },
}

/// A pending request to the source. Dropping it closes its connection.
pub type SourceFuture<T> = LocalBoxFuture<'static, Result<T, SourceError>>;
/// How current the result of a read has to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadMode {
    /// The state at the time of the read.
    Current,
    /// The state of some seconds ago, which costs the source less.
    MaybeStale,
}

/// Reads a state; `None` if it has not been published yet.
pub type ReadFn = Box<dyn Fn(PublishedState, ReadMode) -> SourceFuture<Option<Document>>>;
/// Waits for a change of the configuration after the given revision, at most for the given
/// time.
pub type WatchFn = Box<dyn Fn(u64, Duration) -> SourceFuture<WatchResult>>;
/// Returns at once what has changed in the configuration after the given revision.
pub type CheckFn = Box<dyn Fn(u64) -> SourceFuture<WatchResult>>;
/// Parses a document; the error is a message for the log.
pub type ParseFn<T> = fn(&[u8]) -> Result<T, String>;

/// Functions that read and parse the published states.
pub struct Source {
    /// Reads the current version of a state.
    pub read: ReadFn,
    /// Watches the configuration.
    pub watch_table: WatchFn,
    /// Checks the configuration for changes over a connection other than that of the watch.
    pub check_table: CheckFn,
    /// Parsers of both states.
    pub parse: Parsers,
}

/// Parsers of the published states.
#[derive(Clone, Copy, Debug)]
pub struct Parsers {
    /// Parses the configuration.
    pub table: ParseFn<RouteTable>,
    /// Parses the target list. Entries that are not valid targets are left out.
    pub targets: ParseFn<Targets>,
}
