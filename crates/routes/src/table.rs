//! Routes by host and longest prefix.

use std::collections::{HashMap, HashSet};

use model::ServiceName;
use smol_str::SmolStr;

use crate::route::{Limits, Route, Service};

/// Index of a route in its [`RouteTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RouteKey(u32);

impl RouteKey {
    /// Position in [`RouteTable::routes`].
    #[must_use]
    pub fn index(self) -> usize {
        self.0 as usize
    }
}

/// One version of the operators' configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteTable {
    version: u64,
    routes: Vec<Route>,
    services: Vec<Service>,
    limits: Limits,
    /// Services that have settings, or to which a route leads.
    service_names: HashSet<ServiceName>,
    /// Routes of each host, longest prefix first.
    by_host: HashMap<SmolStr, Vec<RouteKey>>,
}

impl RouteTable {
    /// Creates a table; hosts are converted to lower case.
    #[must_use]
    pub fn new(
        version: u64,
        mut routes: Vec<Route>,
        services: Vec<Service>,
        limits: Limits,
    ) -> Self {
        let mut by_host: HashMap<SmolStr, Vec<RouteKey>> = HashMap::new();
        for (index, route) in routes.iter_mut().enumerate() {
            let key = RouteKey(u32::try_from(index).unwrap_or(u32::MAX));
            route.host = route.host.to_ascii_lowercase().into();
            by_host.entry(route.host.clone()).or_default().push(key);
        }
        for keys in by_host.values_mut() {
            keys.sort_by_key(|key| std::cmp::Reverse(routes[key.index()].prefix.len()));
        }
        let with_settings = services.iter().map(|service| &service.name);
        let of_routes = routes.iter().flat_map(|route| &route.shares);
        let service_names = with_settings
            .chain(of_routes.map(|share| &share.service))
            .cloned()
            .collect();
        RouteTable {
            version,
            routes,
            services,
            limits,
            service_names,
            by_host,
        }
    }

    /// Version of the configuration; a higher one replaces a lower one.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Limits on the requests of callers.
    #[must_use]
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// All routes; a [`RouteKey`] is an index here.
    #[must_use]
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// The route of a key.
    ///
    /// # Panics
    ///
    /// May panic if the key comes from another table.
    #[must_use]
    pub fn route(&self, key: RouteKey) -> &Route {
        &self.routes[key.index()]
    }

    /// True if the configuration has settings for a service, or a route leads to it.
    #[must_use]
    pub fn names_service(&self, name: &ServiceName) -> bool {
        self.service_names.contains(name)
    }

    /// The operators' settings for a service; `None` if there are none.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.iter().find(|service| service.name == *name)
    }

    /// Finds the route of a host whose prefix is the longest one that the path starts with.
    ///
    /// A port in the host and the case of its letters are ignored.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<RouteKey> {
        let host = host.split(':').next().unwrap_or(host);
        let keys = if host.bytes().any(|b| b.is_ascii_uppercase()) {
            self.by_host.get(host.to_ascii_lowercase().as_str())
        } else {
            self.by_host.get(host)
        };
        let matches = |key: &&RouteKey| path.starts_with(self.route(**key).prefix.as_str());
        keys?.iter().find(matches).copied()
    }
}
