//! An open-loop load generator: arrivals keep their schedule regardless of the responses,
//! and latency is measured from the time at which a request was due to be sent.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use model::{Class, Outcome};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use smol_str::SmolStr;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::call::Call;
use crate::caller::{CallError, Caller, Reply};
use crate::random::exponential;
use crate::tally::{CompletedRequest, Report, RequestResult};

const DEFAULT_BACKOFF: Duration = Duration::from_millis(100);

/// One operation's share of the arrivals.
#[derive(Clone, Debug)]
pub struct Share {
    /// Service that is called.
    pub service: SmolStr,
    /// Operation that is called.
    pub operation: SmolStr,
    /// Class under which it is counted.
    pub class: Class,
    /// Worth of a complete response within the deadline.
    pub worth: u32,
    /// Relative weight among the shares.
    pub weight: u32,
    /// Time within which the response is useful.
    pub deadline: Duration,
    /// True if requests are sent without an idempotency key.
    pub repeatable: bool,
    /// Size of the requested response body, in bytes.
    pub answer_bytes: usize,
}

/// A period with a constant arrival rate.
#[derive(Clone, Copy, Debug)]
pub struct Phase {
    /// How long it lasts.
    pub length: Duration,
    /// Mean arrivals per second.
    pub rate: f64,
}

/// How callers retry failed requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// Retries only requests that were not run, after the delay that the response gives.
    Polite {
        /// Maximum number of attempts, the first included.
        tries: u16,
    },
    /// Retries every failed request immediately, with the same key.
    RetryHard {
        /// Maximum number of attempts, the first included.
        tries: u16,
    },
}

/// A schedule of arrivals and the behaviour of the callers that send them.
#[derive(Clone, Debug)]
pub struct Load {
    /// Seed of the arrival times and of the choice of operations and entries.
    pub seed: u64,
    /// Addresses of the daemons that receive the requests, chosen at random.
    pub entries: Vec<SocketAddr>,
    /// The mix of operations.
    pub shares: Vec<Share>,
    /// Phases, run one after the other.
    pub phases: Vec<Phase>,
    /// How callers retry failed requests.
    pub retry_policy: RetryPolicy,
}

/// A scheduled request.
pub(crate) struct Arrival {
    pub(crate) share: usize,
    entry: SocketAddr,
    pub(crate) due_after: Duration,
    pub(crate) number: u64,
}

impl Load {
    /// Sends all scheduled requests and waits until the last one has ended.
    ///
    /// # Panics
    ///
    /// If there is no entry, or no share with a weight above zero.
    pub async fn run(self) -> Report {
        let load = Arc::new(self);
        let report = Arc::new(Mutex::new(Report::default()));
        let caller = Caller::new();
        let start = Instant::now();
        let mut requests = JoinSet::new();
        for arrival in load.arrivals() {
            tokio::time::sleep_until(start + arrival.due_after).await;
            let load = Arc::clone(&load);
            let report = Arc::clone(&report);
            let caller = caller.clone();
            requests.spawn(async move {
                let due = start + arrival.due_after;
                let completed = load.send_with_retries(&caller, &arrival, due).await;
                let mut report = report.lock().unwrap_or_else(PoisonError::into_inner);
                report.record(&load.shares, &arrival, &completed);
            });
            while requests.try_join_next().is_some() {}
        }
        requests.join_all().await;
        let report = report.lock().unwrap_or_else(PoisonError::into_inner);
        report.clone()
    }

    /// All arrivals of the schedule, the same for the same seed.
    fn arrivals(&self) -> impl Iterator<Item = Arrival> + use<> {
        let mut rng = SmallRng::seed_from_u64(self.seed);
        let weights: Vec<u32> = self.shares.iter().map(|share| share.weight).collect();
        let entries = self.entries.clone();
        due_times(self.phases.clone(), self.seed)
            .zip(0..)
            .map(move |(due_after, number)| Arrival {
                share: choose_weighted(&weights, &mut rng),
                entry: entries[rng.random_range(0..entries.len())],
                due_after,
                number,
            })
    }

    async fn send_with_retries(
        &self,
        caller: &Caller,
        arrival: &Arrival,
        due: Instant,
    ) -> CompletedRequest {
        let share = &self.shares[arrival.share];
        let mut call = self.first_call(share, arrival);
        let (tries, retry_hard) = match self.retry_policy {
            RetryPolicy::Polite { tries } => (tries, false),
            RetryPolicy::RetryHard { tries } => (tries, true),
        };
        let mut attempt = 0;
        loop {
            attempt += 1;
            let reply = caller.send_with_ticket(arrival.entry, &call).await;
            call.attempt = Some(attempt);
            let result = classify_reply(&call, &reply, due);
            let delay = match (&result, retry_hard) {
                (RequestResult::Complete(_), _) | (RequestResult::Unknown, false) => None,
                (_, true) => Some(Duration::ZERO),
                (RequestResult::NotRun, false) => Some(retry_delay(&reply)),
            };
            let retry_at = delay.map(|delay| Instant::now() + delay);
            let useful = retry_at.filter(|retry_at| *retry_at < due + share.deadline);
            let Some(retry_at) = useful.filter(|_| attempt < tries) else {
                return CompletedRequest {
                    result,
                    attempts: attempt,
                };
            };
            tokio::time::sleep_until(retry_at).await;
        }
    }

    fn first_call(&self, share: &Share, arrival: &Arrival) -> Call {
        let token = format!("{}-{}", self.seed, arrival.number);
        let mut call = Call::new(&share.service, &share.operation, &token);
        call.answer_bytes = share.answer_bytes;
        call.deadline = Some(share.deadline);
        if !share.repeatable {
            call.key = Some(token.into());
        }
        call
    }
}

fn classify_reply(call: &Call, reply: &Result<Reply, CallError>, due: Instant) -> RequestResult {
    let Ok(reply) = reply else {
        return RequestResult::Unknown;
    };
    let is_complete = if call.answer_bytes > 0 {
        reply.answers(call)
    } else {
        reply.status.is_success() && reply.body.is_ok()
    };
    match reply.outcome() {
        Some(Outcome::NotRun) => RequestResult::NotRun,
        _ if is_complete => RequestResult::Complete(due.elapsed()),
        _ => RequestResult::Unknown,
    }
}

fn retry_delay(reply: &Result<Reply, CallError>) -> Duration {
    let delay = reply.as_ref().ok().and_then(Reply::retry_after);
    delay.unwrap_or(DEFAULT_BACKOFF)
}

fn choose_weighted(weights: &[u32], rng: &mut SmallRng) -> usize {
    let mut drawn = rng.random_range(0..weights.iter().sum());
    for (position, weight) in weights.iter().enumerate() {
        if drawn < *weight {
            return position;
        }
        drawn -= weight;
    }
    unreachable!("the draw is below the sum of the weights")
}

/// Poisson arrival times of all phases, since the start of the schedule.
fn due_times(phases: Vec<Phase>, seed: u64) -> impl Iterator<Item = Duration> {
    let mut rng = SmallRng::seed_from_u64(seed.rotate_left(32));
    let mut start = Duration::ZERO;
    phases.into_iter().flat_map(move |phase| {
        let end = start + phase.length;
        let mut due_times = Vec::new();
        let mut due = start;
        let gap = Duration::try_from_secs_f64(1.0 / phase.rate).unwrap_or(phase.length);
        due += exponential(gap, &mut rng);
        while due < end {
            due_times.push(due);
            due += exponential(gap, &mut rng);
        }
        start = end;
        due_times
    })
}
