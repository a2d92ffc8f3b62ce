//! Results of a load, by class and by second.

use std::time::Duration;

use hdrhistogram::Histogram;
use model::Class;

use crate::load::{Arrival, Share};

const LONGEST_LATENCY_US: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// How the requests of one class ended.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Requests that were due.
    pub arrived: u64,
    /// Complete responses within the deadline.
    pub in_time: u64,
    /// Complete responses after the deadline.
    pub late: u64,
    /// Requests whose last response reported them as not run.
    pub not_run: u64,
    /// All other requests: outcome unknown, response incomplete or wrong, or no response.
    pub unknown: u64,
    /// Attempts, retries included.
    pub attempts: u64,
    /// Worth of all requests that were due.
    pub worth_arrived: u64,
    /// Worth of the complete responses within the deadline.
    pub worth_in_time: u64,
    /// Time from when a request was due until its complete response, in microseconds.
    pub latency_us: Histogram<u64>,
}

impl Default for Tally {
    fn default() -> Self {
        let latency_us = Histogram::new_with_bounds(1, LONGEST_LATENCY_US, SIGNIFICANT_DIGITS)
            .expect("the bounds are valid");
        Tally {
            arrived: 0,
            in_time: 0,
            late: 0,
            not_run: 0,
            unknown: 0,
            attempts: 0,
            worth_arrived: 0,
            worth_in_time: 0,
            latency_us,
        }
    }
}

/// Worth of the requests that were due in one second of the schedule.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Second {
    /// Worth of the requests that were due.
    pub worth_arrived: u64,
    /// Worth of those among them with a complete response within the deadline.
    pub worth_in_time: u64,
}

/// One request of the schedule and how it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record {
    /// Number in the schedule, from 0; its token is `{seed}-{number}`.
    pub number: u64,
    /// Index into [`Load::shares`](crate::Load::shares).
    pub share: usize,
    /// When it was due, since the start of the schedule.
    pub due_after: Duration,
    /// Attempts, retries included.
    pub attempts: u16,
    /// True if it got a complete response within the deadline.
    pub in_time: bool,
    /// When its complete response had arrived, since the start of the schedule.
    pub answered_after: Option<Duration>,
}

/// Results of a load.
#[derive(Clone, Debug, Default)]
pub struct Report {
    classes: [Tally; 4],
    /// Every request, in the order in which they ended.
    pub records: Vec<Record>,
    /// One entry for each second of the schedule.
    pub seconds: Vec<Second>,
}

impl Report {
    /// The tally of one class.
    #[must_use]
    pub fn class(&self, class: Class) -> &Tally {
        &self.classes[class.index()]
    }

    pub(crate) fn record(
        &mut self,
        shares: &[Share],
        arrival: &Arrival,
        completed: &CompletedRequest,
    ) {
        let share = &shares[arrival.share];
        let due_after = arrival.due_after;
        let in_time = matches!(
            completed.result,
            RequestResult::Complete(latency) if latency <= share.deadline
        );
        self.records.push(Record {
            number: arrival.number,
            share: arrival.share,
            due_after,
            attempts: completed.attempts,
            in_time,
            answered_after: match completed.result {
                RequestResult::Complete(latency) => Some(due_after + latency),
                RequestResult::NotRun | RequestResult::Unknown => None,
            },
        });
        let worth = u64::from(share.worth);
        let second = usize::try_from(due_after.as_secs()).unwrap_or(usize::MAX);
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, Second::default());
        }
        self.seconds[second].worth_arrived += worth;
        let tally = &mut self.classes[share.class.index()];
        tally.arrived += 1;
        tally.worth_arrived += worth;
        tally.attempts += u64::from(completed.attempts);
        match completed.result {
            RequestResult::Complete(latency) => {
                let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
                tally.latency_us.saturating_record(micros);
                if latency > share.deadline {
                    tally.late += 1;
                    return;
                }
                tally.in_time += 1;
                tally.worth_in_time += worth;
                self.seconds[second].worth_in_time += worth;
            }
            RequestResult::NotRun => tally.not_run += 1,
            RequestResult::Unknown => tally.unknown += 1,
        }
    }
}

pub(crate) enum RequestResult {
    Complete(Duration),
    NotRun,
    Unknown,
}

pub(crate) struct CompletedRequest {
    pub(crate) result: RequestResult,
    pub(crate) attempts: u16,
}
