//! From answers to what callers send and what stand-in targets do.

use std::time::Duration;

use model::Class;
use standin::{Downstream, Plan, ServiceTime, Share};
use survey::{Answers, OperationAnswers, ServiceAnswers};

/// Size of a large transfer, in bytes.
const BULK_ANSWER_BYTES: usize = 64 << 10;

/// Size of any other answer, in bytes.
const ANSWER_BYTES: usize = 512;

/// Part of a service time that never varies, in percent.
const FIXED_PERCENT: u32 = 60;

/// Returns the mix of requests that enter at the stated rates.
pub(crate) fn shares(answers: &Answers) -> Vec<Share> {
    let operations = answers.services.iter().flat_map(|service| {
        let entries = service
            .operations
            .iter()
            .filter(|o| o.entry && o.rate_per_s > 0);
        entries.map(move |operation| share(service, operation))
    });
    operations.collect()
}

/// Returns the stated requests per second of all entries together.
pub(crate) fn rate(answers: &Answers) -> f64 {
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

/// Returns what a stand-in target does for one operation.
pub(crate) fn plan(answers: &Answers, operation: &OperationAnswers) -> Plan {
    let called = |path: &str| find(answers, path);
    let calls = operation.calls.iter().filter_map(|path| called(path));
    let waiting_ms: u32 = calls.clone().map(|(_, callee)| callee.usual_ms).sum();
    let own = millis(operation.usual_ms.saturating_sub(waiting_ms));
    let least = own * FIXED_PERCENT / 100;
    Plan {
        time: ServiceTime {
            min: least,
            mean_tail: own.saturating_sub(least),
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

/// Returns the service that most operations call.
pub(crate) fn most_called(answers: &Answers) -> Option<&ServiceAnswers> {
    let operations = || {
        answers
            .services
            .iter()
            .flat_map(|service| &service.operations)
    };
    let calls = |service: &ServiceAnswers| {
        let calls = operations().flat_map(|operation| &operation.calls);
        let inside = calls.filter_map(|path| path.split_once('/'));
        inside
            .filter(|(name, _)| *name == service.name.as_str())
            .count()
    };
    answers.services.iter().max_by_key(|service| calls(service))
}

fn find<'a>(
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
