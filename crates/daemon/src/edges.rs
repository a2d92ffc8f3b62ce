//! The edges from this daemon to the services that it calls: instance selection and retry
//! limits.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use config::Operation;
use fleet::{Member, MemberStanding, View};
use model::{Class, InstanceId, OperationName, Refusal, RefusalReason, ServiceName};
use policy::{
    AnswerTime, CallOutcome, Candidate, EdgeRetries, InstanceKey, InstanceStatus, Load, Pick,
    Router, RouterConfig, SpareCapacity,
};

use crate::settings::Identity;

/// Number of instances of one service that a daemon keeps connections to.
const SUBSET_SIZE: usize = 16;
/// Time after a refusal for overload during which no call on the edge is retried.
const SHEDDING_TIME: Duration = Duration::from_millis(500);

/// Time for which an instance that could not be reached is avoided, if there are others.
const UNREACHED_AVOIDANCE: Duration = Duration::from_secs(1);

/// An instance selected for one try.
#[derive(Clone, Debug)]
pub(crate) struct SelectedInstance {
    /// Key in the router; `None` if a ticket names the instance.
    pub(crate) key: Option<InstanceKey>,
    pub(crate) address: SocketAddr,
}

/// One router and one retry limit for each service that is called.
///
/// A daemon calls only a few of the fleet's services, so an update of the view is applied
/// to those only. The edge of any other service is created from the view at its first call.
#[derive(Debug)]
pub(crate) struct Edges {
    identity: Identity,
    seed: u64,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    view: View,
    edges: HashMap<ServiceName, Edge>,
}

#[derive(Debug)]
struct Edge {
    router: Router,
    retries: EdgeRetries,
    addresses: HashMap<InstanceId, SocketAddr>,
    last_shed_at: Option<Instant>,
    /// For each instance that could not be reached: the first failure since its last answer.
    unreached: HashMap<InstanceKey, Instant>,
    answer_times: HashMap<OperationName, AnswerTime>,
}

impl Edge {
    fn update(&mut self, members: &[&Member], percent: u16, now: Instant) {
        let candidates: Vec<Candidate> = members.iter().filter_map(|m| candidate(m)).collect();
        self.router.update(&candidates, now);
        self.retries.reconfigure(percent);
        self.addresses = members.iter().map(|m| (m.id.clone(), m.mesh)).collect();
    }

    /// Selects an instance that was reachable recently, or any other if there is none.
    fn pick(&mut self, class: Class, tried: &[InstanceKey], now: Instant) -> Pick {
        self.unreached
            .retain(|_, since| now.saturating_duration_since(*since) < UNREACHED_AVOIDANCE);
        if self.unreached.is_empty() {
            return self.router.pick(class, tried, now);
        }
        let unreached = self.unreached.keys().copied();
        let avoided: Vec<InstanceKey> = tried.iter().copied().chain(unreached).collect();
        match self.router.pick(class, &avoided, now) {
            Pick::Refuse(_) => self.router.pick(class, tried, now),
            chosen @ Pick::Chosen(_) => chosen,
        }
    }

    fn is_shedding(&self, now: Instant) -> bool {
        let age = |at| now.saturating_duration_since(at);
        self.last_shed_at.is_some_and(|at| age(at) < SHEDDING_TIME)
    }
}

impl Edges {
    pub(crate) fn new(identity: Identity, seed: u64) -> Self {
        Edges {
            identity,
            seed,
            state: Mutex::default(),
        }
    }

    /// Applies a new view of the fleet.
    pub(crate) fn update(&self, view: &View, now: Instant) {
        let mut state = self.lock();
        let percent = retry_percent(view);
        let called = state
            .edges
            .keys()
            .cloned()
            .map(|service| (service, Vec::new()));
        let mut by_service: HashMap<ServiceName, Vec<&Member>> = called.collect();
        for member in view.members.iter() {
            if let Some(members) = by_service.get_mut(&member.service) {
                members.push(member);
            }
        }
        for (service, members) in by_service {
            if members.is_empty() {
                state.edges.remove(&service);
            } else if let Some(edge) = state.edges.get_mut(&service) {
                edge.update(&members, percent, now);
            }
        }
        state.view = view.clone();
    }

    /// Selects an instance other than those tried before.
    pub(crate) fn pick(
        &self,
        service: &ServiceName,
        class: Class,
        tried: &[InstanceKey],
        now: Instant,
    ) -> Result<SelectedInstance, Refusal> {
        let mut state = self.lock();
        let Some(edge) = self.edge_or_insert(&mut state, service, now) else {
            return Err(no_instance());
        };
        let key = match edge.pick(class, tried, now) {
            Pick::Chosen(key) => key,
            Pick::Refuse(refusal) => {
                if refusal.reason == RefusalReason::Overloaded {
                    edge.last_shed_at = Some(now);
                }
                return Err(refusal);
            }
        };
        let id = edge.router.instance(key);
        let address = id.and_then(|id| edge.addresses.get(id)).copied();
        let key = Some(key);
        address
            .map(|address| SelectedInstance { key, address })
            .ok_or_else(no_instance)
    }

    /// Returns the instance that a ticket names; `None` if it is not in the view.
    pub(crate) fn find_instance(
        &self,
        service: &ServiceName,
        id: &InstanceId,
        now: Instant,
    ) -> Option<SelectedInstance> {
        let mut state = self.lock();
        let edge = self.edge_or_insert(&mut state, service, now)?;
        let address = *edge.addresses.get(id)?;
        Some(SelectedInstance { key: None, address })
    }

