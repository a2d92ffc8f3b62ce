//! Importance of a root request and the aim of the operators.

use std::str::FromStr;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Importance of a root request; every call made on its behalf inherits it.
///
/// A greater class is shed later.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
#[display("{}", self.name())]
#[repr(u8)]
pub enum Class {
    /// Large transfers that can come later, such as photo packs.
    Bulk = 0,
    /// Browsing and listings.
    Browse = 1,
    /// Reads that must answer but may wait.
    Standard = 2,
    /// Bookings, deposits, pledges and invoices.
    Critical = 3,
}

impl Class {
    /// All classes, the least important first.
    pub const ALL: [Class; 4] = [Class::Bulk, Class::Browse, Class::Standard, Class::Critical];

    /// Its name in documents, headers, logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Class::Bulk => "bulk",
            Class::Browse => "browse",
            Class::Standard => "standard",
            Class::Critical => "critical",
        }
    }

    /// Returns the position in [`Class::ALL`].
    #[must_use]
    pub fn index(self) -> usize {
        self as usize
    }
}

/// A text that names no class.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("not a class; allowed: critical, standard, browse, bulk")]
pub struct UnknownClass;

impl FromStr for Class {
    type Err = UnknownClass;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let named = Class::ALL.into_iter().find(|class| class.name() == text);
        named.ok_or(UnknownClass)
    }
}

/// What decides between two requests of the same class.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Goal {
    /// Worth per slot time comes first.
    #[default]
    #[display("goodput")]
    Goodput,
    /// Requests that are sure to finish in time come first.
    #[display("recovery")]
    Recovery,
}
