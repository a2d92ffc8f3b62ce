//! The configuration document: services, their operations and fleet-wide settings.

use model::{Class, Goal, OperationName, Revision, ServiceName};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::check;
use crate::error::Error;

/// Maximum size of a document, in bytes; the platform stores no larger one.
pub const MAX_DOCUMENT_BYTES: usize = 1 << 20;

/// Maximum depth of a call chain, in operations.
pub const MAX_CHAIN_DEPTH: usize = 23;

/// Objective of an operation for which the document gives none, in complete answers within the
/// deadline per 1000 root requests.
pub const DEFAULT_OBJECTIVE_PERMILLE: u16 = 990;

fn default_objective_permille() -> u16 {
    DEFAULT_OBJECTIVE_PERMILLE
}

/// One revision of the configuration of a whole fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Revision; a daemon applies only a higher one than it has.
    pub revision: Revision,
    /// Criterion by which requests of one class are ranked.
    pub goal: Goal,
    /// Maximum number of retries of one root request, over its whole call tree.
    pub retry_budget: u16,
    /// Maximum number of retries per 100 first attempts on one edge of the call graph.
    pub retry_percent: u16,
    /// The services, sorted by name.
    pub services: Vec<Service>,
}

/// One service: the capacity of each of its targets, and its operations.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Maximum number of concurrent requests per target.
    pub slots: u32,
    /// Maximum number of connections per target.
    pub connections: u32,
    /// True if a 503 from the target itself means that it did not run the request.
    pub refusal_means_not_run: bool,
    /// The operations, sorted by name.
    pub operations: Vec<Operation>,
}

/// One operation of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operation {
    /// Name of the operation; the first path segment after the service's name.
    pub name: OperationName,
    /// Priority class of a root request for this operation.
    pub class: Class,
    /// Worth of one complete answer, in a unit that the operators choose.
    pub worth: u32,
    /// True if the operation is idempotent: running it twice does no harm.
    pub repeatable: bool,
    /// True if callers outside the fleet may call it.
    pub entry: bool,
    /// Deadline for a complete answer, in milliseconds.
    pub deadline_ms: u32,
    /// Service-level objective: complete answers within the deadline per 1000 root requests.
    #[serde(default = "default_objective_permille")]
    pub objective_permille: u16,
    /// Operations that this one may call, as `service/operation`, sorted.
    pub calls: Vec<String>,
}

impl Document {
    /// Parses and validates a document; any fault rejects the whole document.
    ///
    /// # Errors
    ///
    /// Returns an error if there are more than [`MAX_DOCUMENT_BYTES`] bytes, they are not valid
    /// JSON of this schema, or the document has a fault.
    pub fn parse(bytes: &[u8]) -> Result<Self, Error> {
        if bytes.len() > MAX_DOCUMENT_BYTES {
            return Err(Error::too_large(bytes.len()));
        }
        let document: Document = serde_json::from_slice(bytes).map_err(Error::syntax)?;
        document.check()?;
        Ok(document)
    }

    /// Validates the document.
    ///
    /// # Errors
    ///
    /// Returns an error that lists every fault, if there is any.
    pub fn check(&self) -> Result<(), Error> {
        let faults = check::faults(self);
        if faults.is_empty() {
            Ok(())
        } else {
            Err(Error::invalid(faults))
        }
    }

    /// Serializes the document in its canonical form, as JSON.
    ///
    /// # Panics
    ///
    /// Never: every field can be serialized to JSON.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a document always serializes")
    }

    /// Returns the digest of the canonical form.
    #[must_use]
    pub fn digest(&self) -> u64 {
        xxh3_64(&self.to_bytes())
    }
}
