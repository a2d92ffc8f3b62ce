//! Selection of the instance that receives a call.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use model::{Class, DataCentre, InstanceId, Refusal, RefusalReason};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use slotmap::SlotMap;

use crate::acceptance::SpareCapacity;
use crate::candidate::{
    CallOutcome, Candidate, InstanceKey, InstanceStatus, Pick, RouterConfig, RoutingStrategy,
};
use crate::cost::{DEFAULT_RUN_TIME, ServiceAverages, cost};
use crate::eject::{FULL_SHARE, Health, may_eject};
use crate::instance::Instance;
use crate::load::Load;
use crate::scale::jitter;
use crate::subset::{keep_best, rank};

/// Shortest retry-after time of a refusal, before jitter.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(10);
/// Retry-after time of a refusal when no instance is known, before jitter.
const NO_INSTANCE_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Chooses, for one service, the instance that takes each call.
///
/// With [`RoutingStrategy::LocalFirst`], it draws two instances of the subset in the local data
/// centre and takes the one with the lower expected latency. If that one reports no free slot,
/// the call may spill over to another data centre, in proportion to the slots free there. With
/// [`RoutingStrategy::LeastCost`], it takes the instance with the least expected cost.
#[derive(Debug)]
pub struct Router {
    cfg: RouterConfig,
    rng: SmallRng,
    instances: SlotMap<InstanceKey, Instance>,
    keys: HashMap<InstanceId, InstanceKey>,
    local: Vec<InstanceKey>,
    remote: Vec<InstanceKey>,
    suspect: Vec<InstanceKey>,
    /// When the first of the instances' own reports that they are leaving expires.
    next_leaving_expiry: Option<Instant>,
}

impl Router {
    /// Creates a router without instances; `seed` seeds its random choices.
    #[must_use]
    pub fn new(cfg: RouterConfig, seed: u64, _now: Instant) -> Self {
        Router {
            cfg,
            rng: SmallRng::seed_from_u64(seed),
            instances: SlotMap::with_key(),
            keys: HashMap::new(),
            local: Vec::new(),
            remote: Vec::new(),
            suspect: Vec::new(),
            next_leaving_expiry: None,
        }
    }

    /// Replaces the instances of the service by those of a view.
    pub fn update(&mut self, candidates: &[Candidate], now: Instant) {
        let first = self.instances.is_empty();
        let mut known = std::mem::take(&mut self.keys);
        for candidate in candidates {
            let key = match known.remove(&candidate.id) {
                Some(key) => key,
                None => self.insert(candidate, first, now),
            };
            let instance = &mut self.instances[key];
            instance.data_centre = candidate.data_centre.clone();
            instance.set_status(candidate.status, self.cfg.leaving_ttl, now);
            self.keys.insert(candidate.id.clone(), key);
        }
        for key in known.into_values() {
            self.instances.remove(key);
        }
        self.rebuild_subset();
    }

    /// Picks an instance that isn't excluded and counts the call as in flight there.
    pub fn pick(&mut self, class: Class, exclude: &[InstanceKey], now: Instant) -> Pick {
        self.expire_leaving(now);
        let chosen = self.choose(class, exclude, now);
        match chosen {
            Ok(key) => {
                self.instances[key].record_sent(now);
                Pick::Chosen(key)
            }
            Err(refusal) => Pick::Refuse(refusal),
        }
    }

    /// Records how a call ended, with its latency and the load that the answer reported. Does
    /// nothing if the instance has been removed.
    pub fn finish(
        &mut self,
        key: InstanceKey,
        outcome: CallOutcome,
        latency: Duration,
        load: Option<Load>,
        now: Instant,
    ) {
        let Some(instance) = self.instances.get_mut(key) else {
            return;
        };
        // A caller that gives up while the instance answers nothing at all isn't at fault.
        let blame_if_unresponsive =
            outcome == CallOutcome::Cancelled && self.cfg.strategy == RoutingStrategy::LeastCost;
        let outcome = if blame_if_unresponsive && instance.is_unresponsive(DEFAULT_RUN_TIME, now) {
            CallOutcome::TimedOut
        } else {
            outcome
        };
        instance.in_flight = instance.in_flight.saturating_sub(1);
        if let Some(load) = load {
            instance.record_load(load, now);
        }
        if let Some(failed) = outcome.is_failure() {
            instance.failure_score.record(failed, now);
        }
        match outcome {
            CallOutcome::Answered => {
                instance.error_rate.record(false, now);
                instance.record_answer(latency, now);
            }
            CallOutcome::ServerError => {
                instance.error_rate.record(true, now);
                instance.record_answer(latency, now);
            }
            CallOutcome::NotRun(RefusalReason::Leaving) => {
                instance.mark_leaving(now);
                let at = now + self.cfg.leaving_ttl;
                self.next_leaving_expiry =
                    Some(self.next_leaving_expiry.map_or(at, |first| first.min(at)));
                self.rebuild_subset();
            }
            CallOutcome::NotRun(RefusalReason::NoInstance | RefusalReason::NotReady)
            | CallOutcome::Unknown
            | CallOutcome::TimedOut => self.record_failure(key, now),
            CallOutcome::NotRun(_) | CallOutcome::TargetRefused | CallOutcome::Cancelled => {}
        }
    }

