//! The number of a call between daemons and its text form.

use std::str::FromStr;

use derive_more::Display;
use model::{Incarnation, InstanceId};

use crate::ticket::{Fields, MalformedTicket};

/// The number of one call, given by the daemon that sends it.
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

/// Numbers the calls of one incarnation.
#[derive(Clone, Debug)]
pub struct CallNumberGenerator {
    instance: InstanceId,
    incarnation: Incarnation,
    next: u64,
}

impl CallNumberGenerator {
    /// Starts at the first number.
    #[must_use]
    pub fn new(instance: InstanceId, incarnation: Incarnation) -> Self {
        CallNumberGenerator {
            instance,
            incarnation,
            next: 0,
        }
    }

    /// Takes the next number, to be sent once.
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
