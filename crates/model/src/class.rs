//! Importance of a root request, and the scheduling goal.

use std::str::FromStr;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Importance of a root request. Every call made on its behalf inherits it.
///
/// Under overload, requests of a lower class are shed first.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
#[display("{}", self.name())]
#[repr(u8)]
pub enum Class {
    /// Large transfers that can be postponed, such as photo packs.
    Bulk = 0,
    /// Browsing and listing.
    Browse = 1,
    /// Reads that need an answer but may wait.
    Standard = 2,
    /// Bookings, deposits, pledges and invoices.
    Critical = 3,
}

impl Class {
    /// All classes, least important first.
    pub const ALL: [Class; 4] = [Class::Bulk, Class::Browse, Class::Standard, Class::Critical];

    /// Returns the name used in documents, headers, logs and metrics.
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

/// Error for a text that is not the name of a class.
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

/// Which of two requests of the same class is served first.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Goal {
    /// The request with the higher worth per slot time.
    #[default]
    #[display("goodput")]
    Goodput,
    /// The request that is certain to finish before its deadline.
    #[display("recovery")]
    Recovery,
}