    /// Records that an answer which was counted as whole turned out to be faulty. Does nothing if the
    /// instance has been removed.
    pub fn record_faulty_answer(&mut self, key: InstanceKey, now: Instant) {
        if let Some(instance) = self.instances.get_mut(key) {
            instance.failure_score.record(true, now);
            instance.error_rate.record(true, now);
        }
    }

    /// Decaying average of an instance's recent failures, in thousandths; zero if the instance has
    /// been removed.
    #[must_use]
    pub fn failure_score(&self, key: InstanceKey, now: Instant) -> u64 {
        let instance = self.instances.get(key);
        instance.map_or(0, |instance| instance.failure_score.thousandths(now))
    }

    /// Mean run time in an instance, as it last reported.
    #[must_use]
    pub fn run_time(&self, key: InstanceKey) -> Option<Duration> {
        self.instances.get(key)?.run_time
    }

    /// Time in which a call would start in an instance, by the load that it last reported.
    #[must_use]
    pub fn queue_delay(&self, key: InstanceKey, now: Instant) -> Duration {
        let instance = self.instances.get(key);
        let load = instance.and_then(|instance| instance.fresh_load(now));
        load.map_or(Duration::ZERO, |load| load.queue_delay)
    }

    /// Records the mean run time that an instance reports; zero means unknown.
    pub fn report_run_time(&mut self, key: InstanceKey, time: Duration) {
        if let Some(instance) = self.instances.get_mut(key) {
            instance.run_time = Some(time).filter(|time| !time.is_zero());
        }
    }

    /// Records whether the target of an instance named a rate that it takes with its answer.
    pub fn report_named_rate(&mut self, key: InstanceKey, names_rate: bool) {
        if let Some(instance) = self.instances.get_mut(key) {
            instance.names_rate = names_rate;
        }
    }

    /// Spare capacity that the instances of the local data centre report in total. If it has no
    /// instances, those of the other data centres count instead.
    #[must_use]
    pub fn spare_capacity(&self, now: Instant) -> SpareCapacity {
        /// The capacity is ample if more than this part of the limit is free, as a divisor.
        const AMPLE_DIVISOR: u32 = 4;
        /// The capacity is limited, but not exhausted, if no more calls are queued than this part
        /// of the limit, as a divisor.
        const LIMITED_DIVISOR: u32 = 1;

        let (mut limit, mut free, mut queued) = (0, 0, 0);
        let list = if self.local.is_empty() {
            &self.remote
        } else {
            &self.local
        };
        for key in list {
            if let Some(load) = self.instances[*key].fresh_load(now) {
                limit += load.limit;
                free += load.free();
                queued += load.queued;
            }
        }
        if limit == 0 {
            SpareCapacity::Unknown
        } else if free > limit / AMPLE_DIVISOR {
            SpareCapacity::Ample
        } else if queued <= limit / LIMITED_DIVISOR {
            SpareCapacity::Limited
        } else {
            SpareCapacity::None
        }
    }

    /// Id of an instance; `None` if it has been removed.
    #[must_use]
    pub fn instance(&self, key: InstanceKey) -> Option<&InstanceId> {
        self.instances.get(key).map(|instance| &instance.id)
    }

    /// Data centre of an instance; `None` if it has been removed.
    #[must_use]
    pub fn data_centre(&self, key: InstanceKey) -> Option<&DataCentre> {
        self.instances
            .get(key)
            .map(|instance| &instance.data_centre)
    }

