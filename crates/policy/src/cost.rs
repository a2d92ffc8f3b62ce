//! Expected cost of a call by when it will be completed.

use std::time::{Duration, Instant};

use crate::instance::Instance;
use crate::scale::{faded, micros};

/// Part of a run's own length that counts, as a divisor: a slower target serves as well while
/// its answers come in time.
const RUN_DIVISOR: u64 = 4;
/// What another data centre costs, in thousandths of a mean run: bytes between data centres
/// are dear, so the own one is left only when it is about three quarters full.
const FAR_THOUSANDTHS: u64 = 400;
/// What a failure that is still believed costs, in mean runs.
const TROUBLE_RUNS: u64 = 8;
/// Least cost of a failure that is still believed: a connection that isn't established takes
/// most of a second.
const LEAST_TROUBLE: Duration = Duration::from_millis(300);
/// Mean run until one is known.
pub(crate) const UNKNOWN_RUN: Duration = Duration::from_millis(20);
/// Limit until one is known.
const UNKNOWN_LIMIT: u32 = 16;
/// Time beyond run and queue that answers usually take at most: two ways between data centres,
/// and a busy daemon at each end.
const USUAL_EXCESS: Duration = Duration::from_millis(40);
const THOUSAND: u64 = 1_000;

/// What is the same for all instances of a service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceAverages {
    mean_run_us: u64,
    /// The shortest run; one of which nothing is known is taken for the best, or it would
    /// never be tried.
    least_run_us: u64,
    limit: u32,
}

impl ServiceAverages {
    /// The average over the instances of which something is known.
    pub(crate) fn of<'a>(instances: impl Iterator<Item = &'a Instance>) -> Self {
        let (mut runs, mut run_sum, mut limits, mut limit_sum) = (0, 0, 0, 0);
        let mut least_run = None;
        for instance in instances {
            if let Some(run) = instance.run_time {
                runs += 1;
                run_sum += micros(run);
                least_run = Some(least_run.map_or(run, |least: Duration| least.min(run)));
            }
            if let Some(load) = instance.last_load() {
                limits += 1;
                limit_sum += load.limit;
            }
        }
        let average = |sum: u64, count: u64| sum.checked_div(count);
        ServiceAverages {
            least_run_us: micros(least_run.unwrap_or(UNKNOWN_RUN)).max(1),
            mean_run_us: average(run_sum, runs).unwrap_or(micros(UNKNOWN_RUN)).max(1),
            limit: limit_sum
                .checked_div(limits)
                .unwrap_or(UNKNOWN_LIMIT)
                .max(1),
        }
    }

    fn least_run(self) -> Duration {
        Duration::from_micros(self.least_run_us)
    }
}

/// Cost of one more call to an instance, in microseconds.
///
/// It is made up of the run, the wait for a slot, what a nearly full target adds, the way to
/// another data centre, a slow way, silence, and failures of late.
pub(crate) fn cost(instance: &Instance, near: bool, scale: ServiceAverages, now: Instant) -> u64 {
    let run_us = instance.run_time.map_or(scale.least_run_us, micros).max(1);
    let limit = instance
        .last_load()
        .map_or(scale.limit, |load| load.limit)
        .max(1);
    let taken = instance.taken(now);
    let wait_us = run_us * u64::from((taken + 1).saturating_sub(limit)) / u64::from(limit);
    let full = u64::from(taken.min(limit)) * THOUSAND / u64::from(limit);
    let crowd_us = run_us * full.pow(4) / THOUSAND.pow(4);
    let far_us = if near {
        0
    } else {
        scale.mean_run_us * FAR_THOUSANDTHS / THOUSAND
    };
    // An instance that has answered nothing for a while may take as long again.
    let silent_us = if instance.is_silent(scale.least_run(), now) {
        micros(instance.silence(now))
    } else {
        0
    };
    // A narrow link or a slow daemon shows only in how long answers take.
    let queued_us = run_us * u64::from(taken) / u64::from(limit);
    let path_us = instance
        .excess_us(now)
        .saturating_sub(run_us + queued_us)
        .saturating_sub(micros(USUAL_EXCESS));
    let trouble = instance.failures.thousandths(now);
    let per_trouble = (TROUBLE_RUNS * scale.mean_run_us).max(micros(LEAST_TROUBLE));
    run_us / RUN_DIVISOR
        + wait_us
        + crowd_us
        + far_us
        + silent_us
        + path_us
        + per_trouble * trouble / THOUSAND
}

/// Failures of an instance of late, fading with time and with each success.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FailureScore {
    thousandths: u64,
    at: Option<Instant>,
}

/// Time in which what is believed of a failure halves without any news.
const TROUBLE_HALF_LIFE: Duration = Duration::from_millis(700);

impl FailureScore {
    /// Moves a quarter of the way to `failed`.
    pub(crate) fn record(&mut self, failed: bool, now: Instant) {
        let before = self.thousandths(now);
        let aim = if failed { THOUSAND } else { 0 };
        self.thousandths = (3 * before + aim) / 4;
        self.at = Some(now);
    }

    pub(crate) fn thousandths(&self, now: Instant) -> u64 {
        let Some(at) = self.at else { return 0 };
        let age = now.saturating_duration_since(at);
        faded(self.thousandths, age, TROUBLE_HALF_LIFE)
    }
}
