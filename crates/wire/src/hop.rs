//! Headers that daemons exchange with a forwarded request and its answer.
//!
//! [`Hop`], [`HopEnd`], [`ServiceShare`] and [`ViewStamp`] are written as fields separated by
//! single spaces.

use std::str::FromStr;
use std::time::Duration;

use derive_more::{Display, Error};
use http::HeaderName;
use model::{Class, InstanceId, Outcome, RefusalReason, ServiceName};
use smol_str::SmolStr;

/// Request header that carries a [`Hop`].
pub const HOP: HeaderName = HeaderName::from_static("berylhead-hop");
/// Response header that carries a [`HopEnd`].
pub const HOP_END: HeaderName = HeaderName::from_static("berylhead-hop-end");

/// Response header that lists the services that requests of the route reach, directly or
/// through further calls, separated by spaces; the answering target's own comes first.
pub const DOWNSTREAM_SERVICES: HeaderName = HeaderName::from_static("berylhead-leads");
/// Response header that is present if the route is called by targets rather than by callers
/// from outside.
pub const CALLED_BY_TARGETS: HeaderName = HeaderName::from_static("berylhead-called");
/// Response header with the admission share of the answering target, in thousandths.
pub const TARGET_SHARE: HeaderName = HeaderName::from_static("berylhead-share");
/// Response header that carries [`ServiceShare`]s, separated by commas.
pub const SERVICE_SHARES: HeaderName = HeaderName::from_static("berylhead-shares");

/// Response header with the time that the run of this request took in the target, in microseconds.
pub const RUN_TIME: HeaderName = HeaderName::from_static("berylhead-run-time");

/// Request and response header that carries a [`ViewStamp`].
pub const VIEW: HeaderName = HeaderName::from_static("berylhead-view");

/// Response header with the targets that a request crashed, for which it is held back.
pub const CRASHES: HeaderName = HeaderName::from_static("berylhead-crashes");
/// Request and response header with the digest of all ends of targets that the sender knows of, in
/// hexadecimal; absent if it knows of none.
pub const CRASH_DIGEST: HeaderName = HeaderName::from_static("berylhead-crash-digest");

/// Placeholder for a field without a value.
const NONE: &str = "-";

/// How the daemon beside the target is to handle one forwarded request.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display(
    "{class} {worth} {shed_hash:016x} {attempt} {send_id:016x} {} {target} {route}",
    time_left.as_micros()
)]
pub struct Hop {
    /// Priority class of the root request.
    pub class: Class,
    /// Worth of the request, which ranks it among the requests of its class.
    pub worth: u32,
    /// Hash of the root request id; all hops use it to select the requests that they shed, so that
    /// they select the same ones.
    pub shed_hash: u64,
    /// Number of earlier sends of this request.
    pub attempt: u16,
    /// Random id of this send, used to ask whether it ran when its answer is lost.
    pub send_id: u64,
    /// Time until the deadline.
    pub time_left: Duration,
    /// Id of the chosen target; one with another id, as after a restart, must not run the request.
    pub target: InstanceId,
    /// Name of the matching route.
    pub route: SmolStr,
}

/// Result of one forwarded request, as reported by the daemon beside the target.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display(
    "{outcome} {} {} {} {} {pressure} {life:016x} {}",
    if *reached_target { "target" } else { NONE },
    reason.map_or_else(|| NONE.to_owned(), |reason| reason.to_string()),
    retry_after.as_millis(),
    run_time.as_micros(),
    load.as_deref().unwrap_or(NONE)
)]
pub struct HopEnd {
    /// Outcome of the request.
    pub outcome: Outcome,
    /// True if the target itself refused the request, rather than its daemon.
    pub reached_target: bool,
    /// Reason for the refusal; `None` if the request was not refused.
    pub reason: Option<RefusalReason>,
    /// Time after which another request may be admitted.
    pub retry_after: Duration,
    /// Mean execution time in the target.
    pub run_time: Duration,
    /// Running and queued work in the target, divided by its concurrency, in thousandths.
    pub pressure: u16,
    /// Random id that the daemon chose when it started; after a restart it knows nothing of
    /// earlier requests.
    pub life: u64,
    /// Load of the target in text form.
    pub load: Option<SmolStr>,
}

