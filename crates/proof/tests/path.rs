//! The whole way of a request: caller, daemon, target, and on to another service.

use std::process::Output;

use http::StatusCode;
use model::Outcome;
use proof::{NodeSpec, Rig};
use standin::{Call, Downstream, Plan, TargetConfig};

const DAEMON: &str = env!("CARGO_BIN_EXE_daemon-under-test");

/// A booking at reservas charges at caja; a quote reads the balance there.
fn with_calls(spec: NodeSpec) -> NodeSpec {
    let calls = |operation: &str, repeatable| Plan {
        answer_bytes: 500,
        calls: vec![Downstream {
            service: "caja".into(),
            operation: operation.into(),
            answer_bytes: 300,
            repeatable,
        }],
        ..Plan::default()
    };
    let target = TargetConfig::new(spec.service(), spec.id(), 160)
        .plan("book", calls("charge", false))
        .plan("quote", calls("balance", true));
    spec.target(target)
}

#[tokio::test]
async fn a_booking_charges_once_and_its_whole_answer_comes_back() {
    let rig = Rig::booking(DAEMON, with_calls).await.unwrap();
    for (number, entry) in ["reservas-a1", "reservas-b2"].into_iter().enumerate() {
        let key = format!("club-{number}");
        let call = Call::new("reservas", "book", &key)
            .key(&key)
            .answer_bytes(20_000);
        let to = rig.node(entry).callers();
        let reply = rig.caller.send_with_ticket(to, &call).await.unwrap();
        assert!(reply.answers(&call), "{}", reply.summary());
        assert_eq!(reply.outcome(), Some(Outcome::Answered));
        assert_eq!(rig.ledger.count_of_key(&key), 1);
        assert_eq!(rig.ledger.count_of_key(&format!("{key}.0")), 1);
    }
    let bookings = rig.ledger.runs_of("reservas", "book");
    let charges = rig.ledger.runs_of("caja", "charge");
    let roots =
        |runs: &[standin::Run]| -> Vec<_> { runs.iter().map(|run| run.root.clone()).collect() };
    assert_eq!(roots(&bookings), roots(&charges));
    assert!(bookings.iter().all(|run| run.root.is_some()));
    assert_eq!(rig.ledger.mismatches(), Vec::<String>::new());
}

#[tokio::test]
async fn a_read_may_enter_at_any_daemon() {
    let rig = Rig::booking(DAEMON, with_calls).await.unwrap();
    let mut expected_runs = 0;
    for entry in rig.nodes() {
        for operation in ["browse", "quote"] {
            let token = format!("{}-{operation}", entry.spec.id());
            let call = Call::new("reservas", operation, &token).answer_bytes(1_000);
            let reply = rig.caller.send(entry.callers(), &call).await.unwrap();
            assert!(reply.answers(&call), "{token}: {}", reply.summary());
            expected_runs += 1;
        }
    }
    let runs = rig.ledger.runs();
    let at = |service: &str| runs.iter().filter(|run| run.service == service).count();
    assert_eq!(at("reservas"), expected_runs);
    assert_eq!(at("caja"), expected_runs / 2);
    assert_eq!(rig.ledger.mismatches(), Vec::<String>::new());
}

#[tokio::test]
async fn what_cannot_run_is_refused_and_does_not_run() {
    let rig = Rig::booking(DAEMON, with_calls).await.unwrap();
    let calls = [
        Call::new("reservas", "unknown", "a"),
        Call::new("unknown", "book", "a"),
        Call::new("reservas", "book", "a"),
        Call::new("reservas", "book", "a").key("k"),
        Call::new("caja", "charge", "a").key("k"),
    ];
    let mut told = Vec::new();
    for call in &calls {
        let to = rig.node("reservas-a1").callers();
        let reply = rig.caller.send(to, call).await.unwrap();
        let ticket = if reply.ticket().is_some() {
            " with a ticket"
        } else {
            ""
        };
        told.push(format!(
            "{}/{}: {}{ticket}",
            call.service,
            call.operation,
            reply.summary()
        ));
    }
    insta::assert_snapshot!(told.join("\n"), @r"
    reservas/unknown: 404 not-run invalid
    unknown/book: 404 not-run invalid
    reservas/book: 400 not-run invalid
    reservas/book: 428 not-run ticket-required with a ticket
    caja/charge: 428 not-run ticket-required with a ticket
    ");
    assert!(rig.ledger.runs().is_empty());
}

#[tokio::test]
async fn is_not_ready_without_a_document() {
    let rig = Rig::builder(DAEMON)
        .node(NodeSpec::new("caja", "norte-a", "caja-a1"))
        .start_unready()
        .await
        .unwrap();
    let (status, _) = rig.admin("caja-a1", "ready").await.unwrap();
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    let call = Call::new("caja", "balance", "a");
    let reply = rig
        .caller
        .send(rig.node("caja-a1").callers(), &call)
        .await
        .unwrap();
    assert_eq!(reply.summary(), "503 not-run not-ready");
    assert!(rig.ledger.runs().is_empty());
    rig.platform.publish(&proof::fleets::arriaga());
    rig.until_ready("caja-a1").await;
    let reply = rig
        .caller
        .send(rig.node("caja-a1").callers(), &call)
        .await
        .unwrap();
    assert_eq!(reply.outcome(), Some(Outcome::Answered));
}

#[test]
fn wrong_settings_are_named_and_end_with_code_2() {
    let text = "[instance]\nid = a b\nservice = caja\ndata_centre = norte-a\n\
        [listen]\ncallers = nowhere\n[target]\naddress = 127.0.0.1:1\n[odd]\nkey = 1\n";
    for check in [true, false] {
        let output = run_with_settings(text, check);
        assert_eq!(output.status.code(), Some(2));
        let stderr = String::from_utf8(output.stderr).unwrap();
        for (section, key) in [("instance", "id"), ("listen", "callers"), ("odd", "")] {
            let names = |line: &str| {
                line.contains("wrong.ini") && line.contains(section) && line.contains(key)
            };
            assert!(stderr.lines().any(names), "{section}/{key} in {stderr}");
        }
    }
}

fn run_with_settings(text: &str, check: bool) -> Output {
    let dir = std::env::temp_dir().join(format!("berylhead-path-{}-{check}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let file = dir.join("wrong.ini");
    std::fs::write(&file, text).unwrap();
    let mut command = std::process::Command::new(DAEMON);
    if check {
        command.arg("--check");
    }
    let output = command.arg("--settings").arg(&file).output().unwrap();
    std::fs::remove_dir_all(&dir).unwrap();
    output
}
