//! Choice of the instance that takes a call.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use model::{Class, DataCentre, InstanceId, Refusal, RefusalReason};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use slotmap::SlotMap;

use crate::acceptance::Room;
use crate::candidate::{
    CallEnd, Candidate, InstanceKey, InstanceStatus, Pick, RouterConfig, RoutingStrategy,
};
use crate::cost::{ServiceAverages, UNKNOWN_RUN, cost};
use crate::eject::{FULL_SHARE, Health, may_eject};
use crate::instance::Instance;
use crate::load::Load;
use crate::scale::jitter;
use crate::subset::{keep_best, rank};

/// Shortest time after which a refused caller is asked to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(10);
/// Time after which asking again is worth it when no instance is known.
const NO_INSTANCE_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Chooses, for one service, the instance that takes each call.
///
/// Two instances are drawn from the own data centre's part of the subset and the
/// one with less to do is taken. When those report no free slot, the call may
/// spill over to another data centre, in proportion to what is free there.
#[derive(Debug)]
pub struct Router {
    cfg: RouterConfig,
    rng: SmallRng,
    instances: SlotMap<InstanceKey, Instance>,
    keys: HashMap<InstanceId, InstanceKey>,
    near: Vec<InstanceKey>,
    far: Vec<InstanceKey>,
    suspect: Vec<InstanceKey>,
    /// When the word of the first instance that said it leaves is no longer believed.
    return_at: Option<Instant>,
}

impl Router {
    /// Creates a router that knows no instance yet.
    #[must_use]
    pub fn new(cfg: RouterConfig, seed: u64, _now: Instant) -> Self {
        Router {
            cfg,
            rng: SmallRng::seed_from_u64(seed),
            instances: SlotMap::with_key(),
            keys: HashMap::new(),
            near: Vec::new(),
            far: Vec::new(),
            suspect: Vec::new(),
            return_at: None,
        }
    }