/// Admission share of one service, as last reported to a daemon.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{service} {share} {}", age.as_millis())]
pub struct ServiceShare {
    /// Name of the service.
    pub service: ServiceName,
    /// Share of the demand for the service that its targets can bear, in thousandths.
    pub share: u16,
    /// Time since a target of the service reported it.
    pub age: Duration,
}

impl FromStr for ServiceShare {
    type Err = MalformedHeader;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut fields = text.trim().splitn(3, ' ');
        let mut next = |field| fields.next().ok_or(MalformedHeader { field });
        Ok(ServiceShare {
            service: next("service")?.into(),
            share: parse_field(next("share")?, "share")?,
            age: Duration::from_millis(parse_field(next("age")?, "age")?),
        })
    }
}

/// Versions of the published states that a daemon holds.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("{table} {targets} {digest:016x} {}", age.as_millis())]
pub struct ViewStamp {
    /// Version of the route table; 0 without one.
    pub table: u64,
    /// Revision of the target list; 0 without one.
    pub targets: u64,
    /// Digest of the target list.
    pub digest: u64,
    /// Time since the target list was read.
    pub age: Duration,
}

impl FromStr for ViewStamp {
    type Err = MalformedHeader;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut fields = text.splitn(4, ' ');
        let mut next = |field| fields.next().ok_or(MalformedHeader { field });
        Ok(ViewStamp {
            table: parse_field(next("table")?, "table")?,
            targets: parse_field(next("targets")?, "targets")?,
            digest: parse_hex(next("digest")?, "digest")?,
            age: Duration::from_millis(parse_field(next("age")?, "age")?),
        })
    }
}

/// The error of parsing a header between daemons; it names the malformed field.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("malformed header between daemons: {field}")]
pub struct MalformedHeader {
    field: &'static str,
}

impl FromStr for Hop {
    type Err = MalformedHeader;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut fields = text.splitn(8, ' ');
        let mut next = |field| fields.next().ok_or(MalformedHeader { field });
        Ok(Hop {
            class: parse_field(next("class")?, "class")?,
            worth: parse_field(next("worth")?, "worth")?,
            shed_hash: parse_hex(next("hash")?, "hash")?,
            attempt: parse_field(next("attempt")?, "attempt")?,
            send_id: parse_hex(next("send")?, "send")?,
            time_left: Duration::from_micros(parse_field(next("time left")?, "time left")?),
            target: next("target")?.into(),
            route: next("route")?.into(),
        })
    }
}

impl FromStr for HopEnd {
    type Err = MalformedHeader;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut fields = text.splitn(8, ' ');
        let mut next = |field| fields.next().ok_or(MalformedHeader { field });
        Ok(HopEnd {
            outcome: Outcome::parse(next("outcome")?)
                .ok_or(MalformedHeader { field: "outcome" })?,
            reached_target: next("reached")? != NONE,
            reason: RefusalReason::parse(next("reason")?),
            retry_after: Duration::from_millis(parse_field(next("retry after")?, "retry after")?),
            run_time: Duration::from_micros(parse_field(next("run time")?, "run time")?),
            pressure: parse_field(next("pressure")?, "pressure")?,
            life: parse_hex(next("life")?, "life")?,
            load: Some(next("load")?)
                .filter(|text| *text != NONE)
                .map(Into::into),
        })
    }
}

fn parse_hex(text: &str, field: &'static str) -> Result<u64, MalformedHeader> {
    u64::from_str_radix(text, 16).map_err(|_| MalformedHeader { field })
}

fn parse_field<T: FromStr>(text: &str, field: &'static str) -> Result<T, MalformedHeader> {
    text.parse().map_err(|_| MalformedHeader { field })
}
