//! Patches between two configuration documents, with operations as the unit of change.

use std::collections::BTreeMap;
use std::sync::Arc;

use config::{Document, Index, Operation, Service};
use model::{Goal, OperationName, Revision, ServiceName};
use serde::{Deserialize, Serialize};
use wire::control::Kind;

use crate::replica::Codec;
use crate::stamp::Stamp;

/// A document with its index and digest, both computed once.
#[derive(Clone, Debug)]
pub(crate) struct HeldDocument {
    pub(crate) index: Arc<Index>,
    digest: u64,
}

/// Changes from one document to the next.
#[derive(Debug, Serialize, Deserialize)]
struct DocumentPatch {
    revision: Revision,
    goal: Goal,
    retry_budget: u16,
    retry_percent: u16,
    changed: Vec<ServicePatch>,
    removed: Vec<ServiceName>,
}

/// Changes within one service. `service.operations` holds only the changed operations.
#[derive(Debug, Serialize, Deserialize)]
struct ServicePatch {
    service: Service,
    removed: Vec<OperationName>,
}

/// Returns the codec for configuration documents.
pub(crate) fn codec() -> Codec<HeldDocument> {
    Codec {
        kind: Kind::Document,
        decode: |bytes| {
            let document = Document::parse(bytes).map_err(|e| e.to_string())?;
            Ok(prepare(document))
        },
        encode: |held| held.index.document().to_bytes(),
        stamp: |held| Stamp {
            revision: held.index.document().revision.into(),
            digest: held.digest,
        },
        diff: |old, new| {
            let patch = diff(old.index.document(), new.index.document());
            serde_json::to_vec(&patch).unwrap_or_default()
        },
        apply: |held, bytes| {
            let patch = serde_json::from_slice(bytes).map_err(|e| e.to_string())?;
            let document = apply(held.index.document(), patch);
            // Runs the same validation on the patched document as on a complete one.
            let document = Document::parse(&document.to_bytes()).map_err(|e| e.to_string())?;
            Ok(prepare(document))
        },
    }
}

fn prepare(document: Document) -> HeldDocument {
    HeldDocument {
        digest: document.digest(),
        index: Arc::new(Index::new(Arc::new(document))),
    }
}

fn diff(old: &Document, new: &Document) -> DocumentPatch {
    let earlier: BTreeMap<&ServiceName, &Service> =
        old.services.iter().map(|s| (&s.name, s)).collect();
    let later: BTreeMap<&ServiceName, &Service> =
        new.services.iter().map(|s| (&s.name, s)).collect();
    DocumentPatch {
        revision: new.revision,
        goal: new.goal,
        retry_budget: new.retry_budget,
        retry_percent: new.retry_percent,
        changed: new
            .services
            .iter()
            .filter(|service| earlier.get(&service.name) != Some(service))
            .map(|service| diff_service(earlier.get(&service.name).copied(), service))
            .collect(),
        removed: earlier
            .into_keys()
            .filter(|name| !later.contains_key(name))
            .cloned()
            .collect(),
    }
}

fn diff_service(old: Option<&Service>, new: &Service) -> ServicePatch {
    let earlier: &[Operation] = old.map_or(&[], |service| &service.operations);
    let changed = new
        .operations
        .iter()
        .filter(|operation| !earlier.contains(operation))
        .cloned()
        .collect();
    let removed = earlier
        .iter()
        .filter(|old| new.operations.iter().all(|op| op.name != old.name))
        .map(|old| old.name.clone())
        .collect();
    ServicePatch {
        service: Service {
            operations: changed,
            name: new.name.clone(),
            ..*new
        },
        removed,
    }
}

fn apply(old: &Document, patch: DocumentPatch) -> Document {
    let mut services: BTreeMap<ServiceName, Service> = old
        .services
        .iter()
        .map(|service| (service.name.clone(), service.clone()))
        .collect();
    for name in &patch.removed {
        services.remove(name);
    }
    for change in patch.changed {
        let earlier = services.remove(&change.service.name);
        let service = apply_service(earlier, change);
        services.insert(service.name.clone(), service);
    }
    Document {
        revision: patch.revision,
        goal: patch.goal,
        retry_budget: patch.retry_budget,
        retry_percent: patch.retry_percent,
        services: services.into_values().collect(),
    }
}

fn apply_service(earlier: Option<Service>, patch: ServicePatch) -> Service {
    let mut operations: BTreeMap<OperationName, Operation> = earlier
        .map(|service| service.operations)
        .unwrap_or_default()
        .into_iter()
        .map(|operation| (operation.name.clone(), operation))
        .collect();
    for name in &patch.removed {
        operations.remove(name);
    }
    for operation in patch.service.operations {
        operations.insert(operation.name.clone(), operation);
    }
    Service {
        operations: operations.into_values().collect(),
        ..patch.service
    }
}
