//! A request that begins on this machine, and what its handling depends on.

use std::time::Duration;

use http::request::Parts;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use model::Class;
use policy::Run;
use routes::{Route, RouteTable};
use smol_str::SmolStr;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::relay::{Relay, class_of};

/// A request with what its handling depends on.
pub(crate) struct OriginRequest {
    pub(crate) id: HeaderValue,
    pub(crate) route: Route,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
    pub(crate) shed_hash: u64,
    /// The run that made it, where it is a call of the own target.
    pub(crate) parent: Option<Run>,
    /// True for a call of the own target, even if its run was not found.
    pub(crate) is_call: bool,
    /// True if its caller has waited before.
    pub(crate) came_back: bool,
}

impl OriginRequest {
    /// Reads the head of a request.
    ///
    /// # Errors
    ///
    /// The status of the answer to a request that can't be passed on.
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
        let told = time_left(&head.headers, &relay.names.time_left_ms);
        let at = told.map(|left| (now + left).into_std());
        let runs = relay.runs.borrow();
        let sure = at.and_then(|at| runs.certain_parent(at));
        let parent_route = sure.and_then(|run| relay.admission.route(run.operation));
        let candidates = || -> Vec<SmolStr> {
            let operations = at.map_or_else(Vec::new, |at| runs.possible_parent_operations(at));
            let routes = operations.into_iter().map(|key| relay.admission.route(key));
            routes.flatten().collect()
        };
        let mut leads = relay.leads.borrow_mut();
        let began = leads.classify_request(&route.name, told, parent_route.as_ref(), candidates);
        let likely = || runs.likely_parent(at?, !began.is_shortened);
        let sure = sure.filter(|_| began.is_shortened);
        let parent = if began.is_call {
            sure.or_else(likely)
        } else {
            None
        };
        let left = told.map_or(route.timeout, |left| left.min(route.timeout));
        let shed_hash = parent.map_or_else(|| xxh3_64(id.as_bytes()), |run| run.shed_hash);
        Ok(OriginRequest {
            id: id.clone(),
            route,
            arrived: now,
            deadline: now + left,
            shed_hash,
            parent,
            is_call: began.is_call,
            came_back: began.is_shortened && !began.is_call,
        })
    }
}

impl OriginRequest {
    /// Importance: that of the run that made it, or of its route.
    pub(crate) fn class(&self) -> Class {
        let own = class_of(self.route.priority);
        self.parent.map_or(own, |run| run.class)
    }
}

/// The one host that a request names.
fn host(head: &Parts) -> Option<&str> {
    let mut values = head.headers.get_all(header::HOST).iter();
    let named = values.next()?.to_str().ok()?;
    if values.next().is_some() || named.is_empty() {
        return None;
    }
    Some(head.uri.host().unwrap_or(named))
}

fn content_length(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get(header::CONTENT_LENGTH)?;
    value.to_str().ok()?.parse().ok()
}

fn time_left(headers: &HeaderMap, name: &http::HeaderName) -> Option<Duration> {
    let value = headers.get(name)?;
    let millis = value.to_str().ok()?.trim().parse().ok()?;
    Some(Duration::from_millis(millis))
}
