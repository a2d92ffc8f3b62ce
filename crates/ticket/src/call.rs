//! The number of a call between daemons and its text form.

use std::str::FromStr;

use derive_more::Display;
use model::{Incarnation, InstanceId};

use crate::ticket::{Fields, MalformedTicket};

/// Number of one call, assigned by the daemon that sends it.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash)]
#[display("c1.{incarnation}.{sequence:016x}.{instance}")]
pub struct CallNumber {
    instance: InstanceId,
    incarnation: Incarnation,
    sequence: u64,
}

impl CallNumber {
    /// Returns the instance whose daemon sends the call.
    #[must_use]
    pub fn instance(&self) -> &InstanceId {
        &self.instance
    }

    /// Returns the incarnation that sends the call.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    pub(crate) fn sequence(&self) -> u64 {
        self.sequence
    }
}

impl FromStr for CallNumber {
    type Err = MalformedTicket;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut fields = Fields::of(text, "c1")?;
        Ok(CallNumber {
            incarnation: fields.hex()?.into(),
            sequence: fields.hex()?,
            instance: fields.rest()?,
        })
    }
}

/// Assigns numbers to the calls of one incarnation.
#[derive(Clone, Debug)]
pub struct CallNumberGenerator {
    instance: InstanceId,
    incarnation: Incarnation,
    next: u64,
}

impl CallNumberGenerator {
    /// Creates a generator that starts at number 0.
    #[must_use]
    pub fn new(instance: InstanceId, incarnation: Incarnation) -> Self {
        CallNumberGenerator {
            instance,
            incarnation,
            next: 0,
        }
    }

    /// Returns the next number, which must be sent only once.
    pub fn next_number(&mut self) -> CallNumber {
        let sequence = self.next;
        self.next += 1;
        CallNumber {
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            sequence,
        }
    }
}
