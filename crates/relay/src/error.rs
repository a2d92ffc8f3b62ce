//! Errors of starting a daemon.

use std::net::SocketAddr;

use derive_more::Display;

/// Why a daemon could not start.
#[derive(Debug, Display)]
#[display("{kind}")]
pub struct Error {
    kind: Kind,
}

#[derive(Debug, Display)]
pub(crate) enum Kind {
    #[display("cannot listen on {address}: {error}")]
    Bind {
        address: SocketAddr,
        error: std::io::Error,
    },
}

impl std::error::Error for Error {}

impl From<Kind> for Error {
    fn from(kind: Kind) -> Self {
        Error { kind }
    }
}
