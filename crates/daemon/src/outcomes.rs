//! Outcomes of callers' requests, as input to the service-level report.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http::StatusCode;
use model::{Class, Outcome, RefusalReason};
use report::{Ending, History, HistoryExport, Series};
use wire::parse;

use crate::claim::lock;
use crate::inbound::InboundRequest;
use crate::reply::Answer;
use crate::serve;

/// Numbers of requests of one class since the start.
#[derive(Clone, Copy, Debug, Default)]
struct ClassCounts {
    answered: u64,
    shed: u64,
}

/// Outcomes counted by one daemon, in memory only.
#[derive(Debug)]
pub(crate) struct Outcomes {
    history: Mutex<History>,
    classes: Mutex<[ClassCounts; Class::ALL.len()]>,
}

/// A request whose outcome is to be counted.
#[derive(Debug)]
pub(crate) struct TrackedRequest {
    series: Series,
    worth: u32,
    deadline: Instant,
}

impl TrackedRequest {
    /// Starts to track a request of a caller.
    pub(crate) fn new(req: &InboundRequest, now: Instant) -> Self {
        let operation = req.operation();
        let allowed = Duration::from_millis(u64::from(operation.deadline_ms));
        let asked = parse::time_left(&req.headers).ok().flatten();
        TrackedRequest {
            series: Series {
                class: operation.class,
                service: req.service().name.clone(),
                operation: operation.name.clone(),
                objective_permille: operation.objective_permille,
            },
            worth: operation.worth,
            deadline: now + asked.unwrap_or(allowed).min(allowed),
        }
    }
}

impl Outcomes {
    pub(crate) fn new(now: Instant) -> Self {
        Outcomes {
            history: History::new(now).into(),
            classes: Mutex::default(),
        }
    }

    /// Counts a request of a caller: at once, or, if it was answered, when the answer has
    /// been sent.
    pub(crate) fn track(self: &Arc<Self>, tracked: TrackedRequest, answer: &mut Answer) {
        match serve::outcome(answer) {
            Some(Outcome::NotRun) => self.not_run(&tracked, serve::refusal_reason(answer)),
            Some(Outcome::Answered) => {
                let outcomes = Arc::clone(self);
                let status = answer.status();
                answer.body_mut().set_on_sent(Box::new(move |complete| {
                    outcomes.answered(&tracked, status, complete);
                }));
            }
            Some(Outcome::Unknown) | None => self.record(&tracked, Ending::Unknown),
        }
    }

    /// Number of requests answered, by class.
    pub(crate) fn answered_by_class(&self) -> BTreeMap<String, u64> {
        self.by_class(|counts| counts.answered)
    }

    /// Number of requests shed, by class.
    pub(crate) fn shed_by_class(&self) -> BTreeMap<String, u64> {
        self.by_class(|counts| counts.shed)
    }

    /// Exports the history.
    pub(crate) fn export(&self, now: Instant) -> HistoryExport {
        lock(&self.history).export(now)
    }

    /// Counts a request that was not run. Invalid requests and those that still need a ticket
    /// are not counted, as the caller is to send them again.
    fn not_run(&self, tracked: &TrackedRequest, reason: Option<RefusalReason>) {
        use RefusalReason::{Invalid, TicketRequired};
        if !matches!(reason, Some(Invalid | TicketRequired)) {
            lock(&self.classes)[tracked.series.class.index()].shed += 1;
            self.record(tracked, Ending::NotRun);
        }
    }

    fn answered(&self, tracked: &TrackedRequest, status: StatusCode, complete: bool) {
        lock(&self.classes)[tracked.series.class.index()].answered += 1;
        let in_time = Instant::now() <= tracked.deadline;
        let failed = status.is_server_error() || status == StatusCode::FAILED_DEPENDENCY;
        let ending = if complete && in_time && !failed {
            Ending::InTime
        } else {
            Ending::Late
        };
        self.record(tracked, ending);
    }

    fn record(&self, tracked: &TrackedRequest, ending: Ending) {
        let mut history = lock(&self.history);
        let key = history.register(tracked.series.clone());
        history.record(key, tracked.worth, ending, Instant::now());
    }

    fn by_class(&self, count: impl Fn(&ClassCounts) -> u64) -> BTreeMap<String, u64> {
        let classes = lock(&self.classes);
        let counts = Class::ALL.iter().zip(classes.iter());
        counts
            .map(|(class, counts)| (class.to_string(), count(counts)))
            .collect()
    }
}
