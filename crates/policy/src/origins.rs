//! Which routes targets call, told by where their requests come from.

use std::collections::HashMap;

use model::{DataCentre, ServiceName};
use smol_str::SmolStr;

/// Requests of a route between two judgements of it.
const JUDGED_EACH: u32 = 64;
/// Requests after which what was counted of a route is halved, so that it follows changes.
const HALVING: u32 = 1_024;
/// Requests that must have been expected from where none came. By chance none comes of so many
/// less than once in 10^13 times.
const LEAST_EXPECTED: f64 = 32.0;
/// Part of a route's requests that must have been expected from where none came: more than
/// the machines make up that are cut off or restarted at one time.
const LEAST_EXPECTED_PART: f64 = 0.2;

/// Part of what was expected from a place that may be strays, such as an operator's checks.
const STRAY_PART: f64 = 0.1;

/// Where a daemon is, as far as it matters for what its callers send.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Place {
    /// Where its machine is.
    pub data_centre: DataCentre,
    /// Service of the target beside it.
    pub service: ServiceName,
}

/// Number of daemons by place.
#[derive(Clone, Debug, Default)]
pub struct Census {
    places: HashMap<Place, u32>,
    data_centres: HashMap<DataCentre, u32>,
}

impl FromIterator<Place> for Census {
    fn from_iter<I: IntoIterator<Item = Place>>(places: I) -> Self {
        let mut census = Census::default();
        for place in places {
            *census
                .data_centres
                .entry(place.data_centre.clone())
                .or_default() += 1;
            *census.places.entry(place).or_default() += 1;
        }
        census
    }
}

/// From where the requests of each route came to the target beside this daemon.
///
/// Callers are spread over the machines of a data centre whatever service runs there. A target
/// calls from its own machine. So a route whose requests never come from the machines of some
/// services is one that targets of the others call.
#[derive(Debug, Default)]
pub struct Origins {
    routes: HashMap<SmolStr, RouteOrigins>,
}

#[derive(Debug, Default)]
struct RouteOrigins {
    from: HashMap<Place, u32>,
    since_judged: u32,
    is_called: bool,
}

impl Origins {
    /// Takes note of a request that came from a daemon at a place.
    pub fn came(&mut self, route: &SmolStr, from: &Place, census: &Census) {
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
        origins.since_judged += 1;
        if origins.since_judged >= JUDGED_EACH {
            origins.since_judged = 0;
            origins.judge(census);
        }
    }

    /// True if targets call a route, rather than callers from outside.
    #[must_use]
    pub fn is_called(&self, route: &SmolStr) -> bool {
        self.routes.get(route).is_some_and(|route| route.is_called)
    }

    /// Forgets routes that are no longer there.
    pub fn retain(&mut self, is_there: impl Fn(&SmolStr) -> bool) {
        self.routes.retain(|route, _| is_there(route));
    }
}

impl RouteOrigins {
    fn judge(&mut self, census: &Census) {
        let mut by_data_centre: HashMap<&DataCentre, u32> = HashMap::new();
        for (place, count) in &self.from {
            *by_data_centre.entry(&place.data_centre).or_default() += count;
        }
        let total: u32 = by_data_centre.values().sum();
        let expected = census.places.iter().map(|(place, daemons)| {
            let came = by_data_centre.get(&place.data_centre).copied();
            let all = census.data_centres.get(&place.data_centre).copied();
            let expected =
                f64::from(came.unwrap_or(0)) * f64::from(*daemons) / f64::from(all.unwrap_or(1));
            (
                expected,
                f64::from(self.from.get(place).copied().unwrap_or(0)),
            )
        });
        let absent = expected.filter(|(expected, came)| *came < expected * STRAY_PART);
        let expected: f64 = absent.map(|(expected, _)| expected).sum();
        self.is_called =
            expected >= LEAST_EXPECTED && expected >= LEAST_EXPECTED_PART * f64::from(total);
        if total >= HALVING {
            self.from.retain(|_, count| {
                *count /= 2;
                *count > 0
            });
        }
    }
}
