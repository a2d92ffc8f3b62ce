//! The configuration documents that proofs run under.

use config::{Document, Operation, Service};
use model::{Class, Goal, Revision};

const RETRY_BUDGET: u16 = 3;
const RETRY_PERCENT: u16 = 20;
const OBJECTIVE_PERMILLE: u16 = 990;

/// Arriaga's bookings: reservas and rutas call caja and fleet.
#[must_use]
pub fn arriaga() -> Document {
    Document {
        revision: Revision::from(1),
        goal: Goal::Goodput,
        retry_budget: RETRY_BUDGET,
        retry_percent: RETRY_PERCENT,
        services: vec![
            service(
                "caja",
                20,
                230,
                vec![
                    read("balance", Class::Standard, 2_000),
                    once("charge", 5_000),
                ],
            ),
            service(
                "fleet",
                160,
                1_000,
                vec![read("availability", Class::Standard, 2_000)],
            ),
            service(
                "reservas",
                160,
                1_000,
                vec![
                    calling(once("book", 10_000), &["caja/charge"]),
                    read("browse", Class::Browse, 5_000),
                    calling(
                        read("quote", Class::Standard, 10_000),
                        &["caja/balance", "fleet/availability"],
                    ),
                ],
            ),
            service("rutas", 160, 1_000, vec![read("pack", Class::Bulk, 60_000)]),
        ],
    }
}

/// Money that may move only once: a deposit at reservas charges at caja.
#[must_use]
pub fn payments(slots: u32) -> Document {
    let connections = slots.saturating_mul(4);
    let caja = vec![
        read("balance", Class::Standard, 2_000),
        once("charge", 5_000),
        once("invoice", 5_000),
        once("pledge", 5_000),
    ];
    let reservas = vec![
        read("browse", Class::Browse, 5_000),
        calling(once("deposit", 5_000), &["caja/charge"]),
    ];
    Document {
        services: vec![
            service("caja", slots, connections, caja),
            service("reservas", slots, connections, reservas),
        ],
        ..arriaga()
    }
}

/// A service without operations yet.
#[must_use]
pub fn service(name: &str, slots: u32, connections: u32, operations: Vec<Operation>) -> Service {
    Service {
        name: name.into(),
        slots,
        connections,
        refusal_means_not_run: false,
        operations,
    }
}

/// An operation that may be repeated, open to callers.
#[must_use]
pub fn read(name: &str, class: Class, deadline_ms: u32) -> Operation {
    Operation {
        name: name.into(),
        class,
        worth: 1,
        repeatable: true,
        entry: true,
        deadline_ms,
        objective_permille: OBJECTIVE_PERMILLE,
        calls: Vec::new(),
    }
}

/// A critical operation that may run only once, open to callers.
#[must_use]
pub fn once(name: &str, deadline_ms: u32) -> Operation {
    Operation {
        worth: 20,
        repeatable: false,
        ..read(name, Class::Critical, deadline_ms)
    }
}

/// Adds the operations, as `service/operation`, that an operation calls.
#[must_use]
pub fn calling(mut operation: Operation, calls: &[&str]) -> Operation {
    operation.calls = calls.iter().map(|call| (*call).to_owned()).collect();
    operation
}
