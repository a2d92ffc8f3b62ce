//! Bounded parsing of headers; values from callers are untrusted.

use std::str::FromStr;
use std::time::Duration;

use http::{HeaderMap, HeaderName};

use crate::error::{Error, Kind};
use crate::header;

/// Maximum length of a header value, in bytes; a longer one is an error.
pub const MAX_VALUE_BYTES: usize = 512;

/// Maximum time until a deadline or a retry; a longer one is reduced to it.
pub const MAX_DEADLINE: Duration = Duration::from_hours(1);

/// Reads a header as text; `None` if it is absent.
///
/// # Errors
///
/// Returns an error if the header is repeated, longer than [`MAX_VALUE_BYTES`], or not visible
/// ASCII.
pub fn text<'h>(headers: &'h HeaderMap, name: &HeaderName) -> Result<Option<&'h str>, Error> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(Error::new(name, Kind::Repeated));
    }
    if value.len() > MAX_VALUE_BYTES {
        return Err(Error::new(name, Kind::TooLong));
    }
    match value.to_str() {
        Ok(text) => Ok(Some(text)),
        Err(_) => Err(Error::new(name, Kind::NotText)),
    }
}

/// Reads a header as an unsigned decimal number; `None` if it is absent.
///
/// # Errors
///
/// Returns the errors of [`text`], and an error if the value does not consist of digits or is
/// out of range for `N`.
pub fn number<N: FromStr>(headers: &HeaderMap, name: &HeaderName) -> Result<Option<N>, Error> {
    let Some(text) = text(headers, name)? else {
        return Ok(None);
    };
    // `FromStr` accepts a leading sign, but other HTTP implementations may interpret a
    // `content-length` with a sign differently.
    let digits = text.bytes().all(|byte| byte.is_ascii_digit());
    match text.parse() {
        Ok(number) if digits => Ok(Some(number)),
        _ => Err(Error::new(name, Kind::NotANumber)),
    }
}

/// Reads the number of times that the request was sent before.
///
/// # Errors
///
/// Returns the errors of [`number`].
pub fn attempt(headers: &HeaderMap) -> Result<Option<u16>, Error> {
    number(headers, &header::ATTEMPT)
}

/// Reads the time until the deadline, at most [`MAX_DEADLINE`].
///
/// # Errors
///
/// Returns the errors of [`number`].
pub fn time_left(headers: &HeaderMap) -> Result<Option<Duration>, Error> {
    let ms: Option<u64> = number(headers, &header::DEADLINE_MS)?;
    Ok(ms.map(|ms| Duration::from_millis(ms).min(MAX_DEADLINE)))
}

/// Reads the delay before a retry, at most [`MAX_DEADLINE`].
///
/// `retry-after-ms` takes precedence over `retry-after`.
///
/// # Errors
///
/// Returns the errors of [`number`].
pub fn retry_after(headers: &HeaderMap) -> Result<Option<Duration>, Error> {
    if let Some(ms) = number(headers, &header::RETRY_AFTER_MS)? {
        return Ok(Some(Duration::from_millis(ms).min(MAX_DEADLINE)));
    }
    let seconds: Option<u64> = number(headers, &http::header::RETRY_AFTER)?;
    Ok(seconds.map(|s| Duration::from_secs(s).min(MAX_DEADLINE)))
}
