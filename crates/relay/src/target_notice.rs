//! What a target says about itself in the headers of its answers.

use http::{HeaderMap, HeaderValue};

use crate::header_names::HeaderNames;

/// What a target says about itself with each answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct TargetNotice {
    /// Requests per second that the target takes; `None` if it names no limit.
    pub(crate) limit_per_second: Option<f64>,
    /// True if the target is leaving.
    pub(crate) is_leaving: bool,
}

impl TargetNotice {
    /// Reads the headers of an answer. A malformed limit is logged and changes nothing.
    pub(crate) fn read(names: &HeaderNames, headers: &HeaderMap, before: TargetNotice) -> Self {
        let limit = headers.get(&names.rate_limit);
        TargetNotice {
            limit_per_second: limit
                .and_then(|value| parse_limit(value).or(before.limit_per_second)),
            is_leaving: headers
                .get(&names.leaving)
                .is_some_and(|value| value.as_bytes().trim_ascii() == b"1"),
        }
    }
}

fn parse_limit(value: &HeaderValue) -> Option<f64> {
    let limit = value.to_str().ok()?.trim().parse::<f64>().ok();
    let limit = limit.filter(|limit| limit.is_finite() && *limit >= 0.0);
    if limit.is_none() {
        log::debug!(value:?; "malformed limit of a target ignored");
    }
    limit
}
