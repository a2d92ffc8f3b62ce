//! Admission to one target: limit, queue and order of shedding.

use std::time::{Duration, Instant};

use model::{Class, Refusal, RefusalReason};

use crate::headroom::HeadroomMeter;
use crate::lane::{Lane, Place, Prospect, lane_of};
use crate::limiter::Limiter;
use crate::load::Load;
use crate::overload::Overload;
use crate::queue::AdmissionQueue;
use crate::scale::jitter;
use crate::service_times::{Estimate, ServiceTimes};
use crate::settings::{GateConfig, Order};
use crate::work::{End, Event, Offer, Permit, WaiterKey, Work};

/// Shortest time after which a refused caller is asked to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(10);
/// Longest time after which a refused caller is asked to come back.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Decides which calls run in one target, which wait and which are refused.
///
/// No call is refused for want of slots while a less important one waits, and
/// none is started before a more important one that waits. After each
/// [`finish`](Gate::finish), and at [`next_wakeup`](Gate::next_wakeup), call
/// [`poll`](Gate::poll) for what starts or is given up.
#[derive(Debug)]
pub struct Gate {
    cfg: GateConfig,
    limiter: Limiter,
    queue: AdmissionQueue,
    times: ServiceTimes,
    headroom: HeadroomMeter,
    overload: Overload,
    in_flight: u32,
}

impl Gate {
    /// Creates the gate of a target that has just been started.
    #[must_use]
    pub fn new(cfg: GateConfig, now: Instant) -> Self {
        Gate {
            limiter: Limiter::new(cfg.ceiling(), cfg.adaptive, cfg.slow_start, now),
            queue: AdmissionQueue::new(cfg.queue),
            times: ServiceTimes::default(),
            headroom: HeadroomMeter::new(now),
            overload: Overload::new(cfg.target_delay),
            in_flight: 0,
            cfg,
        }
    }

    /// Takes over changed settings; what runs and waits stays.
    pub fn reconfigure(&mut self, cfg: GateConfig, _now: Instant) {
        self.limiter.reconfigure(cfg.ceiling(), cfg.adaptive);
        self.overload.reconfigure(cfg.target_delay);
        self.cfg = cfg;
    }

    /// Decides on one call.
    pub fn offer(&mut self, work: Work, now: Instant) -> Offer {
        self.headroom.arrived(work.class, now);
        let estimate = self.times.estimate(work.operation, now);
        let expected = estimate.map_or(Duration::ZERO, |estimate| estimate.median);
        if !fits(expected, work.deadline, now) {
            return Offer::Refuse(self.refusal(RefusalReason::Deadline, &work));
        }
        let lane = self.lane(&work, estimate, now);
        let first = self.queue.top().is_none_or(|top| top < lane);
        if first && self.has_slot(work.class) {
            return Offer::Run(self.start(&work, now));
        }
        let wait = self.wait_before(lane, estimate);
        if !fits(wait + expected, work.deadline, now) {
            return Offer::Refuse(self.refusal(RefusalReason::Deadline, &work));
        }
        let evicted = match self.make_room(&work, lane, now) {
            Ok(evicted) => evicted,
            Err(refusal) => return Offer::Refuse(refusal),
        };
        let latest_start = work.deadline.checked_sub(expected).unwrap_or(now);
        let key = self.queue.push(work, lane, latest_start);
        Offer::Wait { key, evicted }
    }

    /// Gives back a permit.
    pub fn finish(&mut self, permit: Permit, end: End, now: Instant) {
        let in_flight = self.in_flight;
        self.in_flight = self.in_flight.saturating_sub(1);
        let time = now.saturating_duration_since(permit.started);
        let ratio = match end {
            End::Answered => Some(self.times.record(permit.operation, time, now)),
            End::Cancelled => self.times.record_cancelled(permit.operation, time, now),
            End::TargetRefused => {
                self.limiter.refused(in_flight, now);
                None
            }
            End::Failed => None,
        };
        if let Some(ratio) = ratio {
            self.headroom.finished(permit.class, time);
            self.limiter.record(ratio, in_flight, permit.started, now);
        }
    }

    /// Appends what starts now and what is given up, in that order of urgency.
    pub fn poll(&mut self, now: Instant, events: &mut Vec<Event>) {
        while let Some((key, work)) = self.queue.pop_expired(now) {
            let refusal = self.refusal(RefusalReason::Deadline, &work);
            events.push(Event::Refuse(key, refusal));
        }
        while self.queue.len() > self.cfg.queue {
            let Some((key, refusal)) = self.shed_bottom(RefusalReason::Overloaded, now) else {
                break;
            };
            events.push(Event::Refuse(key, refusal));
        }
        while let Some(top) = self.queue.top()
            && self.has_slot(top.class())
        {
            let newest_first =
                self.cfg.order == Order::Adaptive && self.overload.stands(top.class());
            let Some((key, work)) = self.queue.pop_top(newest_first) else {
                break;
            };
            events.push(Event::Start(key, self.start(&work, now)));
        }
    }

