//! Load, latency and failures of one instance, as seen by the daemon that calls it.

use std::time::{Duration, Instant};

use model::{Class, DataCentre, InstanceId};

use crate::candidate::{Candidate, InstanceStatus};
use crate::cost::{ErrorRate, FailureScore};
use crate::eject::{FULL_SHARE, Health};
use crate::load::Load;
use crate::scale::{decayed, ewma, micros};

/// Age after which a reported load is ignored.
const LOAD_TTL: Duration = Duration::from_millis(500);
/// Time in which the load of an instance that names a rate halves after that age.
const STALE_LOAD_HALF_LIFE: Duration = Duration::from_millis(500);
/// Free slots assumed for an instance without a recent load report.
const DEFAULT_FREE_SLOTS: u32 = 1;
/// Slots that a queued call takes from the weight of the local data centre: its own and that of
/// the next call, which would wait behind it.
const SLOTS_PER_QUEUED: u32 = 2;
/// Half-life of the average latency of an idle instance.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(1);
/// Half-life of the latency beyond the run time while no answer arrives.
const OVERHEAD_HALF_LIFE: Duration = Duration::from_millis(700);
/// Time without an answer from which an instance is unresponsive, in mean run times. Answers of
/// an instance with several calls follow each other faster than that.
const UNRESPONSIVE_RUNS: u32 = 4;
/// Minimum time without an answer from which an instance is unresponsive: a busy daemon may fall
/// this far behind.
const MIN_UNRESPONSIVE_TIME: Duration = Duration::from_millis(100);
/// Latency assumed until a call has been answered, in microseconds.
const DEFAULT_LATENCY_US: u64 = 1_000;

/// State of one instance that this daemon may call.
#[derive(Debug)]
pub(crate) struct Instance {
    pub(crate) id: InstanceId,
    pub(crate) data_centre: DataCentre,
    pub(crate) rank: u64,
    pub(crate) in_flight: u32,
    pub(crate) health: Health,
    /// When the instance refused a call because it is leaving.
    reported_leaving_at: Option<Instant>,
    status: InstanceStatus,
    latency_us: u64,
    answered_at: Option<Instant>,
    /// Average latency beyond the run time, as of the last answer.
    overhead_us: u64,
    load: Option<(Load, Instant)>,
    /// Calls sent by this daemon since the last load report, which doesn't include them.
    sent_since_report: u32,
    /// Time of the last load report, or of a later call to the idle instance.
    last_activity: Option<Instant>,
    /// Mean run time, as reported by the instance.
    pub(crate) run_time: Option<Duration>,
    /// True if the instance's target named a rate that it takes with its last answer.
    pub(crate) names_rate: bool,
    pub(crate) failure_score: FailureScore,
    pub(crate) error_rate: ErrorRate,
}

impl Instance {
    pub(crate) fn new(candidate: &Candidate, rank: u64, health: Health) -> Self {
        Instance {
            id: candidate.id.clone(),
            data_centre: candidate.data_centre.clone(),
            rank,
            in_flight: 0,
            health,
            reported_leaving_at: None,
            status: candidate.status,
            latency_us: 0,
            answered_at: None,
            overhead_us: 0,
            load: None,
            sent_since_report: 0,
            last_activity: None,
            run_time: None,
            names_rate: false,
            failure_score: FailureScore::default(),
            error_rate: ErrorRate::default(),
        }
    }

    pub(crate) fn status(&self) -> InstanceStatus {
        if self.reported_leaving_at.is_some() {
            InstanceStatus::Leaving
        } else {
            self.status
        }
    }

    /// Sets the status from a view of the fleet. An instance that becomes live again gets its full
    /// share gradually.
    pub(crate) fn set_status(
        &mut self,
        status: InstanceStatus,
        leaving_ttl: Duration,
        now: Instant,
    ) {
        let returning = self.status != InstanceStatus::Live && status == InstanceStatus::Live;
        if returning {
            self.health = Health::ramping(now);
        }
        if returning {
            self.reported_leaving_at = None;
        }
        self.expire_leaving(leaving_ttl, now);
        self.status = status;
    }

    /// Clears the instance's own report that it is leaving once `leaving_ttl` has passed; until
    /// then returns the time at which the report expires.
    pub(crate) fn expire_leaving(
        &mut self,
        leaving_ttl: Duration,
        now: Instant,
    ) -> Option<Instant> {
        let at = self.reported_leaving_at? + leaving_ttl;
        if now < at {
            return Some(at);
        }
        self.reported_leaving_at = None;
        None
    }

    /// Records that the instance itself reports to be leaving. A view that still lists it as live
    /// doesn't override this.
    pub(crate) fn mark_leaving(&mut self, now: Instant) {
        self.reported_leaving_at = Some(now);
    }

    pub(crate) fn record_load(&mut self, load: Load, now: Instant) {
        self.load = Some((load, now));
        self.last_activity = Some(now);
        self.sent_since_report = 0;
    }

    /// Counts a call that is sent to the instance.
    pub(crate) fn record_sent(&mut self, now: Instant) {
        if self.in_flight == 0 {
            self.last_activity = Some(now);
        }
        self.in_flight += 1;
        self.sent_since_report = self.sent_since_report.saturating_add(1);
    }

