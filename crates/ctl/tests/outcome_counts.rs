//! Checks how `berylctl report` counts the outcomes of requests.
//!
//! A target answers with status 424 if a call to its dependency failed. Guards against counting
//! such an answer as in time or as not run.

mod common;

use std::time::{Duration, Instant};

use common::small_fleet::{self, ANSWER_BYTES};
use common::{Scratch, berylctl};
use serde_json::{Value, json};
use standin::{Call, Caller, Downstream, Plan};

/// Longest wait until the daemon has counted all requests.
const COUNT_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns the counts of an operation over the shortest window, or null if it has none.
fn counts(report: &Value, operation: &str) -> Value {
    let rows = report["rows"].as_array().unwrap();
    let row = rows
        .iter()
        .find(|row| row["scope"]["operation"]["operation"] == operation);
    row.map_or(Value::Null, |row| row["burns"][0]["counts"].clone())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_failed_dependency_counts_as_late() {
    let succeeding = Plan {
        answer_bytes: ANSWER_BYTES,
        ..Plan::default()
    };
    let failing = Plan {
        calls: vec![Downstream {
            service: "caja".into(),
            operation: "no-such-operation".into(),
            answer_bytes: ANSWER_BYTES,
            repeatable: true,
        }],
        ..succeeding.clone()
    };
    let fleet = small_fleet::start(failing, succeeding).await;
    let reservas = fleet.instances_of("reservas").next().unwrap().addresses;
    let caller = Caller::new();
    let mut statuses = Vec::new();
    for number in 0..2 {
        for operation in ["book", "browse"] {
            let token = format!("{operation}-{number}");
            let call = Call::new("reservas", operation, &token).answer_bytes(ANSWER_BYTES);
            let call = if operation == "book" {
                call.key(&token)
            } else {
                call
            };
            let reply = caller
                .send_with_ticket(reservas.callers, &call)
                .await
                .unwrap();
            statuses.push(reply.status.as_u16());
        }
    }
    assert_eq!(statuses, [424, 200, 424, 200]);
    let dir = Scratch::new("outcome-counts");
    let (json, admin) = (dir.path("burn.json"), reservas.admin.to_string());
    let started = Instant::now();
    let (book, browse) = loop {
        let (file, admin) = (json.clone(), admin.clone());
        let run_report = move || berylctl(&["report", "--json", &file, &admin]);
        let output = tokio::task::spawn_blocking(run_report).await.unwrap();
        assert!(output.ends_with("exit 0"), "{output}");
        let report = serde_json::from_slice(&std::fs::read(&json).unwrap()).unwrap();
        let counts = (counts(&report, "book"), counts(&report, "browse"));
        // The daemon counts an answer after sending it, so the caller may have read it before.
        let is_counted = |counts: &Value| {
            counts["in_time"].as_u64() > Some(1) || counts["late"].as_u64() > Some(1)
        };
        if (is_counted(&counts.0) && is_counted(&counts.1)) || started.elapsed() > COUNT_TIMEOUT {
            break counts;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    fleet.stop().await;
    let outcomes = |counts: &Value| json!([counts["in_time"], counts["late"], counts["not_run"]]);
    assert_eq!(outcomes(&book), json!([0, 2, 0]));
    assert_eq!(outcomes(&browse), json!([2, 0, 0]));
}
