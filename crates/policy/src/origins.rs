//! Infers which routes are called by targets from the origins of their requests.

use std::collections::HashMap;

use model::{DataCentre, ServiceName};
use smol_str::SmolStr;

/// Requests of a route between two evaluations of its origins.
const EVALUATION_INTERVAL: u32 = 64;
/// Requests after which the counts of a route are halved, so that they follow changes.
const HALVING_REQUESTS: u32 = 1_024;
/// Minimum number of requests expected from locations that sent none. The probability that so
/// many are missing by chance is below 1 in 10^13.
const MIN_EXPECTED: f64 = 32.0;
/// Minimum share of a route's requests expected from locations that sent none. It exceeds the
/// share of the machines that are unreachable or restarting at the same time.
const MIN_EXPECTED_SHARE: f64 = 0.2;

/// Share of the requests expected from a location up to which they count as none: a few, such
/// as an operator's checks, may come from anywhere.
const STRAY_SHARE: f64 = 0.1;

/// Data centre of a daemon and service of the target beside it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Location {
    /// Data centre of the daemon's machine.
    pub data_centre: DataCentre,
    /// Service of the target beside the daemon.
    pub service: ServiceName,
}

/// Number of daemons per location and per data centre.
#[derive(Clone, Debug, Default)]
pub struct DaemonCounts {
    locations: HashMap<Location, u32>,
    data_centres: HashMap<DataCentre, u32>,
}

impl FromIterator<Location> for DaemonCounts {
    fn from_iter<I: IntoIterator<Item = Location>>(locations: I) -> Self {
        let mut daemons = DaemonCounts::default();
        for location in locations {
            *daemons
                .data_centres
                .entry(location.data_centre.clone())
                .or_default() += 1;
            *daemons.locations.entry(location).or_default() += 1;
        }
        daemons
    }
}

/// Counts the requests of each route to the target beside this daemon by their origin.
///
/// External callers are spread over the machines of a data centre, whatever service runs there,
/// while a target calls from its own machine. So if no requests of a route come from the
/// machines of some services, the route is called by targets of the others.
#[derive(Debug, Default)]
pub struct RouteOrigins {
    routes: HashMap<SmolStr, OriginCounts>,
}

#[derive(Debug, Default)]
struct OriginCounts {
    from: HashMap<Location, u32>,
    since_evaluation: u32,
    is_called: bool,
}

impl RouteOrigins {
    /// Records a request that a daemon at the given location forwarded.
    pub fn record(&mut self, route: &SmolStr, from: &Location, daemons: &DaemonCounts) {
        let origins = match self.routes.get_mut(route) {
            Some(origins) => origins,
            None => self.routes.entry(route.clone()).or_default(),
        };
        match origins.from.get_mut(from) {
            Some(count) => *count += 1,
            None => {
                origins.from.insert(from.clone(), 1);
            }
        }
        origins.since_evaluation += 1;
        if origins.since_evaluation >= EVALUATION_INTERVAL {
            origins.since_evaluation = 0;
            origins.evaluate(daemons);
        }
    }

    /// True if the route is called by targets rather than by external callers.
    #[must_use]
    pub fn is_called_by_targets(&self, route: &SmolStr) -> bool {
        self.routes.get(route).is_some_and(|route| route.is_called)
    }

    /// Removes the counts of routes that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&SmolStr) -> bool) {
        self.routes.retain(|route, _| exists(route));
    }
}

impl OriginCounts {
    fn evaluate(&mut self, daemons: &DaemonCounts) {
        let mut by_data_centre: HashMap<&DataCentre, u32> = HashMap::new();
        for (location, count) in &self.from {
            *by_data_centre.entry(&location.data_centre).or_default() += count;
        }
        let total: u32 = by_data_centre.values().sum();
        let expected = daemons.locations.iter().map(|(location, count)| {
            let received = by_data_centre.get(&location.data_centre).copied();
            let all = daemons.data_centres.get(&location.data_centre).copied();
            let expected =
                f64::from(received.unwrap_or(0)) * f64::from(*count) / f64::from(all.unwrap_or(1));
            (
                expected,
                f64::from(self.from.get(location).copied().unwrap_or(0)),
            )
        });
        let absent = expected.filter(|(expected, received)| *received < expected * STRAY_SHARE);
        let expected: f64 = absent.map(|(expected, _)| expected).sum();
        self.is_called =
            expected >= MIN_EXPECTED && expected >= MIN_EXPECTED_SHARE * f64::from(total);
        if total >= HALVING_REQUESTS {
            self.from.retain(|_, count| {
                *count /= 2;
                *count > 0
            });
        }
    }
}
