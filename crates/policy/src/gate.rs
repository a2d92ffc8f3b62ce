//! Admission control for one target: concurrency limit, queue and order of shedding.

use std::time::{Duration, Instant};

use model::{Class, Refusal, RefusalReason};

use crate::headroom::HeadroomMeter;
use crate::limiter::Limiter;
use crate::load::Load;
use crate::pacer::Pacer;
use crate::priority::{Bucket, Forecast, Priority, priority_of};
use crate::queue::AdmissionQueue;
use crate::run_times::{Estimate, RunTimes};
use crate::scale::jitter;
use crate::settings::{GateConfig, Order};
use crate::standing_queue::StandingQueueDetector;
use crate::work::{Decision, Permit, QueueEvent, RunOutcome, WaiterKey, Work};

/// Shortest retry-after time of a refusal, before jitter.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(10);
/// Longest retry-after time of a refusal, before jitter.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Decides which calls run in one target, which wait and which are refused.
///
/// No call is refused for lack of slots while a less important one waits, and no call
/// starts while a more important one waits. After each [`finish`](Gate::finish), and at
/// [`next_wakeup`](Gate::next_wakeup), call [`poll`](Gate::poll) to start and refuse
/// waiters.
#[derive(Debug)]
pub struct Gate {
    cfg: GateConfig,
    limiter: Limiter,
    pacer: Pacer,
    queue: AdmissionQueue,
    times: RunTimes,
    headroom: HeadroomMeter,
    standing_queues: StandingQueueDetector,
    in_flight: u32,
}

impl Gate {
    /// Creates the gate of a target that has just started.
    #[must_use]
    pub fn new(cfg: GateConfig, now: Instant) -> Self {
        Gate {
            limiter: Limiter::new(cfg.ceiling(), cfg.adaptive, cfg.slow_start, now),
            pacer: Pacer::new(),
            queue: AdmissionQueue::new(cfg.queue),
            times: RunTimes::default(),
            headroom: HeadroomMeter::new(now),
            standing_queues: StandingQueueDetector::new(cfg.target_delay),
            in_flight: 0,
            cfg,
        }
    }

    /// Applies changed settings; running and waiting calls are kept.
    pub fn reconfigure(&mut self, cfg: GateConfig, _now: Instant) {
        self.limiter.reconfigure(cfg.ceiling(), cfg.adaptive);
        self.standing_queues.reconfigure(cfg.target_delay);
        self.cfg = cfg;
    }

    /// Records that the target has answered a call that was sent at `sent`, and the rate in calls
    /// per second that it named with the answer, if any. Returns `true` if the rate has changed.
    pub fn record_answer(&mut self, per_second: Option<f64>, sent: Instant, now: Instant) -> bool {
        self.pacer.record_answer(per_second, sent, now)
    }

    /// Records that the target has been replaced by one that has not answered yet.
    pub fn record_restart(&mut self) {
        self.pacer = Pacer::new();
    }

    /// Decides whether a call runs now, waits or is refused.
    pub fn offer(&mut self, work: Work, now: Instant) -> Decision {
        self.headroom.record_arrival(work.class, now);
        let estimate = self.times.estimate(work.operation, now);
        let expected = estimate.map_or(Duration::ZERO, |estimate| estimate.median);
        if !fits(expected, work.deadline, now) {
            return Decision::Refuse(self.refusal(RefusalReason::Deadline, &work));
        }
        let priority = self.priority(&work, estimate, now);
        let is_highest = self
            .queue
            .highest()
            .is_none_or(|highest| highest < priority);
        if is_highest && self.may_start(work.class, now) {
            return Decision::Run(self.start(&work, now));
        }
        let wait = self.wait_before(priority, estimate, now);
        if !fits(wait + expected, work.deadline, now) {
            return Decision::Refuse(self.refusal(RefusalReason::Deadline, &work));
        }
        let evicted = match self.make_room(&work, priority, now) {
            Ok(evicted) => evicted,
            Err(refusal) => return Decision::Refuse(refusal),
        };
        let latest_start = work.deadline.checked_sub(expected).unwrap_or(now);
        let key = self.queue.push(work, priority, latest_start);
        Decision::Wait { key, evicted }
    }

