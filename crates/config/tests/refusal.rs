//! Validation of documents: one with any fault is rejected as a whole, and the error lists every
//! fault.

use config::{Document, MAX_DOCUMENT_BYTES, Operation, Service};
use insta::assert_snapshot;
use model::{Class, Goal, Revision};
use proptest::prelude::*;

fn operation(name: &str, calls: &[&str]) -> Operation {
    Operation {
        name: name.into(),
        class: Class::Standard,
        worth: 1,
        repeatable: true,
        entry: true,
        deadline_ms: 1_000,
        objective_permille: 990,
        calls: calls.iter().map(ToString::to_string).collect(),
    }
}

fn service(name: &str, operations: Vec<Operation>) -> Service {
    Service {
        name: name.into(),
        slots: 10,
        connections: 20,
        refusal_means_not_run: false,
        operations,
    }
}

fn document(services: Vec<Service>) -> Document {
    Document {
        revision: Revision::from(1),
        goal: Goal::Goodput,
        retry_budget: 3,
        retry_percent: 10,
        services,
    }
}

fn rejection(document: &Document) -> String {
    Document::parse(&document.to_bytes())
        .expect_err("invalid document")
        .to_string()
}

#[test]
fn valid_document_round_trips() {
    let valid = document(vec![
        service("a", vec![operation("x", &["b/y"])]),
        service("b", vec![operation("y", &[])]),
    ]);
    assert_eq!(Document::parse(&valid.to_bytes()).unwrap(), valid);
}