    /// Time for which calls have been in flight without an answer to any of them.
    pub(crate) fn time_without_answer(&self, now: Instant) -> Duration {
        let last_activity = self.last_activity.filter(|_| self.in_flight > 0);
        last_activity.map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
    }

    /// True if the instance has not answered for much longer than its mean run time, or than
    /// `default_run_time` if it has reported none.
    pub(crate) fn is_unresponsive(&self, default_run_time: Duration, now: Instant) -> bool {
        let run = self.run_time.unwrap_or(default_run_time);
        self.time_without_answer(now) > (run * UNRESPONSIVE_RUNS).max(MIN_UNRESPONSIVE_TIME)
    }

    /// Estimated number of calls that run or wait in the instance: those reported plus those sent
    /// since, and at least those of this daemon.
    pub(crate) fn occupancy(&self, now: Instant) -> u32 {
        let reported = if self.names_rate {
            self.fading_load(now)
        } else {
            let fresh = self.fresh_load(now);
            fresh.map(|load| load.in_flight.saturating_add(load.queued))
        };
        let reported = reported.map_or(0, |work| work.saturating_add(self.sent_since_report));
        reported.max(self.in_flight)
    }

    /// Last reported number of calls that run or wait, which fades once the report is too old. A
    /// target that names a rate answers each of its callers so rarely that it would look idle
    /// between two reports.
    fn fading_load(&self, now: Instant) -> Option<u32> {
        let (load, at) = self.load.as_ref()?;
        let work = u64::from(load.in_flight) + u64::from(load.queued);
        let stale_for = now.saturating_duration_since(*at).saturating_sub(LOAD_TTL);
        let faded = decayed(work, stale_for, STALE_LOAD_HALF_LIFE);
        Some(u32::try_from(faded).unwrap_or(u32::MAX))
    }

    /// Last reported load, of any age.
    pub(crate) fn last_load(&self) -> Option<&Load> {
        self.load.as_ref().map(|(load, _)| load)
    }

    pub(crate) fn record_answer(&mut self, latency: Duration, now: Instant) {
        self.health.record_success(now);
        if let Some(run) = self.run_time {
            let overhead_us = micros(latency.saturating_sub(run));
            self.overhead_us = u64::midpoint(self.overhead_us(now), overhead_us);
        }
        self.answered_at = Some(now);
        let sample = micros(latency).max(1);
        self.latency_us = match self.latency_us {
            0 => sample,
            average => ewma::<3>(average, sample),
        };
    }

    /// Average latency of recent answers beyond the run time, which is spent on the network and in
    /// queues. It decays, so that the instance is tried again.
    pub(crate) fn overhead_us(&self, now: Instant) -> u64 {
        let Some(at) = self.answered_at else { return 0 };
        let age = now.saturating_duration_since(at);
        decayed(self.overhead_us, age, OVERHEAD_HALF_LIFE)
    }

    /// Cost of one more call: expected latency and queue delay, in microseconds, times the number
    /// of calls that this daemon then has in flight there.
    pub(crate) fn latency_cost(&self, now: Instant) -> u64 {
        let latency_us = match self.latency_us {
            0 => DEFAULT_LATENCY_US,
            average => decayed(average, self.idle_time(now), LATENCY_HALF_LIFE).max(1),
        };
        let delay_us = self
            .fresh_load(now)
            .map_or(0, |load| micros(load.queue_delay));
        let calls = u64::from(self.in_flight) + 1;
        (latency_us + delay_us).saturating_mul(calls)
    }

    /// Time since the last answer if no call is in flight, else zero. The average latency decays
    /// over it, so that an instance that was slow once is tried again.
    fn idle_time(&self, now: Instant) -> Duration {
        let at = self.answered_at.filter(|_| self.in_flight == 0);
        at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
    }

    /// True if the last recent load report admits only more important classes.
    pub(crate) fn sheds(&self, class: Class, now: Instant) -> bool {
        self.fresh_load(now).is_some_and(|load| load.floor > class)
    }

    /// Free slots in the last report; `None` if it is too old.
    pub(crate) fn free_slots(&self, now: Instant) -> Option<u32> {
        self.fresh_load(now).map(Load::free)
    }

    /// Weight of this instance, in another data centre, as the target of spilled calls.
    pub(crate) fn spill_weight(&self, now: Instant) -> u32 {
        let free = self.free_slots(now).unwrap_or(DEFAULT_FREE_SLOTS);
        free * self.health.share(now) / FULL_SHARE
    }

    /// Weight of this instance, in the local data centre, against spilling calls: its limit less the
    /// calls queued there.
    pub(crate) fn local_weight(&self, now: Instant) -> u32 {
        self.fresh_load(now).map_or(DEFAULT_FREE_SLOTS, |load| {
            load.limit
                .saturating_sub(SLOTS_PER_QUEUED.saturating_mul(load.queued))
        })
    }

    /// Time in which the instance's queue drains, as last reported, of any age.
    pub(crate) fn queue_delay(&self) -> Duration {
        self.load
            .map_or(Duration::ZERO, |(load, _)| load.queue_delay)
    }

    /// Last reported load, unless it is too old.
    pub(crate) fn fresh_load(&self, now: Instant) -> Option<&Load> {
        self.load
            .as_ref()
            .filter(|(_, at)| now.saturating_duration_since(*at) < LOAD_TTL)
            .map(|(load, _)| load)
    }
}
