//! Shared state of one daemon.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use model::{Class, InstanceId, ServiceName};
use policy::{
    AdmissionShares, Candidate, Crashes, Fates, GateConfig, InstanceStatus, ResendBudget,
    RootAdmission, RouteDependencies, RouteOrigins, RouteRunTimes, Router, RouterConfig,
    RoutingStrategy, Runs, StopPlan,
};
use routes::{Readers, RouteTable, Target, TargetState, Targets, WeightedRoundRobin};
use smol_str::SmolStr;
use tokio::sync::{Semaphore, watch};
use tokio::time::Instant;

use crate::admission::Admission;
use crate::answer_memory::AnswerMemory;
use crate::connection_pool::ConnectionPool;
use crate::crash_news::CrashExchange;
use crate::fate::KnownDaemons;
use crate::header_names::HeaderNames;
use crate::locations::DaemonLocations;
use crate::metrics::Metrics;
use crate::service::ServiceState;
use crate::settings::Settings;
use crate::source::{Document, Parsers, PublishedState};
use crate::target_end::EndDetector;
use crate::target_notice::TargetNotice;
use crate::view::{UpdateResult, View};

/// Slots assumed for the local target until its entry is known: few enough for any target.
const DEFAULT_SLOTS: u32 = 16;
/// Queue capacity per slot of the target.
const WAITERS_PER_SLOT: u32 = 4;
/// Size of the subset of a service's targets that this daemon calls in the local data centre, and
/// of the subset that it calls in the others.
const SUBSET_SIZE: usize = 16;

/// Time for which a target is not picked after its daemon reported that it is leaving. The target
/// may outlive the daemon, which is then restarted within seconds; trying it too early costs no
/// more than one refusal.
const LEAVING_TTL: Duration = Duration::from_secs(1);
/// Divisor of a target's slots that gives the number left unused: targets slow down when they are
/// nearly full, some by a third, which costs more throughput than these slots add.
const SPARE_SLOTS_DIVISOR: u32 = 14;

/// Phase in the life cycle of the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    Serving,
    /// Stop was requested. The daemon reports that it is not ready and closes outbound connections
    /// with the next answer, but still serves requests, as its target may outlive it.
    Leaving,
    /// New requests are refused, but for calls of runs in flight. Those that arrived before still
    /// start to run if they can end before the daemon exits.
    Closing,
}

/// State of one daemon, shared by its connections and background tasks.
pub(crate) struct Relay {
    pub(crate) cfg: Settings,
    pub(crate) names: HeaderNames,
    pub(crate) connection_pool: ConnectionPool,
    pub(crate) metrics: Metrics,
    pub(crate) answer_memory: AnswerMemory,
    /// Routes of which a large answer without announced length has arrived whole.
    pub(crate) large_answer_routes: RefCell<HashSet<SmolStr>>,
    pub(crate) admission: Rc<Admission>,
    pub(crate) runs: RefCell<Runs>,
    pub(crate) dependencies: RefCell<RouteDependencies>,
    pub(crate) origins: RefCell<RouteOrigins>,
    pub(crate) daemon_locations: RefCell<DaemonLocations>,
    pub(crate) shares: RefCell<AdmissionShares>,
    pub(crate) root_admission: RefCell<RootAdmission>,
    /// Random id chosen at startup, which distinguishes this process from earlier ones at the same
    /// address.
    pub(crate) life: u64,
    pub(crate) known_daemons: KnownDaemons,
    pub(crate) fates: RefCell<Fates>,
    pub(crate) target_end: EndDetector,
    pub(crate) crashes: RefCell<Crashes>,
    pub(crate) crash_exchange: CrashExchange,
    /// Held by the run of a request that runs [alone](policy::Treatment::Alone).
    pub(crate) run_alone: Arc<Semaphore>,
    /// What the local target said about itself last.
    pub(crate) target_notice: Cell<TargetNotice>,
    pub(crate) phase: Cell<Phase>,
    /// Requests from this machine or from other daemons that are not completely answered yet.
    pub(crate) in_flight: Cell<usize>,
    /// Open accepted connections.
    pub(crate) connections: Cell<usize>,
    /// Timetable of the stop, once it was requested.
    pub(crate) stop_plan: watch::Sender<Option<StopPlan>>,
    /// How long runs take, here and in other targets.
    pub(crate) route_run_times: RefCell<RouteRunTimes>,
    /// Set to true when each connection is to close after its current answer.
    pub(crate) disconnect: watch::Sender<bool>,
    pub(crate) view: RefCell<View>,
    /// Daemons that read the published states; unknown until a target list is.
    pub(crate) readers: RefCell<Readers>,
    /// When another daemon last answered a comparison of versions.
    pub(crate) last_compared: Cell<Option<Instant>>,
    /// Parsers of the published states.
    pub(crate) parse: Parsers,
    /// States for which a fetch from another daemon is in progress.
    pub(crate) fetching: RefCell<HashSet<PublishedState>>,
    pub(crate) services: RefCell<HashMap<ServiceName, ServiceState>>,
    /// Traffic split of each route, by route name.
    round_robins: RefCell<HashMap<SmolStr, WeightedRoundRobin>>,
}

