//! Errors of calls that could not be made.

use std::fmt::Display;

use derive_more::{Display, Error as StdError};

/// A call that could not be made; no send of it ran.
#[derive(Debug, Display, StdError)]
#[display("{kind}")]
pub struct Error {
    kind: Kind,
}

#[derive(Debug, Display, StdError)]
enum Kind {
    #[display("{_0} cannot be part of a request: {_1}")]
    InvalidRequest(
        #[error(not(source))] &'static str,
        #[error(not(source))] String,
    ),
    #[display("no entry address is known; give addresses or a platform that answers")]
    NoEntry,
    #[display("the platform's instance list could not be read: {_0}")]
    InstanceList(#[error(not(source))] String),
    #[display(
        "{_0} tickets are held for unfinished or unresolved calls; resolve some of them first"
    )]
    TooManyUnresolved(#[error(not(source))] usize),
    #[display("a call with idempotency key {_0} is already in progress; wait for its reply")]
    AlreadyInProgress(#[error(not(source))] String),
}

impl Error {
    pub(crate) fn invalid_request(part: &'static str, cause: &dyn Display) -> Self {
        Error {
            kind: Kind::InvalidRequest(part, cause.to_string()),
        }
    }

    pub(crate) fn no_entry() -> Self {
        Error {
            kind: Kind::NoEntry,
        }
    }

    pub(crate) fn instance_list(cause: &dyn Display) -> Self {
        Error {
            kind: Kind::InstanceList(cause.to_string()),
        }
    }

    pub(crate) fn too_many_unresolved(held: usize) -> Self {
        Error {
            kind: Kind::TooManyUnresolved(held),
        }
    }

    pub(crate) fn already_in_progress(key: &str) -> Self {
        Error {
            kind: Kind::AlreadyInProgress(key.to_owned()),
        }
    }
}
