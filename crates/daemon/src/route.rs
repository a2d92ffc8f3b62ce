//! Choice of the instance for a call to another service.

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

/// Instances of one service that a daemon keeps connections to.
const SUBSET: usize = 16;
/// Time after a refusal for overload in which the edge carries no retries.
const SHEDDING_LIFE: Duration = Duration::from_millis(500);

/// Time for which an instance that could not be reached is left alone, if others are left.
const GONE_LIFE: Duration = Duration::from_secs(1);

/// An instance chosen for one try.
#[derive(Clone, Debug)]
pub(crate) struct Hop {
    /// Place in the router; `None` if a ticket names the instance.
    pub(crate) key: Option<InstanceKey>,
    pub(crate) mesh: SocketAddr,
}

/// One router and one retry bucket for each service that is called.
///
/// A daemon calls few of the fleet's services, so that a view is taken over for those
/// alone; a service that is called for the first time is looked up in the view then.
#[derive(Debug)]
pub(crate) struct Routes {
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
    shed_at: Option<Instant>,
    /// When each instance that was not reached since its last answer was first not reached.
    gone: HashMap<InstanceKey, Instant>,
    answer_times: HashMap<OperationName, AnswerTime>,
}

impl Edge {
    fn update(&mut self, members: &[&Member], percent: u16, now: Instant) {
        let candidates: Vec<Candidate> = members.iter().filter_map(|m| candidate(m)).collect();
        self.router.update(&candidates, now);
        self.retries.reconfigure(percent);
        self.addresses = members.iter().map(|m| (m.id.clone(), m.mesh)).collect();
    }

    /// Chooses an instance that was not found gone lately, if there is one.
    fn pick(&mut self, class: Class, tried: &[InstanceKey], now: Instant) -> Pick {
        self.gone
            .retain(|_, since| now.saturating_duration_since(*since) < GONE_LIFE);
        if self.gone.is_empty() {
            return self.router.pick(class, tried, now);
        }
        let gone = self.gone.keys().copied();
        let avoided: Vec<InstanceKey> = tried.iter().copied().chain(gone).collect();
        match self.router.pick(class, &avoided, now) {
            Pick::Refuse(_) => self.router.pick(class, tried, now),
            chosen @ Pick::Chosen(_) => chosen,
        }
    }

    fn is_shedding(&self, now: Instant) -> bool {
        let age = |at| now.saturating_duration_since(at);
        self.shed_at.is_some_and(|at| age(at) < SHEDDING_LIFE)
    }
}

impl Routes {
    pub(crate) fn new(identity: Identity, seed: u64) -> Self {
        Routes {
            identity,
            seed,
            state: Mutex::default(),
        }
    }

    /// Takes over a new view of the fleet.
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

    /// Chooses an instance other than those tried before.
    pub(crate) fn pick(
        &self,
        service: &ServiceName,
        class: Class,
        tried: &[InstanceKey],
        now: Instant,
    ) -> Result<Hop, Refusal> {
        let mut state = self.lock();
        let Some(edge) = self.edge(&mut state, service, now) else {
            return Err(no_instance());
        };
        let key = match edge.pick(class, tried, now) {
            Pick::Chosen(key) => key,
            Pick::Refuse(refusal) => {
                if refusal.reason == RefusalReason::Overloaded {
                    edge.shed_at = Some(now);
                }
                return Err(refusal);
            }
        };
        let id = edge.router.instance(key);
        let mesh = id.and_then(|id| edge.addresses.get(id)).copied();
        let key = Some(key);
        mesh.map(|mesh| Hop { key, mesh }).ok_or_else(no_instance)
    }

    /// Finds the instance that a ticket names.
    pub(crate) fn named(
        &self,
        service: &ServiceName,
        id: &InstanceId,
        now: Instant,
    ) -> Option<Hop> {
        let mut state = self.lock();
        let edge = self.edge(&mut state, service, now)?;
        let mesh = *edge.addresses.get(id)?;
        Some(Hop { key: None, mesh })
    }

    /// Notes how a try ended.
    pub(crate) fn finish(
        &self,
        service: &ServiceName,
        hop: &Hop,
        end: CallOutcome,
        latency: Duration,
        load: Option<Load>,
        now: Instant,
    ) {
        let mut state = self.lock();
        let Some(edge) = state.edges.get_mut(service) else {
            return;
        };
        if matches!(
            end,
            CallOutcome::NotRun(RefusalReason::Overloaded | RefusalReason::Evicted)
        ) {
            edge.shed_at = Some(now);
        }
        if let Some(key) = hop.key {
            match end {
                CallOutcome::Answered => {
                    edge.gone.remove(&key);
                }
                CallOutcome::NotRun(RefusalReason::NoInstance) => {
                    edge.gone.entry(key).or_insert(now);
                }
                _ => {}
            }
            edge.router.finish(key, end, latency, load, now);
        }
    }

    /// True if a call could not know that it would not reach the instance: nobody had
    /// failed to when it was sent. An edge that sheds carries no retry for it all the same.
    pub(crate) fn is_news(&self, service: &ServiceName, hop: &Hop, sent_at: Instant) -> bool {
        let state = self.lock();
        let Some(edge) = state.edges.get(service) else {
            return false;
        };
        let since = hop.key.and_then(|key| edge.gone.get(&key).copied());
        !edge.is_shedding(sent_at) && since.is_none_or(|since| sent_at <= since)
    }

    /// Room that the instances of a service report.
    pub(crate) fn room(&self, service: &ServiceName, now: Instant) -> SpareCapacity {
        let state = self.lock();
        let edge = state.edges.get(service);
        edge.map_or(SpareCapacity::Unknown, |edge| {
            edge.router.spare_capacity(now)
        })
    }

    /// Notes that a call to an operation was answered after a time.
    pub(crate) fn note_answered(
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

    /// True if a call to an operation has waited long enough for its answer.
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
    pub(crate) fn first_try(&self, service: &ServiceName, now: Instant) {
        if let Some(edge) = self.edge(&mut self.lock(), service, now) {
            edge.retries.record_first_try(now);
        }
    }

    /// True if the edge to a service may carry one more retry; none while it sheds.
    pub(crate) fn allow_retry(&self, service: &ServiceName, now: Instant) -> bool {
        let mut state = self.lock();
        state.edges.get_mut(service).is_some_and(|edge| {
            let shedding = edge.is_shedding(now);
            edge.retries.try_spend(shedding, now)
        })
    }

    /// True if the edge may carry a try elsewhere after one that cost the callee nothing.
    pub(crate) fn borrow_retry(&self, service: &ServiceName, now: Instant) -> bool {
        self.lock()
            .edges
            .get_mut(service)
            .is_some_and(|edge| edge.retries.spend_or_borrow(now))
    }

    /// The edge to a service, set up on the first call; `None` if nobody offers it.
    fn edge<'a>(
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
                shed_at: None,
                gone: HashMap::new(),
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
        RouterConfig::new(id.clone(), data_centre.clone(), SUBSET)
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
