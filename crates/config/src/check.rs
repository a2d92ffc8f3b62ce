//! Validation of the fields, names and sizes of a document, and the allowed ranges.

use std::collections::HashSet;
use std::ops::RangeInclusive;

use smol_str::format_smolstr;

use crate::document::{Document, Operation, Service};
use crate::fault::{Fault, Place};
use crate::graph;

/// Maximum number of services, and of operations: the keys are `u16`.
pub const MAX_KEYS: usize = 1 << 16;

/// Maximum length of the name of a service or operation, in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// Allowed retries of one root request, over its whole call tree.
pub const RETRY_BUDGET: RangeInclusive<u64> = 0..=1_000;
/// Allowed retries per 100 first attempts on one edge of the call graph.
pub const RETRY_PERCENT: RangeInclusive<u64> = 0..=100;
/// Allowed concurrent requests per target.
pub const SLOTS: RangeInclusive<u64> = 1..=100_000;
/// Allowed connections per target.
pub const CONNECTIONS: RangeInclusive<u64> = 1..=1_000_000;
/// Allowed worth of one complete answer.
pub const WORTH: RangeInclusive<u64> = 0..=1_000_000;
/// Allowed deadlines, in milliseconds.
pub const DEADLINE_MS: RangeInclusive<u64> = 1..=3_600_000;
/// Allowed objectives, in complete answers per 1000 root requests.
pub const OBJECTIVE_PERMILLE: RangeInclusive<u64> = 1..=1_000;

/// Returns all faults of a document.
pub(crate) fn faults(document: &Document) -> Vec<Fault> {
    let mut faults = Vec::new();
    check_fleet(document, &mut faults);
    for service in &document.services {
        check_service(service, &mut faults);
    }
    graph::check(document, &mut faults);
    faults
}

/// Returns true if a text is a valid name of a service or operation.
///
/// A name is used as one segment of a path: 1 to [`MAX_NAME_BYTES`] ASCII letters, digits, `-`, `_`
/// and `.`, beginning with a letter or digit.
#[must_use]
pub fn is_name(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
    text.len() <= MAX_NAME_BYTES
        && text.bytes().all(allowed)
        && text
            .bytes()
            .next()
            .is_some_and(|b| b.is_ascii_alphanumeric())
}

fn check_fleet(document: &Document, faults: &mut Vec<Fault>) {
    let mut range = |field, value: u16, allowed: RangeInclusive<u64>| {
        if !allowed.contains(&u64::from(value)) {
            let place = Place::Fleet;
            faults.push(Fault::out_of_range(place, field, value.into(), allowed));
        }
    };
    range("retry_budget", document.retry_budget, RETRY_BUDGET);
    range("retry_percent", document.retry_percent, RETRY_PERCENT);
    let operations = document.services.iter().map(|s| s.operations.len()).sum();
    check_key_space("services", document.services.len(), faults);
    check_key_space("operations", operations, faults);
    let names = document.services.iter().map(|s| s.name.as_str());
    check_sorted(&Place::Fleet, "services", names, faults);
}

fn check_key_space(field: &'static str, count: usize, faults: &mut Vec<Fault>) {
    if count > MAX_KEYS {
        faults.push(Fault::new(
            Place::Fleet,
            field,
            format_smolstr!("{count} are too many"),
            format_smolstr!("allowed: at most {MAX_KEYS}"),
        ));
    }
}

fn check_service(service: &Service, faults: &mut Vec<Fault>) {
    let place = Place::Service(service.name.clone());
    check_name(&place, service.name.as_str(), faults);
    let mut range = |field, value: u32, allowed: RangeInclusive<u64>| {
        if !allowed.contains(&u64::from(value)) {
            let place = place.clone();
            faults.push(Fault::out_of_range(place, field, value.into(), allowed));
        }
    };
    range("slots", service.slots, SLOTS);
    range("connections", service.connections, CONNECTIONS);
    let names = service.operations.iter().map(|o| o.name.as_str());
    check_sorted(&place, "operations", names, faults);
    for operation in &service.operations {
        check_operation(service, operation, faults);
    }
}

fn check_operation(service: &Service, operation: &Operation, faults: &mut Vec<Fault>) {
    let place = Place::Operation(service.name.clone(), operation.name.clone());
    check_name(&place, operation.name.as_str(), faults);
    let mut range = |field, value: u32, allowed: RangeInclusive<u64>| {
        if !allowed.contains(&u64::from(value)) {
            let place = place.clone();
            faults.push(Fault::out_of_range(place, field, value.into(), allowed));
        }
    };
    range("worth", operation.worth, WORTH);
    range("deadline_ms", operation.deadline_ms, DEADLINE_MS);
    let objective = u32::from(operation.objective_permille);
    range("objective_permille", objective, OBJECTIVE_PERMILLE);
    let calls = operation.calls.iter().map(String::as_str);
    check_sorted(&place, "calls", calls, faults);
}

fn check_name(place: &Place, name: &str, faults: &mut Vec<Fault>) {
    if !is_name(name) {
        faults.push(Fault::new(
            place.clone(),
            "name",
            format_smolstr!("{name:?} is not a name"),
            format_smolstr!(
                "allowed: 1 to {MAX_NAME_BYTES} ASCII letters, digits, '-', '_' and '.', \
                 beginning with a letter or digit"
            ),
        ));
    }
}

fn check_sorted<'a>(
    place: &Place,
    field: &'static str,
    names: impl Iterator<Item = &'a str>,
    faults: &mut Vec<Fault>,
) {
    let mut seen = HashSet::new();
    let mut previous = "";
    for name in names {
        if !seen.insert(name) {
            let problem = format_smolstr!("{name:?} is there twice");
            faults.push(Fault::new(
                place.clone(),
                field,
                problem,
                "remove one of them",
            ));
        } else if name < previous {
            let problem = format_smolstr!("{name:?} is out of order");
            faults.push(Fault::new(
                place.clone(),
                field,
                problem,
                "sort the list by name",
            ));
        }
        previous = name;
    }
}
