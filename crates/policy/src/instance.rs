//! What one daemon knows of one instance that it calls.

use std::time::{Duration, Instant};

use model::{Class, DataCentre, InstanceId};

use crate::candidate::{Candidate, InstanceStatus};
use crate::cost::FailureScore;
use crate::eject::{FULL_SHARE, Health};
use crate::load::Load;
use crate::scale::{ewma, faded, micros};

/// Age after which a reported load is no longer believed.
const LOAD_LIFE: Duration = Duration::from_millis(500);
/// Slots that an instance without a fresh report is taken to have free.
const UNKNOWN_FREE: u32 = 1;
/// Slots for which one waiter counts against staying: its own and that of the next call,
/// which would wait behind it.
const QUEUED_WEIGHT: u32 = 2;
/// Time after which the average of an idle instance counts half.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(1);
/// Time in which what answers took beyond the run counts half, without another one.
const EXCESS_HALF_LIFE: Duration = Duration::from_millis(700);
/// Silence that counts, in mean runs of the instance: answers come closer together from one that
/// has several calls.
const SILENT_RUNS: u32 = 4;
/// Least silence that counts: a busy daemon may fall behind that far.
const LEAST_SILENCE: Duration = Duration::from_millis(100);
/// Time that a call is taken to cost before any has been answered.
const UNKNOWN_LATENCY_US: u64 = 1_000;

#[derive(Debug)]
pub(crate) struct Instance {
    pub(crate) id: InstanceId,
    pub(crate) data_centre: DataCentre,
    pub(crate) rank: u64,
    pub(crate) in_flight: u32,
    pub(crate) health: Health,
    /// When the instance itself said that it leaves.
    told_leaving: Option<Instant>,
    status: InstanceStatus,
    latency_us: u64,
    answered_at: Option<Instant>,
    /// Average of the time that answers took beyond the run, as of the last answer.
    excess_us: u64,
    load: Option<(Load, Instant)>,
    /// Own calls since the last report; it doesn't count them.
    sent_since_report: u32,
    /// When it last answered, or was sent the first call that waits.
    heard: Option<Instant>,
    /// Mean time of a run there, as reported.
    pub(crate) run_time: Option<Duration>,
    pub(crate) failures: FailureScore,
}

impl Instance {
    pub(crate) fn new(candidate: &Candidate, rank: u64, health: Health) -> Self {
        Instance {
            id: candidate.id.clone(),
            data_centre: candidate.data_centre.clone(),
            rank,
            in_flight: 0,
            health,
            told_leaving: None,
            status: candidate.status,
            latency_us: 0,
            answered_at: None,
            excess_us: 0,
            load: None,
            sent_since_report: 0,
            heard: None,
            run_time: None,
            failures: FailureScore::default(),
        }
    }

    pub(crate) fn status(&self) -> InstanceStatus {
        if self.told_leaving.is_some() {
            InstanceStatus::Leaving
        } else {
            self.status
        }
    }

    /// Takes over what the view says; an instance that comes back is used slowly.
    pub(crate) fn set_status(
        &mut self,
        status: InstanceStatus,
        leaving_ttl: Duration,
        now: Instant,
    ) {
        let returns = self.status != InstanceStatus::Live && status == InstanceStatus::Live;
        if returns {
            self.health = Health::ramping(now);
        }
        if returns {
            self.told_leaving = None;
        }
        self.take_back(leaving_ttl, now);
        self.status = status;
    }

    /// Forgets the instance's own word that it leaves when that is too old; else tells when
    /// it will be.
    pub(crate) fn take_back(&mut self, leaving_ttl: Duration, now: Instant) -> Option<Instant> {
        let at = self.told_leaving? + leaving_ttl;
        if now < at {
            return Some(at);
        }
        self.told_leaving = None;
        None
    }

    /// Takes the instance's own word that it leaves; a lagging view doesn't take
    /// that back.
    pub(crate) fn leaves(&mut self, now: Instant) {
        self.told_leaving = Some(now);
    }

    pub(crate) fn report(&mut self, load: Load, now: Instant) {
        self.load = Some((load, now));
        self.heard = Some(now);
        self.sent_since_report = 0;
    }

    /// Counts one more call there.
    pub(crate) fn sent(&mut self, now: Instant) {
        if self.in_flight == 0 {
            self.heard = Some(now);
        }
        self.in_flight += 1;
        self.sent_since_report = self.sent_since_report.saturating_add(1);
    }

