//! Describes in words the effect of replacing published answers by new ones.

use model::{Class, Goal};
use smol_str::SmolStr;

use crate::answers::{Answers, FleetAnswers, OperationAnswers, ServiceAnswers, comma_separated};
use crate::value::format_percent;

/// Describes the effect of replacing the `old` answers by the `new` ones, one line per change.
///
/// Changes of answers that only the capacity checks use are listed as well, with a note that they
/// have no effect on the running fleet.
#[must_use]
pub fn diff(old: &Answers, new: &Answers) -> Vec<String> {
    let mut lines = Vec::new();
    diff_fleet(&old.fleet, &new.fleet, &mut lines);
    for (before, after) in pair_by_name(&old.services, &new.services, |s| s.name.as_str()) {
        match (before, after) {
            (Some(before), Some(after)) => diff_service(before, after, &mut lines),
            (Some(before), None) => lines.push(format!(
                "{}: the service goes; calls to it are answered not-run, invalid",
                before.name
            )),
            (None, Some(after)) => lines.push(format!(
                "{}: a new service with {} operations and {} slots a target",
                after.name,
                after.operations.len(),
                after.slots
            )),
            (None, None) => {}
        }
    }
    lines
}

/// Pairs the items of two lists by name, in the order of the names.
///
/// An item that only one list holds is paired with `None`.
fn pair_by_name<'a, T>(
    old: &'a [T],
    new: &'a [T],
    name: impl Fn(&T) -> &str,
) -> Vec<(Option<&'a T>, Option<&'a T>)> {
    let mut names: Vec<&str> = old.iter().chain(new).map(&name).collect();
    names.sort_unstable();
    names.dedup();
    let find = |list: &'a [T], wanted: &str| list.iter().find(|item| name(item) == wanted);
    names
        .into_iter()
        .map(|wanted| (find(old, wanted), find(new, wanted)))
        .collect()
}

fn diff_fleet(old: &FleetAnswers, new: &FleetAnswers, lines: &mut Vec<String>) {
    if old.goal != new.goal {
        lines.push(match new.goal {
            Goal::Goodput => "fleet: within a class, requests worth most per slot time now run \
                              first; an overload may end later"
                .into(),
            Goal::Recovery => "fleet: within a class, requests that are sure to finish in time \
                               now run first; an overload ends sooner"
                .into(),
        });
    }
    if old.retry_budget != new.retry_budget {
        lines.push(format!(
            "fleet: one request may now cost {} retries over its whole chain instead of {}",
            new.retry_budget, old.retry_budget
        ));
    }
    if old.retry_percent != new.retry_percent {
        lines.push(format!(
            "fleet: retries between two services are now at most {} per hundred first tries \
             instead of {}",
            new.retry_percent, old.retry_percent
        ));
    }
    if old.data_centres != new.data_centres {
        lines.push(format!(
            "fleet: capacity is now checked for the data centres {}; nothing changes in force",
            comma_separated(&new.data_centres)
        ));
    }
    if old.name != new.name {
        lines.push(format!("fleet: reports now name it {}", new.name));
    }
}

fn diff_service(old: &ServiceAnswers, new: &ServiceAnswers, lines: &mut Vec<String>) {
    let name = &new.name;
    if old.slots != new.slots {
        lines.push(format!(
            "{name}: each target now runs up to {} requests at a time instead of {}",
            new.slots, old.slots
        ));
    }
    if old.connections != new.connections {
        lines.push(format!(
            "{name}: the daemon now opens at most {} connections to its target instead of {}",
            new.connections, old.connections
        ));
    }
    if old.refusal_means_not_run != new.refusal_means_not_run {
        lines.push(if new.refusal_means_not_run {
            format!("{name}: status 503 of a target now means not-run and may be sent again")
        } else {
            format!("{name}: status 503 of a target now means unknown")
        });
    }
    if old.targets_per_data_centre != new.targets_per_data_centre {
        lines.push(format!(
            "{name}: capacity is now checked for {} targets a data centre instead of {}; \
             nothing changes in force",
            new.targets_per_data_centre, old.targets_per_data_centre
        ));
    }
    for (before, after) in pair_by_name(&old.operations, &new.operations, |o| o.name.as_str()) {
        match (before, after) {
            (Some(before), Some(after)) => diff_operation(name.as_str(), before, after, lines),
            (Some(before), None) => lines.push(format!(
                "{name}/{}: the operation goes; calls to it are answered not-run, invalid",
                before.name
            )),
            (None, Some(after)) => lines.push(format!(
                "{name}/{}: a new operation of class {}, {}",
                after.name,
                after.class,
                describe_repeatability(after)
            )),
            (None, None) => {}
        }
    }
}

fn diff_operation(
    service: &str,
    old: &OperationAnswers,
    new: &OperationAnswers,
    lines: &mut Vec<String>,
) {
    let mut push = |text: String| lines.push(format!("{service}/{}: {text}", new.name));
    if old.class != new.class {
        push(describe_class_change(old.class, new.class));
    }
    if old.worth != new.worth {
        push(format!(
            "one whole answer now counts {} instead of {}",
            new.worth, old.worth
        ));
    }
    if old.repeatable != new.repeatable {
        push(format!("now {}", describe_repeatability(new)));
    }
    if old.entry != new.entry {
        push(if new.entry {
            "callers outside the fleet may now call it".into()
        } else {
            "callers outside the fleet are now refused".into()
        });
    }
    if old.deadline_ms != new.deadline_ms {
        push(format!(
            "an answer is now of use for {} ms instead of {} ms; later work is dropped",
            new.deadline_ms, old.deadline_ms
        ));
    }
    if old.objective_permille != new.objective_permille {
        push(format!(
            "the report now promises {} percent instead of {}",
            format_percent(new.objective_permille),
            format_percent(old.objective_permille)
        ));
    }
    if (old.usual_ms, old.rate_per_s) != (new.usual_ms, new.rate_per_s) {
        push(format!(
            "capacity is now checked for {} requests a second of {} ms; nothing changes in force",
            new.rate_per_s, new.usual_ms
        ));
    }
    for call in added(&old.calls, &new.calls) {
        push(format!("may now call {call}"));
    }
    for call in added(&new.calls, &old.calls) {
        push(format!("calls to {call} are now refused"));
    }
}

/// Returns the calls in `new` that are not in `old`.
fn added<'a>(old: &'a [SmolStr], new: &'a [SmolStr]) -> impl Iterator<Item = &'a SmolStr> {
    new.iter().filter(|call| !old.contains(call))
}

fn describe_class_change(old: Class, new: Class) -> String {
    let timing = if new < old { "sooner" } else { "later" };
    format!("requests that enter here are now shed {timing}: class {new} instead of {old}")
}

fn describe_repeatability(operation: &OperationAnswers) -> &'static str {
    match (operation.repeatable, operation.entry) {
        (true, _) => "repeatable: it may be retried and needs no ticket",
        (false, true) => {
            "run at most once: callers need an idempotency key and a ticket, and an unknown \
             outcome is never sent again"
        }
        (false, false) => "run at most once: an unknown outcome is never sent again",
    }
}