    /// Forgets a waiter whose caller went away; one that no longer waits is ignored.
    pub fn cancel(&mut self, key: WaiterKey, _now: Instant) {
        self.queue.remove(key);
    }

    /// When [`poll`](Gate::poll) has something to give up, if nothing else happens.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Instant> {
        self.queue.next_expiry()
    }

    /// The load to tell others.
    #[must_use]
    pub fn load(&self, now: Instant) -> Load {
        let queued = self.queue.len();
        Load {
            in_flight: self.in_flight,
            limit: self.limiter.limit(),
            queued,
            queue_delay: self.time_to_start(queued, self.times.mean()),
            floor: self.overload.floor(now),
        }
    }

    /// Mean time of a run; zero until one has ended.
    #[must_use]
    pub fn mean_run(&self) -> Duration {
        self.times.mean()
    }

    fn start(&mut self, work: &Work, now: Instant) -> Permit {
        let waited = now.saturating_duration_since(work.arrived);
        self.overload.started(work.class, waited, now);
        self.in_flight += 1;
        Permit {
            operation: work.operation,
            class: work.class,
            started: now,
        }
    }

    fn has_slot(&self, class: Class) -> bool {
        let limit = self.limiter.limit();
        let reserve = self.headroom.reserve(class, limit, self.cfg.headroom);
        self.in_flight + reserve < limit
    }

    fn lane(&self, work: &Work, estimate: Option<Estimate>, now: Instant) -> Lane {
        let left = work.deadline.saturating_duration_since(now);
        let prospect = Prospect {
            expected: estimate.map_or(self.times.mean(), |estimate| estimate.median),
            sure: estimate.is_none_or(|estimate| 2 * estimate.p90 <= left),
        };
        lane_of(work, prospect, self.cfg.goal)
    }

    /// Makes room for one waiter, at the cost of a less important one if need be.
    fn make_room(
        &mut self,
        work: &Work,
        lane: Lane,
        now: Instant,
    ) -> Result<Option<(WaiterKey, Refusal)>, Refusal> {
        if self.queue.len() < self.cfg.queue {
            return Ok(None);
        }
        let place = Place::new(lane, work.shed_hash);
        let outranked = self.queue.bottom().is_some_and(|bottom| bottom < place);
        if outranked {
            return Ok(self.shed_bottom(RefusalReason::Evicted, now));
        }
        self.overload.refused(now);
        Err(self.refusal(RefusalReason::Overloaded, work))
    }

    fn shed_bottom(&mut self, reason: RefusalReason, now: Instant) -> Option<(WaiterKey, Refusal)> {
        let (key, work) = self.queue.pop_bottom()?;
        self.overload.refused(now);
        Some((key, self.refusal(reason, &work)))
    }

    /// Time that those ahead of a new waiter take to start, at the least.
    ///
    /// Long runs of other work raise the mean without holding up short equals, so
    /// the shorter of the mean and the work's own time counts.
    fn wait_before(&self, lane: Lane, estimate: Option<Estimate>) -> Duration {
        let newest_first = self.cfg.order == Order::Adaptive && self.overload.stands(lane.class());
        let above = self.queue.count_above(lane);
        let same = if newest_first {
            0
        } else {
            self.queue.count_in(lane)
        };
        let mean = self.times.mean();
        let time = estimate.map_or(mean, |estimate| estimate.median.min(mean));
        self.time_to_start(above + same, time)
    }

    /// Time in which `count` waiters are started, at one in `time / limit`.
    fn time_to_start(&self, count: u32, time: Duration) -> Duration {
        time * count / self.limiter.limit()
    }

    fn refusal(&self, reason: RefusalReason, work: &Work) -> Refusal {
        let drain = self.time_to_start(self.queue.len() + 1, self.times.mean());
        let drain = drain.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        Refusal {
            reason,
            retry_after: jitter(drain, work.shed_hash ^ u64::from(work.attempt)),
        }
    }
}

/// True if work of an expected length that starts now ends by its deadline.
fn fits(expected: Duration, deadline: Instant, now: Instant) -> bool {
    let left = deadline.saturating_duration_since(now);
    !left.is_zero() && expected <= left
}
