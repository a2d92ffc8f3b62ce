//! What the parts of one daemon share.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use model::{Class, InstanceId, ServiceName};
use policy::{
    Candidate, CongestionWindows, Fates, GateConfig, InstanceStatus, Pressures, ResendBudget,
    RouteDependencies, RouteOrigins, Router, RouterConfig, RoutingStrategy, Runs,
};
use routes::{RouteTable, Target, TargetState, Targets, WeightedRoundRobin};
use smol_str::SmolStr;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::admission::Admission;
use crate::connection_pool::ConnectionPool;
use crate::fate::Lives;
use crate::header_names::HeaderNames;
use crate::metrics::Metrics;
use crate::neighbours::Neighbours;
use crate::service::ServiceState;
use crate::settings::Settings;
use crate::source::{Document, Parsers, PublishedState};
use crate::view::{Offered, View};

/// Slots that a target is taken to have until its entry is known: few enough for any.
const UNKNOWN_SLOTS: u32 = 16;
/// Waiters for each slot of the target.
const QUEUE_PER_SLOT: u32 = 4;
/// Targets of one service that are called in the own data centre, and as many elsewhere.
const SUBSET: usize = 16;

/// Time for which a daemon that said it leaves is not asked again. Its target may live on, and
/// then the daemon is back within seconds; asking costs no more than one refusal.
const LEAVING_LIFE: Duration = Duration::from_secs(1);
/// Part of a target's slots that is left free, as a divisor: targets slow down when they are
/// nearly full, some by a third, which costs more than these slots bring.
const SPARE_DIVISOR: u32 = 14;

/// How far the daemon is on its way to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    Serving,
    /// Told to stop: not ready, and says on each answer that it closes. Its target may live
    /// on, so what still comes is served.
    Leaving,
    /// About to end: begins nothing more, so that what is in flight can end before.
    Closing,
}

/// The state of one daemon.
pub(crate) struct Relay {
    pub(crate) cfg: Settings,
    pub(crate) names: HeaderNames,
    pub(crate) connection_pool: ConnectionPool,
    pub(crate) metrics: Metrics,
    pub(crate) admission: Rc<Admission>,
    pub(crate) runs: RefCell<Runs>,
    pub(crate) leads: RefCell<RouteDependencies>,
    pub(crate) origins: RefCell<RouteOrigins>,
    pub(crate) neighbours: RefCell<Neighbours>,
    pub(crate) pressures: RefCell<Pressures>,
    pub(crate) windows: RefCell<CongestionWindows>,
    /// Drawn at random at the start; tells this process from earlier ones at its address.
    pub(crate) life: u64,
    pub(crate) lives: Lives,
    pub(crate) fates: RefCell<Fates>,
    pub(crate) phase: Cell<Phase>,
    /// Requests that began here or run beside it and have no whole answer yet.
    pub(crate) in_flight: Cell<usize>,
    /// Connections that were accepted and are open.
    pub(crate) connections: Cell<usize>,
    /// True once each connection is to close after the answer that is under way on it.
    pub(crate) disconnect: watch::Sender<bool>,
    pub(crate) view: RefCell<View>,
    /// Decodes the published states.
    pub(crate) parse: Parsers,
    /// States that are being fetched from another daemon.
    pub(crate) fetching: RefCell<HashSet<PublishedState>>,
    pub(crate) services: RefCell<HashMap<ServiceName, ServiceState>>,
    splits: RefCell<HashMap<SmolStr, WeightedRoundRobin>>,
}

impl Relay {
    pub(crate) fn new(cfg: Settings, names: HeaderNames, parse: Parsers) -> Rc<Self> {
        let now = Instant::now();
        let gate = gate_config(UNKNOWN_SLOTS, u32::MAX);
        Rc::new(Relay {
            cfg,
            names,
            connection_pool: ConnectionPool::default(),
            metrics: Metrics::new(),
            admission: Admission::new(gate, now),
            runs: RefCell::new(Runs::default()),
            leads: RefCell::new(RouteDependencies::default()),
            origins: RefCell::new(RouteOrigins::default()),
            neighbours: RefCell::new(Neighbours::default()),
            pressures: RefCell::new(Pressures::default()),
            windows: RefCell::new(CongestionWindows::default()),
            life: rand::random(),
            lives: Lives::default(),
            fates: RefCell::new(Fates::default()),
            phase: Cell::new(Phase::Serving),
            in_flight: Cell::new(0),
            connections: Cell::new(0),
            disconnect: watch::Sender::new(false),
            view: RefCell::new(View::default()),
            parse,
            fetching: RefCell::new(HashSet::new()),
            services: RefCell::new(HashMap::new()),
            splits: RefCell::new(HashMap::new()),
        })
    }

    /// The configuration in force.
    pub(crate) fn table(&self) -> Option<Rc<RouteTable>> {
        self.view.borrow().table.clone()
    }

    /// Takes over a configuration, unless it is older than the one in force.
    pub(crate) fn offer_table(&self, table: RouteTable, document: Document) -> Offered {
        let offered = self.view.borrow_mut().offer_table(table, document);
        if offered == Offered::Taken
            && let Some(table) = self.table()
        {
            let kept = |name: &SmolStr| table.routes().iter().any(|route| route.name == *name);
            self.splits.borrow_mut().retain(|name, _| kept(name));
            self.leads.borrow_mut().retain(kept);
            self.origins.borrow_mut().retain(kept);
            self.refresh_gate();
        }
        offered
    }