#[test]
fn one_error_lists_every_fault() {
    let mut out_of_range = operation("x", &["b/z", "b/y", "b/y", "nowhere"]);
    out_of_range.deadline_ms = u32::MAX;
    out_of_range.worth = u32::MAX;
    out_of_range.objective_permille = 0;
    let mut duplicates = service("b", vec![operation("y", &[]), operation("y", &[])]);
    duplicates.slots = 0;
    duplicates.connections = u32::MAX;
    let mut invalid = document(vec![
        duplicates,
        service("a", vec![out_of_range]),
        service("", vec![]),
    ]);
    invalid.retry_budget = u16::MAX;
    invalid.retry_percent = 101;
    assert_snapshot!(rejection(&invalid), @r#"
    fleet: retry_budget: 65535 is out of range; allowed: 0 to 1000
    fleet: retry_percent: 101 is out of range; allowed: 0 to 100
    fleet: services: "a" is out of order; sort the list by name
    fleet: services: "" is out of order; sort the list by name
    service b: slots: 0 is out of range; allowed: 1 to 100000
    service b: connections: 4294967295 is out of range; allowed: 1 to 1000000
    service b: operations: "y" is there twice; remove one of them
    operation a/x: worth: 4294967295 is out of range; allowed: 0 to 1000000
    operation a/x: deadline_ms: 4294967295 is out of range; allowed: 1 to 3600000
    operation a/x: objective_permille: 0 is out of range; allowed: 1 to 1000
    operation a/x: calls: "b/y" is out of order; sort the list by name
    operation a/x: calls: "b/y" is there twice; remove one of them
    service : name: "" is not a name; allowed: 1 to 63 ASCII letters, digits, '-', '_' and '.', beginning with a letter or digit
    operation a/x: calls: "b/z" names no operation; write service/operation of an operation in this document
    operation a/x: calls: "nowhere" names no operation; write service/operation of an operation in this document
    "#);
}

#[test]
fn each_cycle_is_reported_once_with_its_path() {
    let invalid = document(vec![
        service(
            "a",
            vec![operation("x", &["b/y"]), operation("z", &["a/z"])],
        ),
        service("b", vec![operation("y", &["c/z"])]),
        service("c", vec![operation("z", &["b/y"])]),
    ]);
    assert_snapshot!(rejection(&invalid), @r"
    operation b/y: calls: calls go round in a cycle: b/y -> c/z -> b/y; remove one of these calls
    operation a/z: calls: calls go round in a cycle: a/z -> a/z; remove one of these calls
    ");
}

#[test]
fn chain_of_23_is_allowed_and_24_is_not() {
    let chain = |depth: usize| {
        let name = |at: usize| format!("s{at:02}");
        let services = (0..depth).map(|at| {
            let call = format!("{}/x", name(at + 1));
            let calls: &[&str] = if at + 1 < depth {
                &[call.as_str()]
            } else {
                &[]
            };
            service(&name(at), vec![operation("x", calls)])
        });
        document(services.collect())
    };
    chain(23).check().unwrap();
    assert_snapshot!(rejection(&chain(24)), @"operation s00/x: calls: the longest chain is 24 operations deep; allowed: at most 23");
}

#[test]
fn repeatable_operation_must_not_call_a_non_repeatable_one() {
    let mut charge = operation("charge", &[]);
    charge.repeatable = false;
    let invalid = document(vec![
        service("caja", vec![charge]),
        service(
            "reservas",
            vec![
                operation("book", &["reservas/pay"]),
                operation("pay", &["caja/charge"]),
            ],
        ),
    ]);
    assert_snapshot!(rejection(&invalid), @r"
    operation reservas/pay: repeatable: it may be repeated, but its chain holds caja/charge, which may not; make this operation non-repeatable as well, or remove the call
    operation reservas/book: repeatable: it may be repeated, but its chain holds caja/charge, which may not; make this operation non-repeatable as well, or remove the call
    ");
}

#[test]
fn oversized_and_malformed_documents_are_rejected() {
    let too_large = vec![b' '; MAX_DOCUMENT_BYTES + 1];
    let unknown = br#"{"revision":1,"colour":"green"}"#;
    let complete = document(vec![]).to_bytes();
    let truncated = &complete[..complete.len() - 1];
    let cases: [&[u8]; 4] = [&too_large, unknown, truncated, &[0xff, 0xfe]];
    let errors = cases.map(|bytes| Document::parse(bytes).unwrap_err().to_string());
    assert_snapshot!(errors.join("\n"), @r"
    document has 1048577 bytes; allowed: at most 1048576
    document is not well-formed: unknown field `colour`, expected one of `revision`, `goal`, `retry_budget`, `retry_percent`, `services` at line 1 column 22
    document is not well-formed: EOF while parsing an object at line 1 column 80
    document is not well-formed: expected value at line 1 column 1
    ");
}

#[test]
fn more_operations_than_keys_are_rejected() {
    let many = (0..=65_536).map(|at| operation(&format!("o{at:05}"), &[]));
    let invalid = document(vec![service("a", many.collect())]);
    assert_snapshot!(invalid.check().unwrap_err(), @"fleet: operations: 65537 are too many; allowed: at most 65536");
}

proptest! {
    #[test]
    fn arbitrary_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..512)) {
        let _ = Document::parse(&bytes);
    }

    #[test]
    fn acyclic_graphs_are_valid_and_self_calls_are_not(edges in proptest::collection::vec((0..9_usize, 0..9_usize), 0..40)) {
        let name = |at: usize| format!("o{at}");
        let operations = (0..9).map(|at| {
            let mut calls: Vec<String> = edges
                .iter()
                .filter(|(from, _)| *from == at)
                .map(|(_, to)| format!("a/{}", name(*to)))
                .collect();
            calls.sort();
            calls.dedup();
            let calls: Vec<&str> = calls.iter().map(String::as_str).collect();
            operation(&name(at), &calls)
        });
        let ascending = edges.iter().all(|(from, to)| from < to);
        let result = document(vec![service("a", operations.collect())]).check();
        prop_assert!(!ascending || result.is_ok());
        let has_self_call = edges.iter().any(|(from, to)| from == to);
        prop_assert!(!has_self_call || result.is_err());
    }
}
