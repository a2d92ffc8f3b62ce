//! Parsing and classification of a request that originates on this machine.

use std::time::Duration;

use http::request::Parts;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use model::Class;
use policy::{MatchedRun, Run};
use routes::{Route, RouteTable};
use smol_str::SmolStr;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::relay::{Relay, class_of_priority};

/// A request that originates on this machine, with its route, deadline and origin.
///
/// It is either a call, which a run of the local target makes, or a root request, which an
/// external caller makes.
pub(crate) struct OriginRequest {
    pub(crate) id: HeaderValue,
    pub(crate) route: Route,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
    pub(crate) shed_hash: u64,
    /// The run that made the request, if it is a call of the local target and the run was
    /// found.
    pub(crate) parent: Option<Run>,
    /// True for a call of the local target, even if its run was not found.
    pub(crate) is_call: bool,
    /// True for a root request that its caller retries after a refusal, which is inferred from its
    /// shortened time left.
    pub(crate) is_retry: bool,
}

impl OriginRequest {
    /// Parses the head of a request and infers whether a run of the local target made it.
    ///
    /// # Errors
    ///
    /// Returns the response status for a request that can't be forwarded.
    pub(crate) fn read(
        relay: &Relay,
        table: &RouteTable,
        head: &Parts,
        now: Instant,
    ) -> Result<Self, StatusCode> {
        let host = host(head).ok_or(StatusCode::BAD_REQUEST)?;
        let key = table
            .find(host, head.uri.path())
            .ok_or(StatusCode::NOT_FOUND)?;
        let route = table.route(key).clone();
        let id = head
            .headers
            .get(&relay.names.request_id)
            .ok_or(StatusCode::BAD_REQUEST)?;
        if content_length(&head.headers).is_some_and(|length| length > table.limits().body_bytes) {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        let time_left = parse_time_left(&head.headers, &relay.names.time_left_ms);
        let deadline = time_left.map(|left| (now + left).into_std());
        let runs = relay.runs.borrow();
        let certain_parent = deadline.and_then(|deadline| runs.certain_parent(deadline));
        let matched = MatchedRun {
            route: certain_parent.and_then(|run| relay.admission.route(run.operation)),
            by_chance: deadline.map_or(0.0, |deadline| runs.chance_match(deadline)),
        };
        let candidates = || -> Vec<SmolStr> {
            let operations = deadline.map_or_else(Vec::new, |deadline| {
                runs.possible_parent_operations(deadline)
            });
            let routes = operations.into_iter().map(|key| relay.admission.route(key));
            routes.flatten().collect()
        };
        let mut dependencies = relay.dependencies.borrow_mut();
        let kind = dependencies.classify_request(&route.name, time_left, &matched, candidates);
        let likely_parent = || runs.likely_parent(deadline?, !kind.is_shortened);
        let parent = if kind.is_call {
            certain_parent.or_else(likely_parent)
        } else {
            None
        };
        let left = time_left.map_or(route.timeout, |left| left.min(route.timeout));
        let shed_hash = parent.map_or_else(|| xxh3_64(id.as_bytes()), |run| run.shed_hash);
        Ok(OriginRequest {
            id: id.clone(),
            route,
            arrived: now,
            deadline: now + left,
            shed_hash,
            parent,
            is_call: kind.is_call,
            is_retry: kind.is_shortened && !kind.is_call,
        })
    }
}

impl OriginRequest {
    /// Class of the run that made the request, or else of its route.
    pub(crate) fn class(&self) -> Class {
        let route_class = class_of_priority(self.route.priority);
        self.parent.map_or(route_class, |run| run.class)
    }
}

/// Returns the host of the request; `None` unless it has exactly one, non-empty `Host` header.
/// The host of an absolute request URI takes precedence over that of the header.
fn host(head: &Parts) -> Option<&str> {
    let mut values = head.headers.get_all(header::HOST).iter();
    let host = values.next()?.to_str().ok()?;
    if values.next().is_some() || host.is_empty() {
        return None;
    }
    Some(head.uri.host().unwrap_or(host))
}

fn content_length(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get(header::CONTENT_LENGTH)?;
    value.to_str().ok()?.parse().ok()
}

fn parse_time_left(headers: &HeaderMap, name: &http::HeaderName) -> Option<Duration> {
    let value = headers.get(name)?;
    let time_left_ms = value.to_str().ok()?.trim().parse().ok()?;
    Some(Duration::from_millis(time_left_ms))
}
