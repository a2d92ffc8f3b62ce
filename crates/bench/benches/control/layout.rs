//! What the fleets of this bench consist of.

use std::net::{Ipv4Addr, SocketAddr};

use config::{Document, Operation, Service};
use model::{Class, Goal, Revision};
use standin::{ListedInstance, ListedState};

/// Data centres with processes; each has three readers of each state.
pub(crate) const DATA_CENTRES: usize = 2;
const OPERATIONS: usize = 6;
/// Data centre of the entries without a process, which only its own would judge one by one.
const ABSENT: &str = "sur-z";

/// Where a daemon stands.
#[derive(Clone, Debug)]
pub(crate) struct Place {
    pub(crate) id: String,
    pub(crate) service: String,
    pub(crate) data_centre: String,
}

impl Place {
    pub(crate) fn new(number: usize, services: usize) -> Self {
        let service = service_name(number % services);
        let letter = ["a", "b"][number % DATA_CENTRES];
        Place {
            id: format!("{service}-{letter}-{number:05}"),
            service,
            data_centre: format!("norte-{letter}"),
        }
    }
}

/// A document of so many services. A revision changes two of them, with all their operations.
pub(crate) fn document(revision: u64, services: usize) -> Document {
    let changed = usize::try_from(revision).unwrap_or(0) % services;
    let service = |at: usize| {
        let operation = |number: usize| Operation {
            name: format!("operation-{number}").as_str().into(),
            class: Class::Standard,
            worth: 1,
            repeatable: true,
            entry: true,
            deadline_ms: if at == changed { 1_000 } else { 2_000 },
            objective_permille: 990,
            calls: Vec::new(),
        };
        Service {
            name: service_name(at).as_str().into(),
            slots: 160,
            connections: 10_000,
            refusal_means_not_run: false,
            operations: (0..OPERATIONS).map(operation).collect(),
        }
    };
    Document {
        revision: Revision::from(revision),
        goal: Goal::Goodput,
        retry_budget: 2,
        retry_percent: 10,
        services: (0..services).map(service).collect(),
    }
}

/// An entry of the list behind which there is no process.
pub(crate) fn absent(number: usize, services: usize) -> ListedInstance {
    let nowhere = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let service = service_name(number % services);
    ListedInstance {
        id: format!("{service}-z-{number:05}").as_str().into(),
        service: service.as_str().into(),
        data_centre: ABSENT.into(),
        region: "sur".into(),
        callers: nowhere,
        mesh: nowhere,
        control: nowhere,
        state: ListedState::Live,
    }
}

fn service_name(number: usize) -> String {
    format!("service-{number:03}")
}
