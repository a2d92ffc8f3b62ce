//! Short end-to-end runs of `berylctl demo`, `berylctl load` and `berylctl experiment`.

mod common;

use common::small_fleet::{self, ANSWER_BYTES, ANSWERS};
use common::{Scratch, berylctl};
use insta::assert_snapshot;
use serde_json::{Value, json};
use standin::Plan;

/// Asserts what holds for a table at any speed of the machine: each class has requests, and the
/// counts of their outcomes add up to the number of requests.
fn assert_table(output: &str, classes: &[&str]) {
    let mut lines = output.lines().skip_while(|line| !line.starts_with("CLASS"));
    assert!(lines.next().is_some(), "no table in:\n{output}");
    for class in classes {
        let line = lines.next().unwrap_or_default();
        let cells: Vec<&str> = line.split_whitespace().collect();
        assert_eq!(cells.first(), Some(class), "{output}");
        let counts: Vec<u64> = cells[1..6].iter().map(|c| c.parse().unwrap()).collect();
        assert!(counts[0] > 0, "{output}");
        assert_eq!(counts[0], counts[1..].iter().sum::<u64>(), "{output}");
    }
}

#[test]
fn demo_ends_with_a_table_and_nothing_ran_twice() {
    let dir = Scratch::new("demo");
    let answers = dir.write("small.ini", ANSWERS.as_bytes());
    let html = dir.path("burn.html");
    let output = berylctl(&[
        "demo",
        "--answers",
        &answers,
        "--html",
        &html,
        "--scale",
        "100",
        "--calm",
        "1",
        "--seconds",
        "1",
        "--surge",
        "2",
    ]);
    assert_table(&output, &["critical", "browse"]);
    assert!(
        output.contains("nothing ran twice under one idempotency key\n"),
        "{output}"
    );
    assert!(output.ends_with("exit 0"), "{output}");
    let page = std::fs::read_to_string(&html).unwrap();
    assert!(page.contains("reservas/book") && page.contains("</html>"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn load_sends_the_same_mix_for_the_same_seed() {
    let plan = Plan {
        answer_bytes: ANSWER_BYTES,
        ..Plan::default()
    };
    let fleet = small_fleet::start(plan.clone(), plan).await;
    let entry = fleet.entries("reservas")[0].to_string();
    let dir = Scratch::new("load");
    let path = dir.write("small.ini", ANSWERS.as_bytes());
    let arrivals = |output: &str| -> Vec<String> {
        let rows = output
            .lines()
            .filter(|line| line.starts_with("critical") || line.starts_with("browse"));
        rows.map(|line| {
            line.split_whitespace()
                .take(2)
                .collect::<Vec<_>>()
                .join(" ")
        })
        .collect()
    };
    let mut runs = Vec::new();
    for _ in 0..2 {
        let (path, entry) = (path.clone(), entry.clone());
        let run = tokio::task::spawn_blocking(move || {
            berylctl(&["load", "--seconds", "1", "--seed", "7", &path, &entry])
        });
        let output = run.await.unwrap();
        assert_table(&output, &["critical", "browse"]);
        assert!(output.ends_with("exit 0"), "{output}");
        runs.push(arrivals(&output));
    }
    assert_eq!(runs[0], runs[1]);
    assert!(fleet.ledger.repeated().is_empty());
    fleet.stop().await;
}

#[test]
fn experiment_compares_both_variants_and_writes_files() {
    let dir = Scratch::new("experiment");
    let (html, json) = (dir.path("storm.html"), dir.path("storm.json"));
    let output = berylctl(&[
        "experiment",
        "--calm",
        "1",
        "--seconds",
        "1",
        "--html",
        &html,
        "--json",
        &json,
        "retry-storm",
    ]);
    assert!(output.ends_with("exit 0"), "{output}");
    let result: Value = serde_json::from_slice(&std::fs::read(&json).unwrap()).unwrap();
    assert_eq!(result["trouble_ms"], json!([1_000, 2_000]));
    let worth_asked = |variant: usize| -> Vec<&Value> {
        let intervals = result["ways"][variant]["stretches"].as_array().unwrap();
        intervals
            .iter()
            .map(|interval| &interval["worth_asked"])
            .collect()
    };
    assert_eq!(
        worth_asked(0),
        worth_asked(1),
        "the same seed must give both variants the same arrivals"
    );
    for metric in result["figures"].as_array().unwrap() {
        assert!(
            output.contains(metric["name"].as_str().unwrap()),
            "{output}"
        );
        assert_eq!(metric["values"].as_array().unwrap().len(), 2);
    }
    let page = std::fs::read_to_string(&html).unwrap();
    assert_eq!(page.matches("<svg").count(), 2);
}

#[test]
fn an_unknown_experiment_is_refused() {
    assert_snapshot!(berylctl(&["experiment", "flood"]), @r"
    Error: couldn't parse `flood`: known: overload, slow-service, retry-storm, outage, rolling-replacement
    exit 2
    ");
}