    /// Releases the slot of a permit and records how the run ended.
    pub fn finish(&mut self, permit: Permit, outcome: RunOutcome, now: Instant) {
        let in_flight = self.in_flight;
        self.in_flight = self.in_flight.saturating_sub(1);
        let run_time = now.saturating_duration_since(permit.started);
        let ratio = match outcome {
            RunOutcome::Answered => Some(self.times.record(permit.operation, run_time, now)),
            RunOutcome::Cancelled => self.times.record_cancelled(permit.operation, run_time, now),
            RunOutcome::TargetRefused => {
                self.limiter.record_refusal(in_flight, now);
                None
            }
            RunOutcome::Failed => None,
        };
        if let Some(ratio) = ratio {
            self.headroom.record_run(permit.class, run_time);
            self.limiter.record(ratio, in_flight, permit.started, now);
        }
    }

    /// Starts and refuses waiters, and appends an event for each to `events`.
    ///
    /// Waiters that can no longer meet their deadline are refused first, then those beyond the
    /// configured queue length. After that, waiters start in order of priority while slots are
    /// free.
    pub fn poll(&mut self, now: Instant, events: &mut Vec<QueueEvent>) {
        while let Some((key, work)) = self.queue.pop_expired(now) {
            let refusal = self.refusal(RefusalReason::Deadline, &work);
            events.push(QueueEvent::Refuse(key, refusal));
        }
        while self.queue.len() > self.max_queued(now) {
            let Some((key, refusal)) = self.shed_lowest(RefusalReason::Overloaded, now) else {
                break;
            };
            events.push(QueueEvent::Refuse(key, refusal));
        }
        while let Some(highest) = self.queue.highest()
            && self.may_start(highest.class(), now)
        {
            let newest_first = self.cfg.order == Order::Adaptive
                && self.standing_queues.is_standing(highest.class());
            let Some((key, work)) = self.queue.pop_highest(newest_first) else {
                break;
            };
            events.push(QueueEvent::Start(key, self.start(&work, now)));
        }
    }

    /// Removes a waiter whose caller has disconnected; a key that no longer waits is ignored.
    pub fn cancel(&mut self, key: WaiterKey, _now: Instant) {
        self.queue.remove(key);
    }

    /// Returns when [`poll`](Gate::poll) is to be called next although no call ends: when the next
    /// waiter expires, may start at the rate of the target, or may get a slot of a target that has
    /// not answered yet.
    #[must_use]
    pub fn next_wakeup(&self, now: Instant) -> Option<Instant> {
        let next_start = self.queue.highest().and_then(|highest| {
            if self.has_slot(highest.class(), now) {
                self.pacer.next_start()
            } else if self.cfg.names_rate {
                self.pacer.next_growth(now)
            } else {
                None
            }
        });
        next_start.into_iter().chain(self.queue.next_expiry()).min()
    }

    /// Returns the load to report to other daemons.
    #[must_use]
    pub fn load(&self, now: Instant) -> Load {
        let queued = self.queue.len();
        Load {
            in_flight: self.in_flight,
            limit: self.effective_limit(now),
            queued,
            queue_delay: self.time_to_start(queued, self.times.mean()),
            floor: self.standing_queues.admitted_floor(now),
        }
    }

    /// Returns the number of calls that may run at the same time: the concurrency limit, or fewer
    /// if the rate of the target starts no more within their mean run time.
    #[must_use]
    pub fn capacity(&self, now: Instant) -> f64 {
        let limit = f64::from(self.slots(now));
        let run_time = self.times.mean().as_secs_f64();
        match self.pacer.per_second() {
            Some(per_second) if run_time > 0.0 => limit.min(per_second * run_time),
            _ => limit,
        }
    }

    /// Returns the mean run time; zero until a run has ended.
    #[must_use]
    pub fn mean_run_time(&self) -> Duration {
        self.times.mean()
    }

    fn start(&mut self, work: &Work, now: Instant) -> Permit {
        let waited = now.saturating_duration_since(work.arrived);
        self.standing_queues.record_start(work.class, waited, now);
        self.pacer.record_start(now);
        self.in_flight += 1;
        Permit {
            operation: work.operation,
            class: work.class,
            started: now,
        }
    }

    fn may_start(&self, class: Class, now: Instant) -> bool {
        self.pacer.is_ready(now) && self.has_slot(class, now)
    }

    /// Calls that may run concurrently, regardless of the rate: fewer before the target has answered
    /// once, as a restarted daemon doesn't know its limit.
    fn slots(&self, now: Instant) -> u32 {
        let limit = self.limiter.limit();
        let before_answer = self.pacer.max_before_answer(now);
        match before_answer.filter(|_| self.cfg.names_rate) {
            Some(max) => limit.min(max),
            None => limit,
        }
    }

