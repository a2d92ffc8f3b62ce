//! Where requests of a route lead, learned from the calls that their runs make.

use std::collections::HashMap;
use std::time::Duration;

use model::ServiceName;
use smol_str::SmolStr;

/// Runs, or requests, after which what was counted is halved.
const HALVING: u32 = 256;
/// Runs of which one makes a call that is surely its own, for the call to belong to the route:
/// a call that was matched to the wrong run is rarer.
const RUNS_PER_CALL: u32 = 8;
/// Requests with shortened time from which a route is taken for one that targets call.
const LEAST_REQUESTS: u32 = 8;

/// What is learned of routes by the daemon beside a target.
#[derive(Debug, Default)]
pub struct Leads {
    routes: HashMap<SmolStr, RouteLeads>,
}

/// What a request that begins here is taken for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Began {
    /// A call of the own target.
    pub is_call: bool,
    /// It has less time left than requests of the route may have: a caller's has waited
    /// before, a call's run ends sooner than the call would.
    pub is_shortened: bool,
}

/// What is learned of one route.
#[derive(Debug, Default)]
struct RouteLeads {
    /// Runs of the route in the own target.
    runs: u32,
    /// Calls of those runs, by route.
    calls: HashMap<SmolStr, u32>,
    /// Requests of the route that began here with less than the longest time left. Callers'
    /// are those that came back; of a target's calls, those whose run ends sooner.
    shortened: u32,
    /// Those of them that surely belonged to a run.
    shortened_of_runs: u32,
    /// Longest time that any of them had left.
    longest_wait: Duration,
    /// Services that its requests lead to, as told with their answers.
    told: Vec<ServiceName>,
    /// True if the daemons beside its targets say that targets call it.
    told_called: bool,
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

    /// Takes note of a request that begins here, of the time that it has left, of the route
    /// whose run surely made it, if any, and of all whose runs may have made it; these are
    /// asked for only if it may be a call.
    pub fn began(
        &mut self,
        route: &SmolStr,
        left: Option<Duration>,
        parent: Option<&SmolStr>,
        candidates: impl FnOnce() -> Vec<SmolStr>,
    ) -> Began {
        let leads = self.entry(route);
        let is_shortened = left.is_some_and(|left| leads.is_shortened(left));
        if is_shortened {
            leads.shortened += 1;
            leads.shortened_of_runs += u32::from(parent.is_some());
            if leads.shortened >= HALVING {
                leads.shortened /= 2;
                leads.shortened_of_runs /= 2;
            }
        }
        let proved = leads.is_proved_call();
        let mut began = Began {
            is_call: proved.unwrap_or(leads.told_called),
            is_shortened,
        };
        if !began.is_call {
            return began;
        }
        let parents = match parent {
            Some(parent) if is_shortened => vec![parent.clone()],
            _ => candidates(),
        };
        // Where only the word of others says so, a run has to be there that may have made it.
        began.is_call = proved.is_some() || !parents.is_empty();
        for parent in &parents {
            let calls = &mut self.entry(parent).calls;
            match calls.get_mut(route) {
                Some(count) => *count += 1,
                None => {
                    calls.insert(route.clone(), 1);
                }
            }
        }
        began
    }

    /// Forgets routes that are no longer there.
    pub fn retain(&mut self, is_there: impl Fn(&SmolStr) -> bool) {
        self.routes.retain(|route, _| is_there(route));
    }

    /// Takes over where requests of a route lead, and whether targets call it, as told with
    /// an answer.
    pub fn told(
        &mut self,
        route: &SmolStr,
        services: impl Iterator<Item = ServiceName>,
        is_called: bool,
    ) {
        let leads = self.entry(route);
        leads.told_called = is_called;
        leads.told.clear();
        leads.told.extend(services);
    }

    /// Services that requests of a route that begin here lead to, beyond the first.
    #[must_use]
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

impl RouteLeads {
    /// True if a request has clearly less time left than others had.
    fn is_shortened(&mut self, left: Duration) -> bool {
        /// Callers round to a millisecond and may hand a request over a little late.
        const TOLERANCE: Duration = Duration::from_millis(2);

        self.longest_wait = self.longest_wait.max(left);
        left + TOLERANCE < self.longest_wait
    }

    /// Whether requests of the route that begin here are calls of the own target; `None` while
    /// too few tell. A caller's request that came back lies close to a run's deadline only by
    /// chance.
    fn is_proved_call(&self) -> Option<bool> {
        (self.shortened >= LEAST_REQUESTS).then(|| 5 * self.shortened_of_runs > 3 * self.shortened)
    }
}
