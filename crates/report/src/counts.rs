//! Counts requests by how they ended, and sums up their worth.

use std::ops::AddAssign;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// How a root request ended, as seen by its caller.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Ending {
    /// The complete answer arrived within the deadline.
    #[display("in time")]
    InTime,
    /// The answer arrived after the deadline, was incomplete, or was an error that the
    /// caller did not cause.
    #[display("late")]
    Late,
    /// The request was not run.
    #[display("not run")]
    NotRun,
    /// It is not known whether the request was run.
    #[display("unknown")]
    Unknown,
}

/// Numbers of root requests by [`Ending`], and their worth.
///
/// The worth of a request is the worth of its complete answer, which is configured for each
/// operation in a unit that the operators choose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Counts {
    /// Complete answers within the deadline.
    pub in_time: u64,
    /// Answers after the deadline, incomplete answers and errors that the caller did not
    /// cause.
    pub late: u64,
    /// Requests that were not run.
    pub not_run: u64,
    /// Requests for which it is not known whether they were run.
    pub unknown: u64,
    /// Worth of all requests.
    pub worth_offered: u64,
    /// Worth of the requests that were answered in time.
    pub worth_in_time: u64,
}

impl Counts {
    /// Counts one request of the given worth.
    pub fn record(&mut self, worth: u32, ending: Ending) {
        let worth = u64::from(worth);
        self.worth_offered += worth;
        match ending {
            Ending::InTime => {
                self.in_time += 1;
                self.worth_in_time += worth;
            }
            Ending::Late => self.late += 1,
            Ending::NotRun => self.not_run += 1,
            Ending::Unknown => self.unknown += 1,
        }
    }

    /// Returns the number of all requests.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.in_time.saturating_add(self.failed())
    }

    /// Returns the number of requests without a complete answer within the deadline.
    #[must_use]
    pub fn failed(&self) -> u64 {
        self.late
            .saturating_add(self.not_run)
            .saturating_add(self.unknown)
    }

    /// Returns the share of the offered worth that was answered in time, from 0 to 1.
    ///
    /// `None` if the offered worth is 0.
    #[must_use]
    pub fn goodput_share(&self) -> Option<f64> {
        ratio(self.worth_in_time, self.worth_offered)
    }
}

impl AddAssign for Counts {
    /// Adds with saturation, as counts read from other processes can have any value.
    fn add_assign(&mut self, other: Self) {
        let add = |sum: &mut u64, more: u64| *sum = sum.saturating_add(more);
        add(&mut self.in_time, other.in_time);
        add(&mut self.late, other.late);
        add(&mut self.not_run, other.not_run);
        add(&mut self.unknown, other.unknown);
        add(&mut self.worth_offered, other.worth_offered);
        add(&mut self.worth_in_time, other.worth_in_time);
    }
}

/// Divides two counts; `None` if the divisor is 0.
#[expect(
    clippy::cast_precision_loss,
    reason = "counts beyond 2^53 are not reached, and a report rounds anyway"
)]
pub(crate) fn ratio(part: u64, whole: u64) -> Option<f64> {
    (whole > 0).then(|| part as f64 / whole as f64)
}
