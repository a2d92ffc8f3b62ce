//! Replaces an instance of a running fleet, as `berylctl experiment rolling-replacement` does.
//!
//! Guards against calls that fail or still run at the old instance after the replacement.

mod common;

use common::small_fleet::{self, ANSWER_BYTES};
use standin::{Call, Caller, Downstream, LocalFleet, Plan};

/// Sends a booking and returns its status.
async fn book(fleet: &LocalFleet, token: &str) -> u16 {
    let entry = fleet.entries("reservas")[0];
    let call = Call::new("reservas", "book", token)
        .answer_bytes(ANSWER_BYTES)
        .key(token);
    let reply = Caller::new().send_with_ticket(entry, &call).await;
    reply.unwrap().status.as_u16()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_replaced_instance_takes_over_the_calls() {
    let book_plan = Plan {
        answer_bytes: ANSWER_BYTES,
        calls: vec![Downstream {
            service: "caja".into(),
            operation: "charge".into(),
            answer_bytes: ANSWER_BYTES,
            repeatable: false,
        }],
        ..Plan::default()
    };
    let mut fleet = small_fleet::start(book_plan, Plan::default()).await;
    assert_eq!(book(&fleet, "first").await, 200);
    let services: Vec<&str> = fleet
        .instances
        .iter()
        .map(|pair| pair.identity.service.as_str())
        .collect();
    let caja_position = services.iter().position(|name| *name == "caja").unwrap();
    fleet.replace(caja_position).await.unwrap();
    assert_eq!(book(&fleet, "second").await, 200);
    let runs = fleet.ledger.runs();
    let charges = runs.iter().filter(|run| run.operation == "charge");
    let instances: Vec<&str> = charges.map(|run| run.instance.as_str()).collect();
    assert_eq!(instances, ["caja-1", "caja-1-next"]);
    fleet.stop().await;
}
