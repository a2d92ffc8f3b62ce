//! State that all requests of one daemon share.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::{Duration, Instant};

use fleet::pause::CONFIRM_TIMEOUT;
use fleet::{MemberStanding, View};
use model::{Incarnation, Revision};
use policy::{GateConfig, RefusalPredictor};
use rand::Rng;
use ticket::{CallNumberGenerator, Secret, SourceConfig, SourceWindow, TicketWindow, WindowConfig};
use tokio::sync::watch;

use crate::admission::AdmissionController;
use crate::claim::lock;
use crate::control::{Counters, Freshness};
use crate::edges::Edges;
use crate::execution::Executions;
use crate::leaving::{LeaveReason, LeaveState};
use crate::listen::Connections;
use crate::metrics::Metrics;
use crate::outcomes::Outcomes;
use crate::settings::Settings;
use crate::upstream::Upstream;

/// Idle time after which a connection to this daemon's target is closed. Targets close
/// idle connections after 5 s or more, and a call sent on a connection that the target has
/// just closed would end with an unknown outcome.
const TARGET_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Idle time after which a connection to another daemon is closed; the accepting daemon
/// keeps it open for longer.
const MESH_IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum number of idle connections to one daemon.
const MESH_MAX_IDLE: usize = 64;

/// Interval at which a waiting request checks whether the view is confirmed.
const CONFIRM_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// State and connections of one daemon.
#[derive(Debug)]
pub(crate) struct DaemonState {
    pub(crate) settings: Settings,
    pub(crate) incarnation: Incarnation,
    pub(crate) connections: Connections,
    pub(crate) admission: AdmissionController,
    pub(crate) executions: Executions,
    pub(crate) edges: Edges,
    pub(crate) call_numbers: Mutex<CallNumberGenerator>,
    /// Connections to this daemon's target.
    pub(crate) target: Upstream,
    /// Connections to other daemons.
    pub(crate) mesh: Upstream,
    pub(crate) metrics: Metrics,
    pub(crate) outcomes: Arc<Outcomes>,
    pub(crate) freshness: Freshness,
    pub(crate) leaving: LeaveState,
    /// When a planned stop that has begun ends, whatever is left.
    pub(crate) stop_end: OnceLock<Instant>,
    pub(crate) control_counters: Arc<Counters>,
    refusal_predictor: Mutex<RefusalPredictor>,
    tickets: Mutex<TicketWindow>,
    sources: Mutex<SourceWindow>,
    view: watch::Receiver<View>,
    in_flight: AtomicUsize,
}

impl DaemonState {
    pub(crate) fn new(settings: Settings, view: watch::Receiver<View>, now: Instant) -> Self {
        let mut rng = rand::rng();
        let identity = settings.identity.clone();
        let incarnation = Incarnation::from(rng.random::<u64>());
        let secret = Secret::new(rng.random());
        let window = WindowConfig::default();
        let control_counters = Arc::new(Counters::default());
        DaemonState {
            incarnation,
            connections: Connections::default(),
            admission: AdmissionController::new(GateConfig::new(1), now),
            executions: Executions::default(),
            edges: Edges::new(identity.clone(), rng.random()),
            call_numbers: CallNumberGenerator::new(identity.id.clone(), incarnation).into(),
            target: Upstream::new(TARGET_IDLE_TIMEOUT, usize::MAX),
            mesh: Upstream::new(MESH_IDLE_TIMEOUT, MESH_MAX_IDLE),
            outcomes: Arc::new(Outcomes::new(now)),
            metrics: Metrics::new(&identity, &control_counters),
            freshness: Freshness::new(now),
            leaving: LeaveState::default(),
            stop_end: OnceLock::new(),
            control_counters,
            refusal_predictor: Mutex::default(),
            tickets: TicketWindow::new(identity.id, incarnation, secret, window).into(),
            sources: SourceWindow::new(SourceConfig::default()).into(),
            view,
            in_flight: AtomicUsize::new(0),
            settings,
        }
    }

    /// Returns the current view of the fleet. A request uses one view from start to end.
    pub(crate) fn view(&self) -> View {
        self.view.borrow().clone()
    }

    /// Waits until the view is confirmed after a pause of the process.
    ///
    /// Returns after [`CONFIRM_TIMEOUT`] in any case, so that a daemon that reaches no other
    /// continues with the view that it has.
    pub(crate) async fn wait_for_confirmed_view(&self) {
        let started = Instant::now();
        while self.freshness.is_stale(Instant::now()) && started.elapsed() < CONFIRM_TIMEOUT {
            tokio::time::sleep(CONFIRM_CHECK_INTERVAL).await;
        }
    }

    /// Applies each new view of the fleet: the limits, the edges with their retry shares, and
    /// whether this instance is listed as leaving.
    pub(crate) async fn apply_view_changes(self: Arc<Self>) {
        let mut view = self.view.clone();
        let mut applied: Option<Revision> = None;
        loop {
            let current = view.borrow_and_update().clone();
            self.apply(&current, Instant::now());
            let revision = current.index.as_ref().map(|i| i.document().revision);
            if revision != applied {
                // Operation keys are valid only within one revision of the document.
                self.refusal_predictor().clear();
                applied = revision;
            }
            if view.changed().await.is_err() {
                return;
            }
        }
    }

    fn apply(&self, view: &View, now: Instant) {
        self.edges.update(view, now);
        let own = &self.settings.identity.id;
        let listed = view.members.iter().find(|member| member.id == *own);
        if let Some(member) = listed {
            let leaving = member.standing == MemberStanding::Leaving;
            self.leaving.set(LeaveReason::List, leaving);
        }
        let Some(index) = &view.index else {
            return;
        };
        let Some(key) = index.service_key(self.settings.identity.service.as_str()) else {
            return;
        };
        let service = index.service(key);
        let goal = index.document().goal;
        let cfg = self.settings.features.gate_config(service, goal);
        self.admission.reconfigure(cfg, now);
    }

    /// True if this instance may get requests of callers: it has a configuration and an
    /// instance list, and is not leaving.
    pub(crate) fn is_ready(&self) -> bool {
        let view = self.view.borrow();
        view.index.is_some() && !view.members.is_empty() && !self.is_leaving()
    }

    /// True if this daemon's target gets no new work.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.is_leaving()
    }

    /// True if this daemon stops before a call has surely ended.
    pub(crate) fn stops_before(&self, deadline: Instant) -> bool {
        self.stop_end.get().is_some_and(|end| deadline > *end)
    }

    /// Counts a request until the guard is dropped.
    pub(crate) fn count_in_flight(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlight(Arc::clone(self))
    }

    /// Number of requests that are not fully answered.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Locks the predictor of refusals by callees.
    pub(crate) fn refusal_predictor(&self) -> MutexGuard<'_, RefusalPredictor> {
        lock(&self.refusal_predictor)
    }

    /// Locks the tickets of this incarnation.
    pub(crate) fn tickets(&self) -> MutexGuard<'_, TicketWindow> {
        lock(&self.tickets)
    }

    /// Locks the record of the numbered calls from other daemons.
    pub(crate) fn sources(&self) -> MutexGuard<'_, SourceWindow> {
        lock(&self.sources)
    }
}

/// One request that is not fully answered.
#[derive(Debug)]
pub(crate) struct InFlight(Arc<DaemonState>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