    fn insert(&mut self, candidate: &Candidate, first: bool, now: Instant) -> InstanceKey {
        let health = if first {
            Health::healthy()
        } else {
            Health::ramping(now)
        };
        let rank = rank(&self.cfg.own_id, &candidate.id);
        self.instances
            .insert(Instance::new(candidate, rank, health))
    }

    /// Uses instances again that reported to be leaving and are still listed after the TTL.
    fn expire_leaving(&mut self, now: Instant) {
        if self.next_leaving_expiry.is_none_or(|at| now < at) {
            return;
        }
        let ttl = self.cfg.leaving_ttl;
        let expiries = self
            .instances
            .values_mut()
            .map(|i| i.expire_leaving(ttl, now));
        self.next_leaving_expiry = expiries.flatten().min();
        self.rebuild_subset();
    }

    /// Rebuilds the lists of local, remote and suspect instances that calls may go to.
    fn rebuild_subset(&mut self) {
        self.local.clear();
        self.remote.clear();
        self.suspect.clear();
        for (key, instance) in &self.instances {
            let local = instance.data_centre == self.cfg.data_centre;
            match instance.status() {
                InstanceStatus::Live if local => self.local.push(key),
                InstanceStatus::Live => self.remote.push(key),
                InstanceStatus::Suspect => self.suspect.push(key),
                InstanceStatus::Leaving => {}
            }
        }
        for list in [&mut self.local, &mut self.remote, &mut self.suspect] {
            keep_best(list, self.cfg.subset, |&key| self.instances[key].rank);
        }
    }

    fn choose(
        &mut self,
        class: Class,
        exclude: &[InstanceKey],
        now: Instant,
    ) -> Result<InstanceKey, Refusal> {
        let call = Call {
            class,
            exclude,
            now,
        };
        if self.cfg.strategy == RoutingStrategy::LeastCost {
            return self
                .least_cost(call)
                .or_else(|| self.draw(List::Suspect, call))
                .ok_or_else(|| self.refusal(call));
        }
        let local = self.draw(List::Local, call);
        if let Some(key) = local
            && self.instances[key].free_slots(now) != Some(0)
        {
            return Ok(key);
        }
        self.spill(local.is_some(), call)
            .or(local)
            .or_else(|| self.draw(List::Remote, call))
            .or_else(|| self.draw(List::Suspect, call))
            .ok_or_else(|| self.refusal(call))
    }

    /// Returns the instance with the least cost among those of the local data centre and a few remote
    /// ones.
    ///
    /// Only a random sample of the remote instances is considered, so that daemons with the same
    /// view don't all choose the same one. An instance that is ramping up is skipped for the part
    /// of the calls that exceeds its share.
    fn least_cost(&mut self, call: Call<'_>) -> Option<InstanceKey> {
        /// Remote instances considered for one call.
        const REMOTE_SAMPLES: usize = 2;

        let admits = |key: &&InstanceKey| !call.exclude.contains(key);
        let remote: Vec<InstanceKey> = self.remote.iter().filter(admits).copied().collect();
        let mut candidates: Vec<(InstanceKey, bool)> = self
            .local
            .iter()
            .filter(admits)
            .map(|&key| (key, true))
            .collect();
        for index in rand::seq::index::sample(
            &mut self.rng,
            remote.len(),
            REMOTE_SAMPLES.min(remote.len()),
        ) {
            candidates.push((remote[index], false));
        }
        let at = self.rng.random_range(0..FULL_SHARE);
        let instances = &self.instances;
        let averages = ServiceAverages::of(instances.values(), call.now);
        let best = |by_share: bool| {
            candidates
                .iter()
                .filter(|(key, _)| !by_share || at < instances[*key].health.share(call.now))
                .min_by_key(|(key, local)| cost(&instances[*key], *local, averages, call.now))
                .map(|(key, _)| *key)
        };
        best(true).or_else(|| best(false))
    }

