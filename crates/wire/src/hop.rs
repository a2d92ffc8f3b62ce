//! What daemons tell each other about one forwarded request and its answer.

use std::str::FromStr;
use std::time::Duration;

use derive_more::{Display, Error};
use http::HeaderName;
use model::{Class, InstanceId, Outcome, RefusalReason, ServiceName};
use smol_str::SmolStr;

/// Carries a [`Hop`] on a request between daemons.
pub const HOP: HeaderName = HeaderName::from_static("berylhead-hop");
/// Carries a [`HopEnd`] on its answer.
pub const HOP_END: HeaderName = HeaderName::from_static("berylhead-hop-end");

/// Tells on an answer which services requests of the route lead to.
pub const DOWNSTREAM_SERVICES: HeaderName = HeaderName::from_static("berylhead-leads");
/// Present on an answer if targets call the route, rather than callers from outside.
pub const CALLED_BY_TARGETS: HeaderName = HeaderName::from_static("berylhead-called");
/// Carries [`ServicePressure`]s on an answer, separated by commas.
pub const PRESSURES: HeaderName = HeaderName::from_static("berylhead-pressures");

/// Carries a [`ViewStamp`] on requests and answers.
pub const VIEW: HeaderName = HeaderName::from_static("berylhead-view");

/// Stands for a field without a value.
const NONE: &str = "-";

/// How one forwarded request is to be handled beside its target.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display(
    "{class} {worth} {shed_hash:016x} {attempt} {send_id:016x} {} {target} {route}",
    time_left.as_micros()
)]
pub struct Hop {
    /// Importance of the root request.
    pub class: Class,
    /// Rank among the requests of one class.
    pub worth: u32,
    /// Hash of the root request, by which all hops choose the same victims.
    pub shed_hash: u64,
    /// Number of earlier sends of this request.
    pub attempt: u16,
    /// Drawn at random for each send, to ask for its fate when its answer is lost.
    pub send_id: u64,
    /// Time until the answer is of no more use.
    pub time_left: Duration,
    /// The target that was chosen; another life of it must not run the request.
    pub target: InstanceId,
    /// The route by which it came.
    pub route: SmolStr,
}

/// How one forwarded request ended beside its target.
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
    /// How it ended.
    pub outcome: Outcome,
    /// True if it was the target that refused it.
    pub reached_target: bool,
    /// Why it was refused.
    pub reason: Option<RefusalReason>,
    /// When another one may be admitted.
    pub retry_after: Duration,
    /// Mean time of a run in the target.
    pub run_time: Duration,
    /// Work in the target over what it can run at once, in thousandths.
    pub pressure: u16,
    /// Drawn at random by the daemon when it started: another life has no memory of this one.
    pub life: u64,
    /// Load beside the target, as text.
    pub load: Option<SmolStr>,
}

/// The pressure of one service, as a daemon has heard it.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{service} {pressure} {}", age.as_millis())]
pub struct ServicePressure {
    /// The service.
    pub service: ServiceName,
    /// Work in its targets over what they can run at once, in thousandths.
    pub pressure: u16,
    /// How long ago a target of the service said so.
    pub age: Duration,
}

impl FromStr for ServicePressure {
    type Err = MalformedHeader;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut fields = text.trim().splitn(3, ' ');
        let mut next = |field| fields.next().ok_or(MalformedHeader { field });
        Ok(ServicePressure {
            service: next("service")?.into(),
            pressure: parse_field(next("pressure")?, "pressure")?,
            age: Duration::from_millis(parse_field(next("age")?, "age")?),
        })
    }
}

/// What a daemon knows of the published states.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("{table} {targets} {digest:016x} {}", age.as_millis())]
pub struct ViewStamp {
    /// Version of its configuration; 0 without one.
    pub table: u64,
    /// Revision at which it knows the list of targets; 0 without one.
    pub targets: u64,
    /// Digest of that list.
    pub digest: u64,
    /// Time since that list was read.
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

/// A header between daemons that can't be read.
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
