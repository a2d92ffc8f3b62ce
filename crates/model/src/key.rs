//! Small `Copy` indices into the lists of one configuration document.
//!
//! A key is valid only for the document that it came from. Processes exchange
//! names instead of keys.

use derive_more::Display;

/// Index of a service in its document.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceKey(pub u16);

/// Index of an operation in its document.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OperationKey(pub u16);

impl ServiceKey {
    /// Returns the position in the document's list of services.
    #[must_use]
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

impl OperationKey {
    /// Returns the position in the document's list of operations.
    #[must_use]
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}
