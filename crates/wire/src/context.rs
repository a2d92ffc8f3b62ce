//! The call context that a daemon propagates to downstream daemons.

use std::time::Duration;

use derive_more::{Display, From, Into};
use http::{HeaderMap, HeaderValue};
use model::{Class, RequestId};

use crate::error::{Error, Kind};
use crate::{header, parse};

/// Identifies one execution of a request at one daemon.
///
/// The target repeats it on the calls that it makes while it handles the request.
#[derive(Clone, Copy, Debug, Display, From, Into, PartialEq, Eq, Hash)]
#[display("{_0:016x}")]
pub struct ExecutionId(u64);

/// Attributes of a root request that every call in its tree inherits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallContext {
    /// Id of the root request.
    pub root: RequestId,
    /// Priority class of the root request.
    pub class: Class,
    /// Worth of a complete answer to the root request, in a unit that the operators choose.
    pub worth: u32,
    /// Number of times that the caller sent the root request before.
    pub attempt: u16,
    /// Time until the deadline.
    pub time_left: Duration,
    /// Retry budget of this call and all calls below it.
    pub retries: u16,
}

impl CallContext {
    /// Writes the context into the headers of a request to another daemon.
    pub fn write(&self, headers: &mut HeaderMap) {
        let millis = u64::try_from(self.time_left.as_millis()).unwrap_or(u64::MAX);
        insert_text(headers, &header::REQUEST_ID, &self.root.to_string());
        insert_text(headers, &header::CLASS, &self.class.to_string());
        headers.insert(header::WORTH, HeaderValue::from(self.worth));
        headers.insert(header::ATTEMPT, HeaderValue::from(self.attempt));
        headers.insert(header::DEADLINE_MS, HeaderValue::from(millis));
        headers.insert(header::RETRIES, HeaderValue::from(self.retries));
    }

    /// Reads the context from the headers of a request from another daemon.
    ///
    /// # Errors
    ///
    /// Returns an error if a header is missing or malformed.
    pub fn read(headers: &HeaderMap) -> Result<Self, Error> {
        let root = required(
            parse::text(headers, &header::REQUEST_ID)?,
            &header::REQUEST_ID,
        )?;
        let class = required(parse::text(headers, &header::CLASS)?, &header::CLASS)?;
        Ok(CallContext {
            root: root
                .parse()
                .map_err(|_| Error::new(&header::REQUEST_ID, Kind::NotARequestId))?,
            class: class
                .parse()
                .map_err(|_| Error::new(&header::CLASS, Kind::NotAClass))?,
            worth: required(parse::number(headers, &header::WORTH)?, &header::WORTH)?,
            attempt: required(parse::attempt(headers)?, &header::ATTEMPT)?,
            time_left: required(parse::time_left(headers)?, &header::DEADLINE_MS)?,
            retries: required(parse::number(headers, &header::RETRIES)?, &header::RETRIES)?,
        })
    }
}

/// Formats the request id that a target receives and repeats on its own calls:
/// `<root id>.<execution id>`.
#[must_use]
pub fn target_request_id(root: RequestId, execution: ExecutionId) -> String {
    format!("{root}.{execution}")
}

/// Parses a request id that a target repeated.
///
/// Returns `None` if it does not have the form that [`target_request_id`] writes.
#[must_use]
pub fn parse_target_request_id(text: &str) -> Option<(RequestId, ExecutionId)> {
    let (root, execution) = text.split_once('.')?;
    if execution.len() != 16 || !execution.bytes().all(|b| b.is_ascii_hexdigit()) {
        return None;
    }
    let execution = u64::from_str_radix(execution, 16).ok()?;
    Some((root.parse().ok()?, ExecutionId(execution)))
}

fn required<T>(value: Option<T>, name: &http::HeaderName) -> Result<T, Error> {
    value.ok_or_else(|| Error::new(name, Kind::Missing))
}

fn insert_text(headers: &mut HeaderMap, name: &http::HeaderName, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name, value);
    }
}