    /// Draws two instances of a list and returns the better one.
    ///
    /// An ejected instance is returned only if no other admits the call.
    fn draw(&mut self, list: List, call: Call<'_>) -> Option<InstanceKey> {
        let list = match list {
            List::Local => &self.local,
            List::Remote => &self.remote,
            List::Suspect => &self.suspect,
        };
        let instances = &self.instances;
        let admits = |key: &&InstanceKey| call.admits(**key, &instances[**key]);
        let usable =
            |key: &&InstanceKey| admits(key) && !instances[**key].health.is_ejected(call.now);
        let count = list.iter().filter(usable).count();
        if count == 0 {
            return list.iter().find(admits).copied();
        }
        let first = self.rng.random_range(0..count);
        let one = *list.iter().filter(usable).nth(first)?;
        if count == 1 {
            return Some(one);
        }
        let second = (first + self.rng.random_range(1..count)) % count;
        let other = *list.iter().filter(usable).nth(second)?;
        Some(self.better_of(one, other, call.now))
    }

    /// Returns the instance with the lower latency cost, unless it is ramping up and exceeds its
    /// share.
    fn better_of(&mut self, one: InstanceKey, other: InstanceKey, now: Instant) -> InstanceKey {
        let instances = &self.instances;
        let one_share = instances[one].health.share(now);
        let other_share = instances[other].health.share(now);
        let at = self.rng.random_range(0..FULL_SHARE);
        let one_admitted = at < one_share;
        let other_admitted = at < other_share;
        if one_admitted != other_admitted {
            return if one_admitted { one } else { other };
        }
        if instances[other].latency_cost(now) < instances[one].latency_cost(now) {
            other
        } else {
            one
        }
    }

    /// Draws a remote instance, weighted by its free slots against the capacity of the local data
    /// centre; `None` if the call stays there. That capacity counts only if `may_stay_local`.
    fn spill(&mut self, may_stay_local: bool, call: Call<'_>) -> Option<InstanceKey> {
        let instances = &self.instances;
        let weight = |key: &InstanceKey| {
            let instance = &instances[*key];
            let usable = call.admits(*key, instance) && !instance.health.is_ejected(call.now);
            if usable {
                instance.spill_weight(call.now)
            } else {
                0
            }
        };
        let remote: u32 = self.remote.iter().map(weight).sum();
        if remote == 0 {
            return None;
        }
        let local = self
            .local
            .iter()
            .map(|&key| instances[key].local_weight(call.now));
        let stay: u32 = if may_stay_local { local.sum() } else { 0 };
        let mut at = self.rng.random_range(0..remote.saturating_add(stay));
        for key in &self.remote {
            let weight = weight(key);
            if at < weight {
                return Some(*key);
            }
            at -= weight;
        }
        None
    }

    /// Builds a refusal whose retry-after time is the shortest drain time of the instances that
    /// aren't excluded.
    fn refusal(&mut self, call: Call<'_>) -> Refusal {
        let drain = [&self.local, &self.remote, &self.suspect]
            .into_iter()
            .flatten()
            .filter(|key| !call.exclude.contains(key))
            .map(|&key| self.instances[key].queue_delay())
            .min();
        let (reason, delay) = match drain {
            Some(drain) => (RefusalReason::Overloaded, drain.max(MIN_RETRY_AFTER)),
            None => (RefusalReason::NoInstance, NO_INSTANCE_RETRY_AFTER),
        };
        Refusal {
            reason,
            retry_after: jitter(delay, self.rng.random()),
        }
    }

    /// Counts a failure and ejects the instance if it has failed too often in a row. Does nothing
    /// under [`RoutingStrategy::LeastCost`], which has the failure score.
    fn record_failure(&mut self, key: InstanceKey, now: Instant) {
        if self.cfg.strategy == RoutingStrategy::LeastCost {
            return;
        }
        if !self.instances[key].health.record_failure() {
            return;
        }
        let list = if self.local.contains(&key) {
            &self.local
        } else {
            &self.remote
        };
        let ejected = list
            .iter()
            .filter(|&&key| self.instances[key].health.is_ejected(now))
            .count();
        if may_eject(ejected, list.len()) {
            self.instances[key].health.eject(now);
        }
    }
}

/// Call that is to be routed.
#[derive(Clone, Copy, Debug)]
struct Call<'a> {
    class: Class,
    exclude: &'a [InstanceKey],
    now: Instant,
}

impl Call<'_> {
    /// True if the instance isn't excluded and isn't known to shed the call.
    fn admits(&self, key: InstanceKey, instance: &Instance) -> bool {
        !self.exclude.contains(&key) && !instance.sheds(self.class, self.now)
    }
}

/// List of instances from which one is drawn.
#[derive(Clone, Copy, Debug)]
enum List {
    Local,
    Remote,
    Suspect,
}