    /// Records the outcome of a try.
    pub(crate) fn finish(
        &self,
        service: &ServiceName,
        selected: &SelectedInstance,
        outcome: CallOutcome,
        latency: Duration,
        load: Option<Load>,
        now: Instant,
    ) {
        let mut state = self.lock();
        let Some(edge) = state.edges.get_mut(service) else {
            return;
        };
        if matches!(
            outcome,
            CallOutcome::NotRun(RefusalReason::Overloaded | RefusalReason::Evicted)
        ) {
            edge.last_shed_at = Some(now);
        }
        if let Some(key) = selected.key {
            match outcome {
                CallOutcome::Answered => {
                    edge.unreached.remove(&key);
                }
                CallOutcome::NotRun(RefusalReason::NoInstance) => {
                    edge.unreached.entry(key).or_insert(now);
                }
                _ => {}
            }
            edge.router.finish(key, outcome, latency, load, now);
        }
    }

    /// True if the instance was not known to be unreachable when a failed call was sent.
    ///
    /// False while the edge sheds, so that no retry is borrowed for such a failure then.
    pub(crate) fn is_new_failure(
        &self,
        service: &ServiceName,
        selected: &SelectedInstance,
        sent_at: Instant,
    ) -> bool {
        let state = self.lock();
        let Some(edge) = state.edges.get(service) else {
            return false;
        };
        let since = selected
            .key
            .and_then(|key| edge.unreached.get(&key).copied());
        !edge.is_shedding(sent_at) && since.is_none_or(|since| sent_at <= since)
    }

    /// Spare capacity that the instances of a service report.
    pub(crate) fn spare_capacity(&self, service: &ServiceName, now: Instant) -> SpareCapacity {
        let state = self.lock();
        let edge = state.edges.get(service);
        edge.map_or(SpareCapacity::Unknown, |edge| {
            edge.router.spare_capacity(now)
        })
    }

    /// Records the time after which a call to an operation was answered.
    pub(crate) fn record_answer_time(
        &self,
        service: &ServiceName,
        operation: &Operation,
        latency: Duration,
    ) {
        if let Some(edge) = self.lock().edges.get_mut(service) {
            let name = operation.name.clone();
            edge.answer_times.entry(name).or_default().record(latency);
        }
    }

    /// True if the wait for an answer of an operation is long enough to count as a failure.
    pub(crate) fn is_overdue(
        &self,
        service: &ServiceName,
        operation: &Operation,
        waited: Duration,
    ) -> bool {
        let state = self.lock();
        let edge = state.edges.get(service);
        let time = edge.and_then(|edge| edge.answer_times.get(&operation.name));
        time.is_some_and(|time| time.is_overdue(waited))
    }

    /// Counts a first try on the edge to a service.
    pub(crate) fn record_first_try(&self, service: &ServiceName, now: Instant) {
        if let Some(edge) = self.edge_or_insert(&mut self.lock(), service, now) {
            edge.retries.record_first_try(now);
        }
    }

    /// Spends one retry of the edge; false if none is left or while the edge sheds.
    pub(crate) fn spend_retry(&self, service: &ServiceName, now: Instant) -> bool {
        let mut state = self.lock();
        state.edges.get_mut(service).is_some_and(|edge| {
            let shedding = edge.is_shedding(now);
            edge.retries.try_spend(shedding, now)
        })
    }

    /// Spends or borrows one retry of the edge, for a try at another instance after one that
    /// cost the callee nothing; false if no more may be borrowed.
    pub(crate) fn spend_or_borrow_retry(&self, service: &ServiceName, now: Instant) -> bool {
        self.lock()
            .edges
            .get_mut(service)
            .is_some_and(|edge| edge.retries.spend_or_borrow(now))
    }

    /// Returns the edge to a service, created on the first call; `None` if no instance of the
    /// service is in the view.
    fn edge_or_insert<'a>(
        &self,
        state: &'a mut State,
        service: &ServiceName,
        now: Instant,
    ) -> Option<&'a mut Edge> {
        let State { view, edges } = state;
        if !edges.contains_key(service) {
            let offers = |m: &&Member| m.service == *service;
            let members: Vec<&Member> = view.members.iter().filter(offers).collect();
            if members.is_empty() {
                return None;
            }
            let percent = retry_percent(view);
            let mut edge = Edge {
                router: Router::new(self.router_config(), self.seed, now),
                retries: EdgeRetries::new(percent, now),
                addresses: HashMap::new(),
                last_shed_at: None,
                unreached: HashMap::new(),
                answer_times: HashMap::new(),
            };
            edge.update(&members, percent, now);
            edges.insert(service.clone(), edge);
        }
        edges.get_mut(service)
    }

    fn router_config(&self) -> RouterConfig {
        let Identity {
            id, data_centre, ..
        } = &self.identity;
        RouterConfig::new(id.clone(), data_centre.clone(), SUBSET_SIZE)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn retry_percent(view: &View) -> u16 {
    let index = view.index.as_ref();
    index.map_or(0, |index| index.document().retry_percent)
}

fn candidate(member: &Member) -> Option<Candidate> {
    let status = match member.standing {
        MemberStanding::Live => InstanceStatus::Live,
        MemberStanding::Suspect => InstanceStatus::Suspect,
        MemberStanding::Leaving => InstanceStatus::Leaving,
        MemberStanding::Dead => return None,
    };
    Some(Candidate {
        id: member.id.clone(),
        data_centre: member.data_centre.clone(),
        status,
    })
}

fn no_instance() -> Refusal {
    Refusal {
        reason: RefusalReason::NoInstance,
        retry_after: Duration::from_millis(500),
    }
}
