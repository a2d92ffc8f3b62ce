//! Infers which services the requests of a route depend on, from the calls that their runs make.

use std::collections::HashMap;
use std::time::Duration;

use model::ServiceName;
use smol_str::SmolStr;

/// Runs or requests after which the counts of a route are halved, so that they follow changes.
const HALVING_COUNT: u32 = 256;
/// A route counts as a caller of another if at least one call per this many of its runs was
/// matched to them. Calls matched to the wrong run are rarer.
const MAX_RUNS_PER_CALL: u32 = 8;
/// Requests of a route needed to decide whether its callers are runs of the local target.
const MIN_REQUESTS: u32 = 16;
/// Share of a route's requests, as a divisor, that must match a run by their deadline for the route
/// to be called by the local target. Calls that expire by themselves before their run match none.
const MATCHED_DIVISOR: u32 = 4;
/// Factor by which the matches must exceed those to be expected by chance.
const CHANCE_FACTOR: f64 = 2.0;
/// Share of a route's requests, as a divisor, made while no run could have made them, above which
/// the route also has external callers.
const ORPHANS_DIVISOR: u32 = 8;
/// A request with less than this share of the longest time left of its route has been sent before
/// or is bounded by a run. Callers may set times that differ by more than a tenth.
const SHORTENED_SHARE: f64 = 0.75;

/// Dependencies between routes, as inferred by the daemon beside a target.
#[derive(Debug, Default)]
pub struct RouteDependencies {
    routes: HashMap<SmolStr, RouteStats>,
}

/// Inferred kind of a request that enters the system at this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestKind {
    /// True for a call of the local target, false for a request of an external caller.
    pub is_call: bool,
    /// The request has less time left than other requests of the route had. A caller's request
    /// has been sent before and lost time then; a target's call is bounded by the deadline of
    /// the run that makes it.
    pub is_shortened: bool,
}

/// Run of the local target whose deadline a request matches.
#[derive(Clone, Debug, Default)]
pub struct MatchedRun {
    /// Route of the run; `None` if there is no such run.
    pub route: Option<SmolStr>,
    /// Probability of a match if no run made the request.
    pub by_chance: f64,
}

/// Counts and reports for one route.
#[derive(Debug, Default)]
struct RouteStats {
    /// Runs of the route in the local target.
    runs: u32,
    /// Calls that those runs made, by called route.
    calls: HashMap<SmolStr, u32>,
    /// Requests of the route that entered here.
    requests: u32,
    /// Those whose deadline matches that of a run.
    matched: u32,
    /// Matches to be expected if none of the requests were calls.
    matched_by_chance: f64,
    /// Those made while no run of the local target could have made them.
    orphans: u32,
    /// Longest time left of any request.
    longest_left: Duration,
    /// Services that the route's requests depend on, as reported with their answers.
    reported_services: Vec<ServiceName>,
    /// True if the daemons beside the route's targets report that targets call it.
    reported_called: bool,
}

impl RouteDependencies {
    /// Records a run of the route in the local target.
    pub fn record_run(&mut self, route: &SmolStr) {
        let stats = self.entry(route);
        stats.runs += 1;
        if stats.runs >= HALVING_COUNT {
            stats.runs /= 2;
            for count in stats.calls.values_mut() {
                *count /= 2;
            }
            stats.calls.retain(|_, count| *count > 0);
        }
    }

    /// Records a request that enters at this daemon and infers whether it is a call of the local
    /// target.
    ///
    /// `left` is the time that the request has left. `matched` is the run whose deadline it
    /// matches, and `possible_parents` returns the routes of all runs that may have made it.
    ///
    /// A route is called by the local target if its requests match runs more often than by chance,
    /// or if the daemons that serve the route report that only targets call it.
    pub fn classify_request(
        &mut self,
        route: &SmolStr,
        left: Option<Duration>,
        matched: &MatchedRun,
        possible_parents: impl FnOnce() -> Vec<SmolStr>,
    ) -> RequestKind {
        let stats = self.entry(route);
        let is_shortened = left.is_some_and(|left| stats.is_shortened(left));
        stats.record_request(matched);
        let matches_runs = stats.matches_runs();
        let mut kind = RequestKind {
            is_call: matches_runs || stats.reported_called,
            is_shortened,
        };
        if !kind.is_call {
            return kind;
        }
        let parents = match &matched.route {
            Some(parent) => vec![parent.clone()],
            None => possible_parents(),
        };
        let stats = self.entry(route);
        stats.orphans += u32::from(parents.is_empty());
        let has_external_callers =
            stats.requests >= MIN_REQUESTS && stats.orphans * ORPHANS_DIVISOR > stats.requests;
        kind.is_call = matches_runs || !parents.is_empty() && !has_external_callers;
        if !kind.is_call {
            return kind;
        }
        for parent in &parents {
            let calls = &mut self.entry(parent).calls;
            match calls.get_mut(route) {
                Some(count) => *count += 1,
                None => {
                    calls.insert(route.clone(), 1);
                }
            }
        }
        kind
    }

    /// Removes the records of routes that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&SmolStr) -> bool) {
        self.routes.retain(|route, _| exists(route));
    }

    /// Replaces the services that the route's requests depend on, and whether targets call the
    /// route, by what an answer reports.
    pub fn set_reported(
        &mut self,
        route: &SmolStr,
        services: impl Iterator<Item = ServiceName>,
        is_called: bool,
    ) {
        let stats = self.entry(route);
        stats.reported_called = is_called;
        stats.reported_services.clear();
        stats.reported_services.extend(services);
    }

    /// Services that a request of the route depends on, as last reported.
    #[must_use]
    pub fn downstream_services(&self, route: &SmolStr) -> &[ServiceName] {
        self.routes
            .get(route)
            .map_or(&[], |stats| &stats.reported_services)
    }

    /// Services that runs of the route in the local target depend on through their calls.
    #[must_use]
    pub fn downstream_of_runs(&self, route: &SmolStr) -> Vec<ServiceName> {
        let Some(stats) = self.routes.get(route) else {
            return Vec::new();
        };
        let mut services = Vec::new();
        for (called, count) in &stats.calls {
            if count * MAX_RUNS_PER_CALL < stats.runs {
                continue;
            }
            for service in self.downstream_services(called) {
                if !services.contains(service) {
                    services.push(service.clone());
                }
            }
        }
        services
    }

    fn entry(&mut self, route: &SmolStr) -> &mut RouteStats {
        if !self.routes.contains_key(route) {
            self.routes.insert(route.clone(), RouteStats::default());
        }
        self.routes.get_mut(route).expect("just inserted")
    }
}

impl RouteStats {
    /// True if a request has clearly less time left than other requests of the route had.
    fn is_shortened(&mut self, left: Duration) -> bool {
        self.longest_left = self.longest_left.max(left);
        left < self.longest_left.mul_f64(SHORTENED_SHARE)
    }

    fn record_request(&mut self, matched: &MatchedRun) {
        self.requests += 1;
        self.matched += u32::from(matched.route.is_some());
        self.matched_by_chance += matched.by_chance;
        if self.requests >= HALVING_COUNT {
            self.requests /= 2;
            self.matched /= 2;
            self.matched_by_chance /= 2.0;
            self.orphans /= 2;
        }
    }

    /// True if enough of the requests match runs of the local target, and more than by chance.
    fn matches_runs(&self) -> bool {
        self.requests >= MIN_REQUESTS
            && self.matched * MATCHED_DIVISOR >= self.requests
            && f64::from(self.matched) >= self.matched_by_chance * CHANCE_FACTOR
    }
}
