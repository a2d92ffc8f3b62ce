//! What is wrong with answers, where, and what mends it.

use derive_more::{Display, Error};
use smol_str::SmolStr;

use crate::value::InvalidValue;

/// One thing that is wrong with answers.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{place}: {problem}; {remedy}")]
pub struct Fault {
    pub(crate) place: Place,
    pub(crate) problem: SmolStr,
    pub(crate) remedy: SmolStr,
}

/// Place of a fault in a file of answers.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub(crate) enum Place {
    #[display("file")]
    File,
    #[display("[{}]", _0.escape_debug())]
    Section(SmolStr),
    #[display("[{}] {}", _0.escape_debug(), _1.escape_debug())]
    Key(SmolStr, SmolStr),
}

/// Answers that were refused, with every reason.
#[derive(Debug, Display, Error)]
#[display("{}", lines(file, faults))]
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
        Place::Section(shortened(section))
    }

    pub(crate) fn key(section: &str, key: &str) -> Self {
        Place::Key(shortened(section), shortened(key))
    }
}

impl Error {
    pub(crate) fn new(file: &str, faults: Vec<Fault>) -> Self {
        Error {
            file: file.into(),
            faults,
        }
    }

    /// Returns every fault that was found.
    #[must_use]
    pub fn faults(&self) -> &[Fault] {
        &self.faults
    }
}

fn shortened(text: &str) -> SmolStr {
    const SHOWN_CHARS: usize = 140;
    text.chars().take(SHOWN_CHARS).collect()
}

fn lines(file: &str, faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(|f| format!("{file}: {f}")).collect();
    lines.join("\n")
}
