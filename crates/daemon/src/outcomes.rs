//! How requests of callers ended: the memory that the service-level report reads.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http::StatusCode;
use model::{Class, Outcome, RefusalReason};
use report::{Ending, History, HistoryExport, Series};
use wire::parse;

use crate::claim::locked;
use crate::inbound::Inbound;
use crate::reply::Answer;
use crate::serve;

/// Requests of one class since the start.
#[derive(Clone, Copy, Debug, Default)]
struct ClassCounts {
    answered: u64,
    shed: u64,
}

/// Counts of one daemon, kept in memory only.
#[derive(Debug)]
pub(crate) struct Outcomes {
    history: Mutex<History>,
    classes: Mutex<[ClassCounts; Class::ALL.len()]>,
}

/// What has to be known about a request when it has ended.
#[derive(Debug)]
pub(crate) struct Promise {
    series: Series,
    worth: u32,
    deadline: Instant,
}

impl Promise {
    /// What a caller may expect of its request.
    pub(crate) fn new(req: &Inbound, now: Instant) -> Self {
        let operation = req.operation();
        let allowed = Duration::from_millis(u64::from(operation.deadline_ms));
        let asked = parse::time_left(&req.headers).ok().flatten();
        Promise {
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

    /// Counts a request of a caller: at once, or when its answer has been sent.
    pub(crate) fn track(self: &Arc<Self>, promise: Promise, answer: &mut Answer) {
        match serve::outcome(answer) {
            Some(Outcome::NotRun) => self.not_run(&promise, serve::refusal_reason(answer)),
            Some(Outcome::Answered) => {
                let outcomes = Arc::clone(self);
                let status = answer.status();
                answer.body_mut().watch_end(Box::new(move |whole| {
                    outcomes.answered(&promise, status, whole);
                }));
            }
            Some(Outcome::Unknown) | None => self.record(&promise, Ending::Unknown),
        }
    }

    /// Requests answered, by class.
    pub(crate) fn answered_by_class(&self) -> BTreeMap<String, u64> {
        self.by_class(|counts| counts.answered)
    }

    /// Requests shed, by class.
    pub(crate) fn shed_by_class(&self) -> BTreeMap<String, u64> {
        self.by_class(|counts| counts.shed)
    }

    /// Everything that is remembered.
    pub(crate) fn export(&self, now: Instant) -> HistoryExport {
        locked(&self.history).export(now)
    }

    /// A request that is to be corrected, or that still needs its ticket, has not ended.
    fn not_run(&self, promise: &Promise, reason: Option<RefusalReason>) {
        use RefusalReason::{Invalid, TicketRequired};
        if !matches!(reason, Some(Invalid | TicketRequired)) {
            locked(&self.classes)[promise.series.class.index()].shed += 1;
            self.record(promise, Ending::NotRun);
        }
    }

    fn answered(&self, promise: &Promise, status: StatusCode, whole: bool) {
        locked(&self.classes)[promise.series.class.index()].answered += 1;
        let in_time = Instant::now() <= promise.deadline;
        let failed = status.is_server_error() || status == StatusCode::FAILED_DEPENDENCY;
        let ending = if whole && in_time && !failed {
            Ending::InTime
        } else {
            Ending::Late
        };
        self.record(promise, ending);
    }

    fn record(&self, promise: &Promise, ending: Ending) {
        let mut history = locked(&self.history);
        let key = history.register(promise.series.clone());
        history.record(key, promise.worth, ending, Instant::now());
    }

    fn by_class(&self, count: impl Fn(&ClassCounts) -> u64) -> BTreeMap<String, u64> {
        let classes = locked(&self.classes);
        let counts = Class::ALL.iter().zip(classes.iter());
        counts
            .map(|(class, counts)| (class.to_string(), count(counts)))
            .collect()
    }
}