impl Relay {
    pub(crate) fn new(cfg: Settings, names: HeaderNames, parse: Parsers) -> Rc<Self> {
        let now = Instant::now();
        let gate = gate_config(DEFAULT_SLOTS, u32::MAX);
        Rc::new(Relay {
            cfg,
            names,
            connection_pool: ConnectionPool::default(),
            metrics: Metrics::new(),
            answer_memory: AnswerMemory::default(),
            large_answer_routes: RefCell::new(HashSet::new()),
            admission: Admission::new(gate, now),
            runs: RefCell::new(Runs::default()),
            dependencies: RefCell::new(RouteDependencies::default()),
            origins: RefCell::new(RouteOrigins::default()),
            daemon_locations: RefCell::new(DaemonLocations::default()),
            shares: RefCell::new(AdmissionShares::default()),
            root_admission: RefCell::new(RootAdmission::default()),
            life: rand::random(),
            known_daemons: KnownDaemons::default(),
            fates: RefCell::new(Fates::default()),
            target_end: EndDetector::default(),
            crashes: RefCell::new(Crashes::default()),
            crash_exchange: CrashExchange::default(),
            run_alone: Arc::new(Semaphore::new(1)),
            target_notice: Cell::new(TargetNotice::default()),
            phase: Cell::new(Phase::Serving),
            in_flight: Cell::new(0),
            connections: Cell::new(0),
            stop_plan: watch::Sender::new(None),
            route_run_times: RefCell::new(RouteRunTimes::default()),
            disconnect: watch::Sender::new(false),
            view: RefCell::new(View::default()),
            readers: RefCell::new(Readers::default()),
            last_compared: Cell::new(None),
            parse,
            fetching: RefCell::new(HashSet::new()),
            services: RefCell::new(HashMap::new()),
            round_robins: RefCell::new(HashMap::new()),
        })
    }

    /// Returns the route table in force.
    pub(crate) fn table(&self) -> Option<Rc<RouteTable>> {
        self.view.borrow().table.clone()
    }

    /// Applies a route table if its version is newer than that of the one in force.
    pub(crate) fn update_table(&self, table: RouteTable, document: Document) -> UpdateResult {
        let result = self.view.borrow_mut().update_table(table, document);
        if result == UpdateResult::Applied
            && let Some(table) = self.table()
        {
            let exists = |name: &SmolStr| table.routes().iter().any(|route| route.name == *name);
            self.round_robins
                .borrow_mut()
                .retain(|name, _| exists(name));
            self.large_answer_routes.borrow_mut().retain(exists);
            self.dependencies.borrow_mut().retain(exists);
            self.origins.borrow_mut().retain(exists);
            self.route_run_times.borrow_mut().retain(exists);
            // A service that the table adds or drops changes which entries name targets.
            self.apply_targets_change();
        }
        result
    }

    /// Applies a target list unless its revision is older than that of the current one.
    pub(crate) fn update_targets(
        &self,
        listed: Targets,
        document: Document,
        read_at: Instant,
    ) -> UpdateResult {
        let result = self
            .view
            .borrow_mut()
            .update_targets(listed, document, read_at);
        if result == UpdateResult::Applied {
            self.apply_targets_change();
        }
        result
    }

    /// Records that a target said in an answer that it is leaving, so that it gets no more requests
    /// from here.
    pub(crate) fn mark_leaving(&self, target: &Target) {
        let news = self.view.borrow_mut().mark_leaving(target, Instant::now());
        if news {
            log::info!(target_id = target.id.as_str(); "target says that it is leaving");
            self.apply_targets_change();
        }
    }

    /// Removes targets that have been missing from the list for too long.
    pub(crate) fn expire_targets(&self, now: Instant) {
        let expired = self.view.borrow_mut().expire(now);
        if expired {
            let count = self.view.borrow().targets.len();
            log::info!(count; "targets missing for good");
            self.apply_targets_change();
        }
    }