    /// Takes over a view of the service's instances.
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
        self.choose_subset();
    }

    /// Chooses an instance, other than the excluded ones, and counts the call there.
    pub fn pick(&mut self, class: Class, exclude: &[InstanceKey], now: Instant) -> Pick {
        self.take_back(now);
        let chosen = self.choose(class, exclude, now);
        match chosen {
            Ok(key) => {
                self.instances[key].sent(now);
                Pick::Chosen(key)
            }
            Err(refusal) => Pick::Refuse(refusal),
        }
    }

    /// Takes note of how a call ended; an instance that is gone is ignored.
    pub fn finish(
        &mut self,
        key: InstanceKey,
        end: CallEnd,
        latency: Duration,
        load: Option<Load>,
        now: Instant,
    ) {
        let Some(instance) = self.instances.get_mut(key) else {
            return;
        };
        // Given up while nothing at all was heard of the instance: that is no fault of the caller.
        let gave_up = end == CallEnd::Cancelled && self.cfg.strategy == RoutingStrategy::LeastCost;
        let end = if gave_up && instance.is_silent(UNKNOWN_RUN, now) {
            CallEnd::Late
        } else {
            end
        };
        instance.in_flight = instance.in_flight.saturating_sub(1);
        if let Some(load) = load {
            instance.report(load, now);
        }
        if let Some(failed) = end.is_failure() {
            instance.failures.record(failed, now);
        }
        match end {
            CallEnd::Answered => instance.answered(latency, now),
            CallEnd::NotRun(RefusalReason::Leaving) => {
                instance.leaves(now);
                let at = now + self.cfg.leaving_ttl;
                self.return_at = Some(self.return_at.map_or(at, |first| first.min(at)));
                self.choose_subset();
            }
            CallEnd::NotRun(RefusalReason::NoInstance | RefusalReason::NotReady)
            | CallEnd::Unknown
            | CallEnd::Late => self.failed(key, now),
            CallEnd::NotRun(_) | CallEnd::TargetRefused | CallEnd::Cancelled => {}
        }
    }

    /// How much is believed of the latest failures of an instance, in thousandths.
    #[must_use]
    pub fn failure_score(&self, key: InstanceKey, now: Instant) -> u64 {
        let instance = self.instances.get(key);
        instance.map_or(0, |instance| instance.failures.thousandths(now))
    }

    /// Mean time of a run in an instance, as it reported.
    #[must_use]
    pub fn run_time(&self, key: InstanceKey) -> Option<Duration> {
        self.instances.get(key)?.run_time
    }

    /// Takes note of the mean time of a run that an instance reports.
    pub fn report_run_time(&mut self, key: InstanceKey, time: Duration) {
        if let Some(instance) = self.instances.get_mut(key) {
            instance.run_time = Some(time).filter(|time| !time.is_zero());
        }
    }

    /// Room that the instances to which calls go first report together.
    #[must_use]
    pub fn room(&self, now: Instant) -> Room {
        /// Part of the slots that counts as plenty when free, as a divisor.
        const PLENTY_DIVISOR: u32 = 4;
        /// Part of the slots that may wait besides while there is room, as a divisor.
        const LITTLE_DIVISOR: u32 = 1;

        let (mut limit, mut free, mut queued) = (0, 0, 0);
        let list = if self.near.is_empty() {
            &self.far
        } else {
            &self.near
        };
        for key in list {
            if let Some(load) = self.instances[*key].fresh_load(now) {
                limit += load.limit;
                free += load.free();
                queued += load.queued;
            }
        }
        if limit == 0 {
            Room::Unknown
        } else if free > limit / PLENTY_DIVISOR {
            Room::Plenty
        } else if queued <= limit / LITTLE_DIVISOR {
            Room::Little
        } else {
            Room::None
        }
    }

    /// The instance behind a key, unless it is gone.
    #[must_use]
    pub fn instance(&self, key: InstanceKey) -> Option<&InstanceId> {
        self.instances.get(key).map(|instance| &instance.id)
    }

    /// Where the instance behind a key runs, unless it is gone.
    #[must_use]
    pub fn data_centre(&self, key: InstanceKey) -> Option<&DataCentre> {
        self.instances
            .get(key)
            .map(|instance| &instance.data_centre)
    }

    fn insert(&mut self, candidate: &Candidate, first: bool, now: Instant) -> InstanceKey {
        let health = if first {
            Health::trusted()
        } else {
            Health::ramping(now)
        };
        let rank = rank(&self.cfg.own, &candidate.id);
        self.instances
            .insert(Instance::new(candidate, rank, health))
    }

    /// Takes back instances that said they leave and are still listed after that.
    fn take_back(&mut self, now: Instant) {
        if self.return_at.is_none_or(|at| now < at) {
            return;
        }
        let life = self.cfg.leaving_ttl;
        let returns = self.instances.values_mut().map(|i| i.take_back(life, now));
        self.return_at = returns.flatten().min();
        self.choose_subset();
    }

    /// Sorts the usable instances into the lists from which calls are drawn.
    fn choose_subset(&mut self) {
        self.near.clear();
        self.far.clear();
        self.suspect.clear();
        for (key, instance) in &self.instances {
            let near = instance.data_centre == self.cfg.data_centre;
            match instance.status() {
                InstanceStatus::Live if near => self.near.push(key),
                InstanceStatus::Live => self.far.push(key),
                InstanceStatus::Suspect => self.suspect.push(key),
                InstanceStatus::Leaving => {}
            }
        }
        for list in [&mut self.near, &mut self.far, &mut self.suspect] {
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
                .soonest(call)
                .or_else(|| self.draw(List::Suspect, call))
                .ok_or_else(|| self.refusal(call));
        }
        let near = self.draw(List::Near, call);
        if let Some(key) = near
            && self.instances[key].free(now) != Some(0)
        {
            return Ok(key);
        }
        self.spill(near.is_some(), call)
            .or(near)
            .or_else(|| self.draw(List::Far, call))
            .or_else(|| self.draw(List::Suspect, call))
            .ok_or_else(|| self.refusal(call))
    }

    /// The instance with the least cost among those of the own data centre and a few others.
    ///
    /// Not all others are looked at, so that daemons with the same view don't all turn to the
    /// same instance. One that ramps up and has had its share is passed over.
    fn soonest(&mut self, call: Call<'_>) -> Option<InstanceKey> {
        /// Instances of other data centres that are looked at.
        const FAR_LOOKS: usize = 2;

        let admits = |key: &&InstanceKey| !call.exclude.contains(key);
        let far: Vec<InstanceKey> = self.far.iter().filter(admits).copied().collect();
        let mut looked: Vec<(InstanceKey, bool)> = self
            .near
            .iter()
            .filter(admits)
            .map(|&key| (key, true))
            .collect();
        for index in rand::seq::index::sample(&mut self.rng, far.len(), FAR_LOOKS.min(far.len())) {
            looked.push((far[index], false));
        }
        let at = self.rng.random_range(0..FULL_SHARE);
        let instances = &self.instances;
        let scale = ServiceAverages::of(instances.values());
        let best = |in_turn: bool| {
            looked
                .iter()
                .filter(|(key, _)| !in_turn || at < instances[*key].health.share(call.now))
                .min_by_key(|(key, near)| cost(&instances[*key], *near, scale, call.now))
                .map(|(key, _)| *key)
        };
        best(true).or_else(|| best(false))
    }

    /// Draws two instances of a list and takes the one with less to do.
    ///
    /// Those that are left alone for their failures are drawn when no other is left.
    fn draw(&mut self, list: List, call: Call<'_>) -> Option<InstanceKey> {
        let list = match list {
            List::Near => &self.near,
            List::Far => &self.far,
            List::Suspect => &self.suspect,
        };
        let instances = &self.instances;
        let admits = |key: &&InstanceKey| call.admits(**key, &instances[**key]);
        let trusted =
            |key: &&InstanceKey| admits(key) && !instances[**key].health.is_ejected(call.now);
        let count = list.iter().filter(trusted).count();
        if count == 0 {
            return list.iter().find(admits).copied();
        }
        let first = self.rng.random_range(0..count);
        let one = *list.iter().filter(trusted).nth(first)?;
        if count == 1 {
            return Some(one);
        }
        let second = (first + self.rng.random_range(1..count)) % count;
        let other = *list.iter().filter(trusted).nth(second)?;
        Some(self.better_of(one, other, call.now))
    }

    /// The one with less to do, unless it ramps up and has had its share.
    fn better_of(&mut self, one: InstanceKey, other: InstanceKey, now: Instant) -> InstanceKey {
        let instances = &self.instances;
        let one_share = instances[one].health.share(now);
        let other_share = instances[other].health.share(now);
        let at = self.rng.random_range(0..FULL_SHARE);
        let one_in_turn = at < one_share;
        let other_in_turn = at < other_share;
        if one_in_turn != other_in_turn {
            return if one_in_turn { one } else { other };
        }
        if instances[other].cost(now) < instances[one].cost(now) {
            other
        } else {
            one
        }
    }

    /// Draws an instance elsewhere by what it reports free, against what the own
    /// data centre can take if any of it admits the call.
    fn spill(&mut self, may_stay: bool, call: Call<'_>) -> Option<InstanceKey> {
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
        let far: u32 = self.far.iter().map(weight).sum();
        if far == 0 {
            return None;
        }
        let near = self
            .near
            .iter()
            .map(|&key| instances[key].stay_weight(call.now));
        let stay: u32 = if may_stay { near.sum() } else { 0 };
        let mut at = self.rng.random_range(0..far.saturating_add(stay));
        for key in &self.far {
            let weight = weight(key);
            if at < weight {
                return Some(*key);
            }
            at -= weight;
        }
        None
    }

    /// Refuses with the shortest drain time of those that would take the call later.
    fn refusal(&mut self, call: Call<'_>) -> Refusal {
        let drain = [&self.near, &self.far, &self.suspect]
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

    fn failed(&mut self, key: InstanceKey, now: Instant) {
        if self.cfg.strategy == RoutingStrategy::LeastCost {
            return;
        }
        if !self.instances[key].health.failed() {
            return;
        }
        let list = if self.near.contains(&key) {
            &self.near
        } else {
            &self.far
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

/// The call for which an instance is sought.
#[derive(Clone, Copy, Debug)]
struct Call<'a> {
    class: Class,
    exclude: &'a [InstanceKey],
    now: Instant,
}

impl Call<'_> {
    /// True if an instance may take the call and is not known to shed it.
    fn admits(&self, key: InstanceKey, instance: &Instance) -> bool {
        !self.exclude.contains(&key) && !instance.sheds(self.class, self.now)
    }
}

/// A list from which calls are drawn.
#[derive(Clone, Copy, Debug)]
enum List {
    Near,
    Far,
    Suspect,
}
