//! Where requests of a route lead, learned from the calls that their runs make.

use std::collections::HashMap;
use std::time::Duration;

use model::ServiceName;
use smol_str::SmolStr;

/// Runs, or requests, after which what was counted is halved.
const HALVING: u32 = 256;
/// Runs of which one makes the call, for the call to belong to the route: a call that was
/// matched to the wrong run is rarer.
const RUNS_PER_CALL: u32 = 4;
/// Requests from which a route is taken for one that targets call.
const LEAST_REQUESTS: u32 = 8;

/// What is learned of routes by the daemon beside a target.
#[derive(Debug, Default)]
pub struct Leads {
    routes: HashMap<SmolStr, RouteLeads>,
}

/// What is learned of one route.
#[derive(Debug, Default)]
struct RouteLeads {
    /// Runs of the route in the own target.
    runs: u32,
    /// Calls of those runs, by route.
    calls: HashMap<SmolStr, u32>,
    /// Requests of the route that began here.
    requests: u32,
    /// Those of them that belonged to a run.
    requests_of_runs: u32,
    /// Longest time that its callers were ready to wait.
    longest_wait: Duration,
    /// Services that its requests lead to, as told with their answers.
    told: Vec<ServiceName>,
}

impl Leads {
    /// Takes note of a run in the own target.
    pub fn ran(&mut self, route: &SmolStr) {
        let leads = self.entry(route);
        leads.runs += 1;
        if leads.runs >= HALVING {
            leads.runs /= 2;
            for count in leads.calls.values_mut() {
                *count /= 2;
            }
            leads.calls.retain(|_, count| *count > 0);
        }
    }

    /// Takes note of a request that begins here, and of the route whose run made it.
    pub fn began(&mut self, route: &SmolStr, parent: Option<&SmolStr>) {
        let leads = self.entry(route);
        leads.requests += 1;
        leads.requests_of_runs += u32::from(parent.is_some());
        if leads.requests >= HALVING {
            leads.requests /= 2;
            leads.requests_of_runs /= 2;
        }
        if let Some(parent) = parent {
            let calls = &mut self.entry(parent).calls;
            match calls.get_mut(route) {
                Some(count) => *count += 1,
                None => {
                    calls.insert(route.clone(), 1);
                }
            }
        }
    }

    /// True if requests of the route that begin here are calls of the own target: a caller's
    /// request belongs to a run only by chance.
    #[must_use]
    pub fn is_called(&self, route: &SmolStr) -> bool {
        self.routes.get(route).is_some_and(|leads| {
            leads.requests >= LEAST_REQUESTS && 2 * leads.requests_of_runs > leads.requests
        })
    }

    /// True if a request with this time left came back: the callers of a route are ready to
    /// wait equally long, and this one has waited before.
    pub fn came_back(&mut self, route: &SmolStr, left: Duration) -> bool {
        let leads = self.entry(route);
        leads.longest_wait = leads.longest_wait.max(left);
        left < leads.longest_wait * 19 / 20
    }

    /// Forgets routes that are no longer there.
    pub fn retain(&mut self, is_there: impl Fn(&SmolStr) -> bool) {
        self.routes.retain(|route, _| is_there(route));
    }

    /// Takes over where requests of a route lead, as told with an answer.
    pub fn told(&mut self, route: &SmolStr, services: impl Iterator<Item = ServiceName>) {
        let leads = self.entry(route);
        leads.told.clear();
        leads.told.extend(services);
    }

    /// Services that requests of a route that begin here lead to, beyond the first.
    pub fn beyond(&self, route: &SmolStr) -> &[ServiceName] {
        self.routes.get(route).map_or(&[], |leads| &leads.told)
    }

    /// Services that runs of a route in the own target lead to.
    #[must_use]
    pub fn of_runs(&self, route: &SmolStr) -> Vec<ServiceName> {
        let Some(leads) = self.routes.get(route) else {
            return Vec::new();
        };
        let mut services = Vec::new();
        for (called, count) in &leads.calls {
            if count * RUNS_PER_CALL < leads.runs {
                continue;
            }
            for service in self.beyond(called) {
                if !services.contains(service) {
                    services.push(service.clone());
                }
            }
        }
        services
    }

    fn entry(&mut self, route: &SmolStr) -> &mut RouteLeads {
        if !self.routes.contains_key(route) {
            self.routes.insert(route.clone(), RouteLeads::default());
        }
        self.routes.get_mut(route).expect("just inserted")
    }
}
