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
/// Requests with shortened time needed to decide whether a route is called by the local target.
const MIN_SHORTENED: u32 = 8;

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

/// Counts and reports for one route.
#[derive(Debug, Default)]
struct RouteStats {
    /// Runs of the route in the local target.
    runs: u32,
    /// Calls that those runs made, by called route.
    calls: HashMap<SmolStr, u32>,
    /// Requests of the route that entered here with clearly less than the longest time left:
    /// retries of external callers, and calls of the local target whose run ends sooner.
    shortened: u32,
    /// Shortened requests whose parent run was identified by its deadline.
    shortened_of_runs: u32,
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
    /// `left` is the time that the request has left, `parent` the route of the run whose
    /// deadline it matches, and `possible_parents` returns the routes of all runs that may have
    /// made it. `possible_parents` is called only if the request may be a call.
    pub fn classify_request(
        &mut self,
        route: &SmolStr,
        left: Option<Duration>,
        parent: Option<&SmolStr>,
        possible_parents: impl FnOnce() -> Vec<SmolStr>,
    ) -> RequestKind {
        let stats = self.entry(route);
        let is_shortened = left.is_some_and(|left| stats.is_shortened(left));
        if is_shortened {
            stats.shortened += 1;
            stats.shortened_of_runs += u32::from(parent.is_some());
            if stats.shortened >= HALVING_COUNT {
                stats.shortened /= 2;
                stats.shortened_of_runs /= 2;
            }
        }
        let inferred = stats.infer_is_call();
        let mut kind = RequestKind {
            is_call: inferred.unwrap_or(stats.reported_called),
            is_shortened,
        };
        if !kind.is_call {
            return kind;
        }
        let parents = match parent {
            Some(parent) if is_shortened => vec![parent.clone()],
            _ => possible_parents(),
        };
        // If only other daemons report the route as called, a run that may have made the call
        // must be under way as well.
        kind.is_call = inferred.is_some() || !parents.is_empty();
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
        /// Callers round to a millisecond and may send a request slightly late.
        const TOLERANCE: Duration = Duration::from_millis(2);

        self.longest_left = self.longest_left.max(left);
        left + TOLERANCE < self.longest_left
    }

    /// Whether requests of the route that enter here are calls of the local target; `None` while
    /// too few of them were shortened. A retry of an external caller matches the deadline of a
    /// run only by chance.
    fn infer_is_call(&self) -> Option<bool> {
        (self.shortened >= MIN_SHORTENED).then(|| 5 * self.shortened_of_runs > 3 * self.shortened)
    }
}