    /// Takes over a list of targets, unless it is older than the one that is known.
    pub(crate) fn offer_targets(
        &self,
        listed: &Targets,
        document: Document,
        read_at: Instant,
    ) -> Offered {
        let offered = self
            .view
            .borrow_mut()
            .offer_targets(listed, document, read_at);
        if offered == Offered::Taken {
            self.targets_changed();
        }
        offered
    }

    /// Forgets targets that are missing for good.
    pub(crate) fn expire_targets(&self, now: Instant) {
        let expired = self.view.borrow_mut().expire(now);
        if expired {
            let count = self.view.borrow().targets.len();
            log::info!(count; "targets missing for good");
            self.targets_changed();
        }
    }

    /// Takes over what follows from a change of the targets.
    fn targets_changed(&self) {
        let mut view = self.view.borrow_mut();
        view.own = view
            .targets
            .find_at(self.cfg.target, &self.cfg.service)
            .cloned();
        view.own_was_listed |= view.own.is_some();
        drop(view);
        let view = self.view.borrow();
        self.neighbours.replace(Neighbours::of(&view.targets));
        drop(view);
        let neighbours = self.neighbours.borrow();
        self.lives
            .retain(|daemon| neighbours.places.contains_key(&daemon.ip()));
        drop(neighbours);
        self.refresh_gate();
        let now = Instant::now().into_std();
        for (name, state) in self.services.borrow_mut().iter_mut() {
            state.update(&self.candidates(name), now);
        }
    }

    /// Applies a function to what is kept of a service.
    pub(crate) fn with_service<T>(
        &self,
        name: &ServiceName,
        f: impl FnOnce(&mut ServiceState) -> T,
    ) -> T {
        if let Some(state) = self.services.borrow_mut().get_mut(name) {
            return f(state);
        }
        let candidates = self.candidates(name);
        let now = Instant::now().into_std();
        let own = InstanceId::from(self.cfg.name.clone());
        let router_cfg = RouterConfig {
            strategy: RoutingStrategy::LeastCost,
            leaving_ttl: LEAVING_LIFE,
            ..RouterConfig::new(own, self.cfg.data_centre.clone(), SUBSET)
        };
        let mut router = Router::new(router_cfg, rand::random(), now);
        router.update(&candidates, now);
        let bounds = &self.cfg.bounds;
        let resends = ResendBudget::new(bounds.retry_ratio, bounds.retry_window, now);
        let mut state = ServiceState::new(router, resends);
        let result = f(&mut state);
        self.services.borrow_mut().insert(name.clone(), state);
        result
    }

    /// The share of a route that takes the next request.
    pub(crate) fn next_share(&self, route: &routes::Route) -> Option<ServiceName> {
        let mut splits = self.splits.borrow_mut();
        let split = match splits.get_mut(&route.name) {
            Some(split) => split,
            None => splits.entry(route.name.clone()).or_default(),
        };
        let index = split.next(&route.shares)?;
        Some(route.shares[index].service.clone())
    }

    /// This daemon's part of the further sends that the fleet may add in a window.
    pub(crate) fn resend_slack(&self) -> f64 {
        let daemons = u32::try_from(self.view.borrow().targets.len()).unwrap_or(u32::MAX);
        self.cfg.bounds.retry_slack / f64::from(daemons.max(1))
    }

    /// Address of the daemon beside a target.
    pub(crate) fn daemon_of(&self, target: &Target) -> SocketAddr {
        SocketAddr::new(target.address.ip(), self.cfg.listen.mesh.port())
    }

    fn candidates(&self, service: &ServiceName) -> Vec<Candidate> {
        let view = self.view.borrow();
        let candidate = |target: &Target| Candidate {
            id: target.id.clone(),
            data_centre: target.data_centre.clone(),
            status: match target.state {
                TargetState::Ready => InstanceStatus::Live,
                TargetState::Draining => InstanceStatus::Leaving,
            },
        };
        view.targets.for_service(service).map(candidate).collect()
    }

    /// Sizes the gate by the own target's entry.
    fn refresh_gate(&self) {
        let view = self.view.borrow();
        let slots = view.own.as_ref().map_or(UNKNOWN_SLOTS, |own| own.slots);
        drop(view);
        let table = self.table();
        let service = table
            .as_ref()
            .and_then(|table| table.service(&self.cfg.service));
        let connections = service.map_or(u32::MAX, |service| service.max_connections);
        let gate = gate_config(slots, connections);
        self.admission.reconfigure(gate, Instant::now());
    }
}

/// Class of a route's rank, of which 0 is the most urgent.
pub(crate) fn class_of(priority: u32) -> Class {
    match priority {
        0 => Class::Critical,
        1 => Class::Standard,
        2 => Class::Browse,
        _ => Class::Bulk,
    }
}

fn gate_config(slots: u32, connections: u32) -> GateConfig {
    GateConfig::new(slots - slots.div_ceil(SPARE_DIVISOR).min(slots / 2))
        .with_connections(connections)
        .with_queue(slots.saturating_mul(QUEUE_PER_SLOT))
        .with_adaptive(false)
        .with_slow_start(false)
}
