//! The error of parsing or validating a document.

use derive_more::{Display, Error};

use crate::document::MAX_DOCUMENT_BYTES;
use crate::fault::Fault;

/// The reason why a document was rejected: too large, malformed, or invalid with a list of faults.
#[derive(Debug, Display, Error)]
#[display("{kind}")]
pub struct Error {
    kind: Kind,
}

#[derive(Debug, Display, Error)]
enum Kind {
    #[display("document has {_0} bytes; allowed: at most {MAX_DOCUMENT_BYTES}")]
    TooLarge(#[error(not(source))] usize),
    #[display("document is not well-formed: {_0}")]
    Syntax(serde_json::Error),
    #[display("{}", join_lines(_0))]
    Faults(#[error(not(source))] Vec<Fault>),
}

impl Error {
    /// Returns the faults of a well-formed document; empty if it was too large or malformed.
    #[must_use]
    pub fn faults(&self) -> &[Fault] {
        match &self.kind {
            Kind::Faults(faults) => faults,
            Kind::TooLarge(_) | Kind::Syntax(_) => &[],
        }
    }

    pub(crate) fn too_large(bytes: usize) -> Self {
        Error {
            kind: Kind::TooLarge(bytes),
        }
    }

    pub(crate) fn syntax(error: serde_json::Error) -> Self {
        Error {
            kind: Kind::Syntax(error),
        }
    }

    pub(crate) fn invalid(faults: Vec<Fault>) -> Self {
        Error {
            kind: Kind::Faults(faults),
        }
    }
}

fn join_lines(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
