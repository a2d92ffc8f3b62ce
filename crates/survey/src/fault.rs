//! Faults of an answers file, each with its place and a remedy, and the error that lists them.

use derive_more::{Display, Error};
use smol_str::SmolStr;

use crate::value::InvalidValue;

/// A validation failure in an answers file.
///
/// Displayed as one line: the place, the problem and a remedy.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{place}: {problem}; {remedy}")]
pub struct Fault {
    pub(crate) place: Place,
    pub(crate) problem: SmolStr,
    pub(crate) remedy: SmolStr,
}

/// Part of an answers file in which a fault occurs.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub(crate) enum Place {
    #[display("file")]
    File,
    #[display("[{}]", _0.escape_debug())]
    Section(SmolStr),
    #[display("[{}] {}", _0.escape_debug(), _1.escape_debug())]
    Key(SmolStr, SmolStr),
}

/// The error of reading, checking or generating: every fault found, one per line.
#[derive(Debug, Display, Error)]
#[display("{}", format_faults(file, faults))]
pub struct Error {
    file: SmolStr,
    faults: Vec<Fault>,
}

impl Fault {
    pub(crate) fn new(
        place: Place,
        problem: impl Into<SmolStr>,
        remedy: impl Into<SmolStr>,
    ) -> Self {
        Fault {
            place,
            problem: problem.into(),
            remedy: remedy.into(),
        }
    }

    pub(crate) fn invalid_value(place: Place, invalid: InvalidValue) -> Self {
        Fault::new(place, invalid.problem, invalid.remedy)
    }
}

impl Place {
    pub(crate) fn section(section: &str) -> Self {
        Place::Section(truncate(section))
    }

    pub(crate) fn key(section: &str, key: &str) -> Self {
        Place::Key(truncate(section), truncate(key))
    }
}

impl Error {
    pub(crate) fn new(file: &str, faults: Vec<Fault>) -> Self {
        Error {
            file: file.into(),
            faults,
        }
    }

    /// Returns all faults, in the order in which they were found.
    #[must_use]
    pub fn faults(&self) -> &[Fault] {
        &self.faults
    }
}

fn truncate(text: &str) -> SmolStr {
    const MAX_CHARS: usize = 140;
    text.chars().take(MAX_CHARS).collect()
}

fn format_faults(file: &str, faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(|f| format!("{file}: {f}")).collect();
    lines.join("\n")
}
