//! A fault of a document: its place, the problem and a remedy.

use derive_more::Display;
use model::{OperationName, ServiceName};
use smol_str::{SmolStr, format_smolstr};

/// A validation failure in a document.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{place}: {field}: {problem}; {remedy}")]
pub struct Fault {
    /// The invalid part of the document.
    pub place: Place,
    /// The invalid field.
    pub field: &'static str,
    /// Description of the problem.
    pub problem: SmolStr,
    /// The allowed values, or how to correct the problem.
    pub remedy: SmolStr,
}

/// Part of a document in which a fault occurs.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Place {
    /// The fleet-wide settings.
    #[display("fleet")]
    Fleet,
    /// One service.
    #[display("service {_0}")]
    Service(ServiceName),
    /// One operation of a service.
    #[display("operation {_0}/{_1}")]
    Operation(ServiceName, OperationName),
}

impl Fault {
    pub(crate) fn new(
        place: Place,
        field: &'static str,
        problem: impl Into<SmolStr>,
        remedy: impl Into<SmolStr>,
    ) -> Self {
        Fault {
            place,
            field,
            problem: problem.into(),
            remedy: remedy.into(),
        }
    }

    pub(crate) fn out_of_range(
        place: Place,
        field: &'static str,
        value: u64,
        allowed: std::ops::RangeInclusive<u64>,
    ) -> Self {
        Fault::new(
            place,
            field,
            format_smolstr!("{value} is out of range"),
            format_smolstr!("allowed: {} to {}", allowed.start(), allowed.end()),
        )
    }
}