    /// [`capacity`](Self::capacity) in whole calls.
    fn effective_limit(&self, now: Instant) -> u32 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the value lies between 0 and the slots"
        )]
        let limit = self.capacity(now).ceil() as u32;
        limit.max(1)
    }

    /// Maximum number of queued calls: as many for each call that may run as configured.
    fn max_queued(&self, now: Instant) -> u32 {
        if self.pacer.per_second().is_none() {
            return self.cfg.queue;
        }
        let per_slot = (self.cfg.queue / self.cfg.ceiling()).max(1);
        self.cfg
            .queue
            .min(self.effective_limit(now).saturating_mul(per_slot))
    }

    fn has_slot(&self, class: Class, now: Instant) -> bool {
        let limit = self.slots(now);
        let reserve = self.headroom.reserve(class, limit, self.cfg.headroom);
        self.in_flight + reserve < limit
    }

    fn priority(&self, work: &Work, estimate: Option<Estimate>, now: Instant) -> Priority {
        let left = work.deadline.saturating_duration_since(now);
        let forecast = Forecast {
            run_time: estimate.map_or(self.times.mean(), |estimate| estimate.median),
            has_margin: estimate.is_none_or(|estimate| 2 * estimate.p90 <= left),
        };
        priority_of(work, forecast, self.cfg.goal)
    }

    /// Makes room for one waiter, evicting a less important one if the queue is full.
    ///
    /// # Errors
    ///
    /// Returns a refusal of `work` if no waiter is less important.
    fn make_room(
        &mut self,
        work: &Work,
        priority: Priority,
        now: Instant,
    ) -> Result<Option<(WaiterKey, Refusal)>, Refusal> {
        if self.queue.len() < self.max_queued(now) {
            return Ok(None);
        }
        let bucket = Bucket::new(priority, work.shed_hash);
        let outranks_waiter = self.queue.lowest().is_some_and(|lowest| lowest < bucket);
        if outranks_waiter {
            return Ok(self.shed_lowest(RefusalReason::Evicted, now));
        }
        self.standing_queues.record_refusal(now);
        Err(self.refusal(RefusalReason::Overloaded, work))
    }

    fn shed_lowest(&mut self, reason: RefusalReason, now: Instant) -> Option<(WaiterKey, Refusal)> {
        let (key, work) = self.queue.pop_lowest()?;
        self.standing_queues.record_refusal(now);
        Some((key, self.refusal(reason, &work)))
    }

    /// Estimates a lower bound of the time until a new waiter starts.
    ///
    /// Long runs of other operations raise the mean without delaying short calls of the same
    /// priority, so the shorter of the mean and the operation's own median is used.
    fn wait_before(
        &self,
        priority: Priority,
        estimate: Option<Estimate>,
        now: Instant,
    ) -> Duration {
        let newest_first =
            self.cfg.order == Order::Adaptive && self.standing_queues.is_standing(priority.class());
        let above = self.queue.count_above(priority);
        let same = if newest_first {
            0
        } else {
            self.queue.count_at(priority)
        };
        let mean = self.times.mean();
        let run_time = estimate.map_or(mean, |estimate| estimate.median.min(mean));
        let next_start = self.pacer.next_start();
        let until_next = next_start.map_or(Duration::ZERO, |at| at.saturating_duration_since(now));
        until_next + self.time_to_start(above + same, run_time)
    }

    /// Returns the time in which `count` waiters start, at one per `run_time / limit` and at most at
    /// the rate of the target.
    fn time_to_start(&self, count: u32, run_time: Duration) -> Duration {
        let by_slots = run_time * count / self.limiter.limit();
        let by_rate = self
            .pacer
            .per_second()
            .map_or(Duration::ZERO, |per_second| {
                Duration::from_secs_f64(f64::from(count) / per_second)
            });
        by_slots.max(by_rate)
    }

    fn refusal(&self, reason: RefusalReason, work: &Work) -> Refusal {
        let drain_time = self.time_to_start(self.queue.len() + 1, self.times.mean());
        let drain_time = drain_time.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        Refusal {
            reason,
            retry_after: jitter(drain_time, work.shed_hash ^ u64::from(work.attempt)),
        }
    }
}

/// True if a call with the expected run time that starts now ends by its deadline.
fn fits(expected: Duration, deadline: Instant, now: Instant) -> bool {
    let left = deadline.saturating_duration_since(now);
    !left.is_zero() && expected <= left
}
