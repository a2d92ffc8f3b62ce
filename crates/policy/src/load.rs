//! Load that a daemon reports to others.

use std::str::FromStr;
use std::time::Duration;

use derive_more::{Display, Error};
use model::Class;

/// Load of one daemon, sent with its answers to other daemons.
///
/// Its text form is `in_flight,limit,queued,queue_delay_us,floor`.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("{in_flight},{limit},{queued},{},{floor}", queue_delay.as_micros())]
pub struct Load {
    /// Calls running in the target.
    pub in_flight: u32,
    /// Concurrency limit: calls that may run at the same time.
    pub limit: u32,
    /// Calls waiting in the queue.
    pub queued: u32,
    /// Time in which the queued calls are expected to start.
    pub queue_delay: Duration,
    /// Least important class that is currently admitted.
    pub floor: Class,
}

impl Load {
    /// Slots that are neither occupied nor needed for queued calls.
    #[must_use]
    pub fn free(&self) -> u32 {
        let taken = self.in_flight.saturating_add(self.queued);
        self.limit.saturating_sub(taken)
    }
}

/// Error of parsing a text that is not a load.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("not a load; expected in_flight,limit,queued,queue_delay_us,floor")]
pub struct MalformedLoad;

impl FromStr for Load {
    type Err = MalformedLoad;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut fields = text.split(',');
        let load = Load {
            in_flight: field(fields.next())?,
            limit: field(fields.next())?,
            queued: field(fields.next())?,
            queue_delay: Duration::from_micros(field(fields.next())?),
            floor: field(fields.next())?,
        };
        match fields.next() {
            None => Ok(load),
            Some(_) => Err(MalformedLoad),
        }
    }
}

fn field<T: FromStr>(text: Option<&str>) -> Result<T, MalformedLoad> {
    text.and_then(|text| text.parse().ok()).ok_or(MalformedLoad)
}
