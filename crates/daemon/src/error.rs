//! Errors of starting a daemon.

use std::io;

use derive_more::{Display, Error};
use smol_str::SmolStr;

/// An address that can't be bound, or settings that can't be read or are invalid.
#[derive(Debug, Display, Error)]
#[display("{kind}")]
pub struct Error {
    kind: Kind,
}

#[derive(Debug, Display, Error)]
enum Kind {
    #[display("{_0}")]
    File(#[error(not(source))] SmolStr),
    #[display("{}", one_per_line(_0))]
    Faults(#[error(not(source))] Vec<Fault>),
    #[display("cannot listen on {what}: {source}")]
    Bind { what: SmolStr, source: io::Error },
}

/// An invalid setting.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{file}: [{section}] {key}: {problem}; allowed: {allowed}")]
pub struct Fault {
    file: SmolStr,
    section: SmolStr,
    key: SmolStr,
    problem: SmolStr,
    allowed: SmolStr,
}

impl Fault {
    pub(crate) fn new(file: &str, section: &str, key: &str, problem: &str, allowed: &str) -> Self {
        Fault {
            file: file.into(),
            section: section.into(),
            key: key.into(),
            problem: problem.into(),
            allowed: allowed.into(),
        }
    }
}

impl Error {
    /// True if the settings have to be corrected; false if an address could not be bound.
    #[must_use]
    pub fn is_bad_input(&self) -> bool {
        !matches!(self.kind, Kind::Bind { .. })
    }

    pub(crate) fn read(file: &str, error: &io::Error) -> Self {
        Self::file(
            file,
            format!("cannot be read: {error}; allowed: a readable file"),
        )
    }

    #[expect(
        clippy::needless_pass_by_value,
        reason = "callers pass the result of `format!`"
    )]
    pub(crate) fn file(file: &str, problem: String) -> Self {
        Error {
            kind: Kind::File(format!("{file}: {problem}").into()),
        }
    }

    pub(crate) fn faults(faults: Vec<Fault>) -> Self {
        Error {
            kind: Kind::Faults(faults),
        }
    }

    pub(crate) fn bind(what: &str, source: io::Error) -> Self {
        Error {
            kind: Kind::Bind {
                what: what.into(),
                source,
            },
        }
    }
}

fn one_per_line(faults: &[Fault]) -> String {
    faults
        .iter()
        .map(ToString::to_string)
        .collect::<Vec<_>>()
        .join("\n")
}
