//! Derives the mix of requests and the plans of stand-in targets from questionnaire answers.

use std::time::Duration;

use model::Class;
use standin::{Downstream, Plan, ServiceTime, Share};
use survey::{Answers, OperationAnswers, ServiceAnswers};

/// Size of the answer to a bulk request, which is a large transfer.
const BULK_ANSWER_BYTES: usize = 64 << 10;

/// Size of any other answer.
const ANSWER_BYTES: usize = 512;

/// Fixed part of a service time, in percent. The rest is its random tail.
const FIXED_TIME_PERCENT: u32 = 60;

/// Returns a share of the mix for each entry operation that states a rate.
pub(crate) fn shares(answers: &Answers) -> Vec<Share> {
    let operations = answers.services.iter().flat_map(|service| {
        let entries = service
            .operations
            .iter()
            .filter(|operation| operation.entry && operation.rate_per_s > 0);
        entries.map(move |operation| share(service, operation))
    });
    operations.collect()
}

/// Returns the total rate of all entry operations, in requests per second.
pub(crate) fn total_rate(answers: &Answers) -> f64 {
    shares(answers)
        .iter()
        .map(|share| f64::from(share.weight))
        .sum()
}

fn share(service: &ServiceAnswers, operation: &OperationAnswers) -> Share {
    Share {
        service: service.name.as_str().into(),
        operation: operation.name.as_str().into(),
        class: operation.class,
        worth: operation.worth,
        weight: operation.rate_per_s,
        deadline: millis(operation.deadline_ms),
        repeatable: operation.repeatable,
        answer_bytes: answer_bytes(operation.class),
    }
}

/// Returns the service time, answer size and downstream calls of an operation at a stand-in target.
///
/// The time that the downstream calls usually take is not part of its own service time.
pub(crate) fn plan(answers: &Answers, operation: &OperationAnswers) -> Plan {
    let callee = |path: &str| find_operation(answers, path);
    let calls = operation.calls.iter().filter_map(|path| callee(path));
    let downstream_ms: u32 = calls.clone().map(|(_, callee)| callee.usual_ms).sum();
    let own_time = millis(operation.usual_ms.saturating_sub(downstream_ms));
    let least = own_time * FIXED_TIME_PERCENT / 100;
    Plan {
        time: ServiceTime {
            min: least,
            mean_tail: own_time.saturating_sub(least),
        },
        answer_bytes: answer_bytes(operation.class),
        calls: calls
            .map(|(service, callee)| Downstream {
                service: service.name.as_str().into(),
                operation: callee.name.as_str().into(),
                answer_bytes: ANSWER_BYTES,
                repeatable: callee.repeatable,
            })
            .collect(),
    }
}

/// Returns the service that operations call most often; their rates don't count.
pub(crate) fn most_called(answers: &Answers) -> Option<&ServiceAnswers> {
    let operations = || {
        answers
            .services
            .iter()
            .flat_map(|service| &service.operations)
    };
    let calls = |service: &ServiceAnswers| {
        let calls = operations().flat_map(|operation| &operation.calls);
        let callees = calls.filter_map(|path| path.split_once('/'));
        callees
            .filter(|(name, _)| *name == service.name.as_str())
            .count()
    };
    answers.services.iter().max_by_key(|service| calls(service))
}

/// Looks up an operation by its path, `service/operation`.
fn find_operation<'a>(
    answers: &'a Answers,
    path: &str,
) -> Option<(&'a ServiceAnswers, &'a OperationAnswers)> {
    let (service, operation) = path.split_once('/')?;
    let service = answers
        .services
        .iter()
        .find(|s| s.name.as_str() == service)?;
    let mut operations = service.operations.iter();
    let operation = operations.find(|o| o.name.as_str() == operation)?;
    Some((service, operation))
}

fn answer_bytes(class: Class) -> usize {
    match class {
        Class::Bulk => BULK_ANSWER_BYTES,
        _ => ANSWER_BYTES,
    }
}

fn millis(ms: u32) -> Duration {
    Duration::from_millis(ms.into())
}