    /// Updates everything that is derived from the target list.
    fn apply_targets_change(&self) {
        let mut view = self.view.borrow_mut();
        let local = view
            .targets
            .find_at(self.cfg.target, &self.cfg.service)
            .cloned();
        let start = |target: &Target| (target.id.clone(), target.started_ms);
        let before = view.local_target.as_ref().map(start);
        let is_replaced = before.is_some() && before != local.as_ref().map(start);
        view.local_target = local;
        view.local_target_was_listed |= view.local_target.is_some();
        drop(view);
        if is_replaced {
            self.admission.record_restart();
        }
        let view = self.view.borrow();
        self.daemon_locations
            .replace(DaemonLocations::from_targets(&view.targets));
        drop(view);
        self.set_readers(&self.view.borrow().targets);
        let daemon_locations = self.daemon_locations.borrow();
        self.known_daemons
            .retain(|daemon| daemon_locations.by_ip.contains_key(&daemon.ip()));
        drop(daemon_locations);
        self.reconfigure_gate();
        let now = Instant::now().into_std();
        for (name, state) in self.services.borrow_mut().iter_mut() {
            state.update(&self.candidates(name), now);
        }
    }

    /// Determines the readers from a target list.
    pub(crate) fn set_readers(&self, targets: &Targets) {
        let readers = Readers::of(targets, &self.cfg.data_centre, self.cfg.target.ip());
        let is_reader = readers.is_reader();
        if self.readers.replace(readers).is_reader() != is_reader {
            log::info!(is_reader; "reader role changed");
        }
    }

    /// Calls `f` with the state of a service, which is created on first use.
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
        let own_id = InstanceId::from(self.cfg.name.clone());
        let router_cfg = RouterConfig {
            strategy: RoutingStrategy::LeastCost,
            leaving_ttl: LEAVING_TTL,
            ..RouterConfig::new(own_id, self.cfg.data_centre.clone(), SUBSET_SIZE)
        };
        let mut router = Router::new(router_cfg, rand::random(), now);
        router.update(&candidates, now);
        let bounds = &self.cfg.bounds;
        let resend_budget = ResendBudget::new(bounds.retry_ratio, bounds.retry_window, now);
        let mut state = ServiceState::new(router, resend_budget);
        let result = f(&mut state);
        self.services.borrow_mut().insert(name.clone(), state);
        result
    }

    /// Returns the service that gets the next request of a route, by the weights of its shares;
    /// `None` if the route has no shares.
    pub(crate) fn next_service(&self, route: &routes::Route) -> Option<ServiceName> {
        let mut round_robins = self.round_robins.borrow_mut();
        let round_robin = match round_robins.get_mut(&route.name) {
            Some(round_robin) => round_robin,
            None => round_robins.entry(route.name.clone()).or_default(),
        };
        let index = round_robin.next(&route.shares)?;
        Some(route.shares[index].service.clone())
    }

    /// This daemon's part of the fleet's retry slack, in resends per window.
    pub(crate) fn resend_slack(&self) -> f64 {
        let daemons = u32::try_from(self.view.borrow().targets.len()).unwrap_or(u32::MAX);
        self.cfg.bounds.retry_slack / f64::from(daemons.max(1))
    }

    /// Returns the mesh address of the daemon beside a target.
    pub(crate) fn daemon_address(&self, target: &Target) -> SocketAddr {
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

    /// Adjusts the gate to the slots of the local target and the connection limit of its service.
    fn reconfigure_gate(&self) {
        let view = self.view.borrow();
        let slots = view
            .local_target
            .as_ref()
            .map_or(DEFAULT_SLOTS, |local| local.slots);
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

/// Maps a route's priority to a class; 0 is the most important.
pub(crate) fn class_of_priority(priority: u32) -> Class {
    match priority {
        0 => Class::Critical,
        1 => Class::Standard,
        2 => Class::Browse,
        _ => Class::Bulk,
    }
}

fn gate_config(slots: u32, connections: u32) -> GateConfig {
    GateConfig::new(slots - slots.div_ceil(SPARE_SLOTS_DIVISOR).min(slots / 2))
        .with_connections(connections)
        .with_queue(slots.saturating_mul(WAITERS_PER_SLOT))
        .with_adaptive(false)
        .with_slow_start(false)
        .with_named_rate(true)
}
