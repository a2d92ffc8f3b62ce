//! Names that operators assign to services, operations, instances and places.

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, Default, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize,
        )]
        #[from(SmolStr, &str, String)]
        #[serde(transparent)]
        pub struct $name(SmolStr);

        impl $name {
            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                self.0.as_str()
            }
        }
    };
}

name! {
    /// A service of the call graph, such as `reservas`.
    ServiceName
}
name! {
    /// An operation of a service, such as `book`. Unique within its service.
    OperationName
}
name! {
    /// An instance: a target together with its daemon.
    InstanceId
}
name! {
    /// A data centre.
    DataCentre
}
name! {
    /// A region: a group of data centres.
    Region
}