    /// Time for which calls have been waiting there without an answer to any.
    pub(crate) fn silence(&self, now: Instant) -> Duration {
        let heard = self.heard.filter(|_| self.in_flight > 0);
        heard.map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
    }

    /// True if it has been silent for longer than its runs explain; `unknown_run` stands for
    /// their mean time until that is reported.
    pub(crate) fn is_silent(&self, unknown_run: Duration, now: Instant) -> bool {
        let run = self.run_time.unwrap_or(unknown_run);
        self.silence(now) > (run * SILENT_RUNS).max(LEAST_SILENCE)
    }

    /// Calls that run or wait there, as far as is known: what was reported and sent since,
    /// and at least the own ones.
    pub(crate) fn taken(&self, now: Instant) -> u32 {
        let reported = self.fresh_load(now).map_or(0, |load| {
            load.in_flight
                .saturating_add(load.queued)
                .saturating_add(self.sent_since_report)
        });
        reported.max(self.in_flight)
    }

    /// The load that was reported last, however old.
    pub(crate) fn last_load(&self) -> Option<&Load> {
        self.load.as_ref().map(|(load, _)| load)
    }

    pub(crate) fn answered(&mut self, latency: Duration, now: Instant) {
        self.health.succeeded(now);
        if let Some(run) = self.run_time {
            let excess_us = micros(latency.saturating_sub(run));
            self.excess_us = u64::midpoint(self.excess_us(now), excess_us);
        }
        self.answered_at = Some(now);
        let sample = micros(latency).max(1);
        self.latency_us = match self.latency_us {
            0 => sample,
            average => ewma::<3>(average, sample),
        };
    }

    /// Time that answers took of late beyond the run, for the way there and back and for a queue.
    /// It fades, so that the instance is tried again.
    pub(crate) fn excess_us(&self, now: Instant) -> u64 {
        let Some(at) = self.answered_at else { return 0 };
        let age = now.saturating_duration_since(at);
        faded(self.excess_us, age, EXCESS_HALF_LIFE)
    }

    /// Expected cost of one more call, growing with what is under way.
    pub(crate) fn cost(&self, now: Instant) -> u64 {
        let latency_us = match self.latency_us {
            0 => UNKNOWN_LATENCY_US,
            average => faded(average, self.idle(now), LATENCY_HALF_LIFE).max(1),
        };
        let delay_us = self
            .fresh_load(now)
            .map_or(0, |load| micros(load.queue_delay));
        let under_way = u64::from(self.in_flight) + 1;
        (latency_us + delay_us).saturating_mul(under_way)
    }

    /// Time since its last answer, if nothing is under way. An old average of an idle instance
    /// fades, so that one bad spell does not keep all work away for ever.
    fn idle(&self, now: Instant) -> Duration {
        let at = self.answered_at.filter(|_| self.in_flight == 0);
        at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
    }

    /// True if the instance lately admitted only more important classes.
    pub(crate) fn sheds(&self, class: Class, now: Instant) -> bool {
        self.fresh_load(now).is_some_and(|load| load.floor > class)
    }

    /// Slots lately reported free.
    pub(crate) fn free(&self, now: Instant) -> Option<u32> {
        self.fresh_load(now).map(Load::free)
    }

    /// Weight of this instance for calls from another data centre.
    pub(crate) fn spill_weight(&self, now: Instant) -> u32 {
        let free = self.free(now).unwrap_or(UNKNOWN_FREE);
        free * self.health.share(now) / FULL_SHARE
    }

    /// Weight of this instance against calls from another data centre: what it can
    /// run at once, less what waits there already.
    pub(crate) fn stay_weight(&self, now: Instant) -> u32 {
        self.fresh_load(now).map_or(UNKNOWN_FREE, |load| {
            load.limit
                .saturating_sub(QUEUED_WEIGHT.saturating_mul(load.queued))
        })
    }

    /// Reported time in which its queue drains, however old.
    pub(crate) fn queue_delay(&self) -> Duration {
        self.load
            .map_or(Duration::ZERO, |(load, _)| load.queue_delay)
    }

    /// The load that was reported, unless that is too long ago.
    pub(crate) fn fresh_load(&self, now: Instant) -> Option<&Load> {
        self.load
            .as_ref()
            .filter(|(_, at)| now.saturating_duration_since(*at) < LOAD_LIFE)
            .map(|(load, _)| load)
    }
}
