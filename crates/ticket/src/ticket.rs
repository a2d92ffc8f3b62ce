//! Tickets and their text form.

use std::str::FromStr;

use derive_more::{Display, Error};
use model::{Incarnation, InstanceId};

use crate::hash::{KeyHash, OperationHash};

/// Longest text that is accepted as a ticket, in bytes.
pub const MAX_TICKET_BYTES: usize = 256;

/// Allows one call to run once, on one incarnation of one instance.
///
/// Its text form is visible ASCII without spaces, so it can be sent in a header unchanged.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash)]
#[display("t1.{incarnation}.{sequence:016x}.{operation}.{key}.{checksum:016x}.{instance}")]
pub struct Ticket {
    pub(crate) instance: InstanceId,
    pub(crate) incarnation: Incarnation,
    pub(crate) sequence: u64,
    pub(crate) operation: OperationHash,
    pub(crate) key: KeyHash,
    pub(crate) checksum: u64,
}

impl Ticket {
    /// Returns the only instance that may run the call.
    #[must_use]
    pub fn instance(&self) -> &InstanceId {
        &self.instance
    }

    /// Returns the only incarnation that may run the call.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the operation that the ticket is for.
    #[must_use]
    pub fn operation(&self) -> OperationHash {
        self.operation
    }

    /// Returns the idempotency key that the ticket is for.
    #[must_use]
    pub fn key(&self) -> KeyHash {
        self.key
    }
}

/// Error for a text that is not a ticket.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("not a ticket; send the text of the berylhead-ticket header unchanged")]
pub struct MalformedTicket;

impl FromStr for Ticket {
    type Err = MalformedTicket;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut fields = Fields::of(text, "t1")?;
        let ticket = Ticket {
            incarnation: fields.hex()?.into(),
            sequence: fields.hex()?,
            operation: fields.hex()?.into(),
            key: fields.wide_hex()?.into(),
            checksum: fields.hex()?,
            instance: fields.rest()?,
        };
        Ok(ticket)
    }
}

/// Parser for the dot-separated fields of a ticket or call number, from left to right.
pub(crate) struct Fields<'a> {
    rest: &'a str,
}

impl<'a> Fields<'a> {
    pub(crate) fn of(text: &'a str, version: &str) -> Result<Self, MalformedTicket> {
        if text.len() > MAX_TICKET_BYTES {
            return Err(MalformedTicket);
        }
        let mut fields = Fields { rest: text };
        if fields.next()? == version {
            Ok(fields)
        } else {
            Err(MalformedTicket)
        }
    }

    fn next(&mut self) -> Result<&'a str, MalformedTicket> {
        let (field, rest) = self.rest.split_once('.').ok_or(MalformedTicket)?;
        self.rest = rest;
        Ok(field)
    }

    /// Parses a field of 16 lowercase hexadecimal digits.
    pub(crate) fn hex(&mut self) -> Result<u64, MalformedTicket> {
        let field = digits(self.next()?, 16)?;
        u64::from_str_radix(field, 16).map_err(|_| MalformedTicket)
    }

    /// Parses a field of 32 lowercase hexadecimal digits.
    fn wide_hex(&mut self) -> Result<u128, MalformedTicket> {
        let field = digits(self.next()?, 32)?;
        u128::from_str_radix(field, 16).map_err(|_| MalformedTicket)
    }

    /// Parses the instance, which is the last field because it may contain dots.
    pub(crate) fn rest(self) -> Result<InstanceId, MalformedTicket> {
        let visible = self.rest.bytes().all(|b| b.is_ascii_graphic());
        if self.rest.is_empty() || !visible {
            return Err(MalformedTicket);
        }
        Ok(InstanceId::from(self.rest))
    }
}

fn digits(field: &str, count: usize) -> Result<&str, MalformedTicket> {
    let lowercase = |b: u8| matches!(b, b'0'..=b'9' | b'a'..=b'f');
    if field.len() == count && field.bytes().all(lowercase) {
        Ok(field)
    } else {
        Err(MalformedTicket)
    }
}
