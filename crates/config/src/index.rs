//! Look-ups by name and key in one document.

use std::collections::HashMap;
use std::sync::Arc;

use model::{OperationKey, ServiceKey};

use crate::document::{Document, Operation, Service};

/// A document with look-up tables for its services and operations.
///
/// All requests that are handled under the document's revision share it.
#[derive(Clone, Debug)]
pub struct Index {
    document: Arc<Document>,
    services: HashMap<String, ServiceKey>,
    operations: Vec<HashMap<String, OperationKey>>,
    positions: Vec<(ServiceKey, usize)>,
    callees: Vec<Vec<OperationKey>>,
}

impl Index {
    /// Builds the look-up tables of a document.
    #[must_use]
    pub fn new(document: Arc<Document>) -> Self {
        let mut index = Index {
            services: HashMap::new(),
            operations: Vec::new(),
            positions: Vec::new(),
            callees: Vec::new(),
            document,
        };
        for (number, service) in (0_u16..).zip(&Arc::clone(&index.document).services) {
            let service_key = ServiceKey(number);
            index
                .services
                .insert(service.name.as_str().to_owned(), service_key);
            let mut by_name = HashMap::new();
            for (position, operation) in service.operations.iter().enumerate() {
                let key = OperationKey(u16::try_from(index.positions.len()).unwrap_or(u16::MAX));
                index.positions.push((service_key, position));
                by_name.insert(operation.name.as_str().to_owned(), key);
            }
            index.operations.push(by_name);
        }
        index.callees = index.resolve_calls();
        index
    }

    fn resolve_calls(&self) -> Vec<Vec<OperationKey>> {
        let operations = self.document.services.iter().flat_map(|s| &s.operations);
        operations
            .map(|operation| {
                operation
                    .calls
                    .iter()
                    .filter_map(|c| self.operation_by_path(c))
                    .collect()
            })
            .collect()
    }

    /// Returns the document.
    #[must_use]
    pub fn document(&self) -> &Arc<Document> {
        &self.document
    }

    /// Finds a service by name.
    #[must_use]
    pub fn service_key(&self, name: &str) -> Option<ServiceKey> {
        self.services.get(name).copied()
    }

    /// Finds an operation of a service by name.
    #[must_use]
    pub fn operation_key(&self, service: ServiceKey, name: &str) -> Option<OperationKey> {
        self.operations.get(service.index())?.get(name).copied()
    }

    /// Finds an operation by its path, written `service/operation`.
    #[must_use]
    pub fn operation_by_path(&self, path: &str) -> Option<OperationKey> {
        let (service, operation) = path.split_once('/')?;
        self.operation_key(self.service_key(service)?, operation)
    }

    /// Returns the operations that an operation may call.
    #[must_use]
    pub fn callees(&self, key: OperationKey) -> &[OperationKey] {
        &self.callees[key.index()]
    }

    /// Returns the service with a key.
    #[must_use]
    pub fn service(&self, key: ServiceKey) -> &Service {
        &self.document.services[key.index()]
    }

    /// Returns the operation with a key.
    #[must_use]
    pub fn operation(&self, key: OperationKey) -> &Operation {
        let (service, position) = self.positions[key.index()];
        &self.document.services[service.index()].operations[position]
    }

    /// Returns the service that an operation belongs to.
    #[must_use]
    pub fn service_of(&self, key: OperationKey) -> ServiceKey {
        self.positions[key.index()].0
    }
}
