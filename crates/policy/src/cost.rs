//! Expected cost of a call to an instance, for [`RoutingStrategy::LeastCost`].
//!
//! [`RoutingStrategy::LeastCost`]: crate::RoutingStrategy::LeastCost

use std::time::{Duration, Instant};

use crate::instance::Instance;
use crate::scale::{decayed, micros};

/// Divisor of the run time's share in the cost. The run time counts only in part, as a slower
/// target serves as well while its answers come in time.
const RUN_DIVISOR: u64 = 4;
/// Cost of another data centre, in thousandths of the mean run time. Traffic between data
/// centres is expensive, so calls leave the local one only when it is about three quarters full.
const REMOTE_COST_THOUSANDTHS: u64 = 400;
/// Cost of the highest failure score, in mean run times.
const FAILURE_COST_RUNS: u64 = 8;
/// Minimum cost of the highest failure score: a connection attempt that fails takes most of a
/// second.
const MIN_FAILURE_COST: Duration = Duration::from_millis(300);
/// Run time assumed until one is reported.
pub(crate) const DEFAULT_RUN_TIME: Duration = Duration::from_millis(20);
/// Concurrency limit assumed until one is reported.
const DEFAULT_LIMIT: u32 = 16;
/// Latency beyond run and queue that costs nothing: a round trip between data centres and a busy
/// daemon at each end.
const USUAL_OVERHEAD: Duration = Duration::from_millis(40);
const THOUSAND: u64 = 1_000;

/// Averages over the instances of a service, used for instances without reports.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceAverages {
    mean_run_us: u64,
    /// Shortest reported run time. Assumed for an instance without a report, which otherwise might
    /// never be tried.
    min_run_us: u64,
    limit: u32,
    /// Lowest error rate of an instance that has answered recently, in thousandths.
    min_error_rate: u64,
}

impl ServiceAverages {
    /// Averages what the instances have reported.
    pub(crate) fn of<'a>(instances: impl Iterator<Item = &'a Instance>, now: Instant) -> Self {
        let (mut runs, mut run_sum, mut limits, mut limit_sum) = (0, 0, 0, 0);
        let (mut min_run, mut min_error_rate) = (None, None);
        for instance in instances {
            if let Some(run) = instance.run_time {
                runs += 1;
                run_sum += micros(run);
                min_run = Some(min_run.map_or(run, |min: Duration| min.min(run)));
            }
            if let Some(rate) = instance.error_rate.recent(now) {
                min_error_rate = Some(min_error_rate.map_or(rate, |min: u64| min.min(rate)));
            }
            if let Some(load) = instance.last_load() {
                limits += 1;
                limit_sum += load.limit;
            }
        }
        let average = |sum: u64, count: u64| sum.checked_div(count);
        ServiceAverages {
            min_run_us: micros(min_run.unwrap_or(DEFAULT_RUN_TIME)).max(1),
            mean_run_us: average(run_sum, runs)
                .unwrap_or(micros(DEFAULT_RUN_TIME))
                .max(1),
            limit: limit_sum
                .checked_div(limits)
                .unwrap_or(DEFAULT_LIMIT)
                .max(1),
            min_error_rate: min_error_rate.unwrap_or(0),
        }
    }

    fn min_run(self) -> Duration {
        Duration::from_micros(self.min_run_us)
    }
}

/// Cost of one more call to an instance, in microseconds.
///
/// It is the sum of a part of the run time, the wait for a slot, a surcharge for a nearly full
/// target, the cost of another data centre, the time without an answer, the excess latency and
/// the cost of recent failures.
pub(crate) fn cost(
    instance: &Instance,
    local: bool,
    averages: ServiceAverages,
    now: Instant,
) -> u64 {
    let run_us = instance.run_time.map_or(averages.min_run_us, micros).max(1);
    let limit = instance
        .last_load()
        .map_or(averages.limit, |load| load.limit)
        .max(1);
    let occupancy = instance.occupancy(now);
    let wait_us = run_us * u64::from((occupancy + 1).saturating_sub(limit)) / u64::from(limit);
    let utilisation = u64::from(occupancy.min(limit)) * THOUSAND / u64::from(limit);
    let saturation_us = run_us * utilisation.pow(4) / THOUSAND.pow(4);
    let remote_us = if local {
        0
    } else {
        averages.mean_run_us * REMOTE_COST_THOUSANDTHS / THOUSAND
    };
    // An instance that has not answered for some time is expected to take as long again.
    let unresponsive_us = if instance.is_unresponsive(averages.min_run(), now) {
        micros(instance.time_without_answer(now))
    } else {
        0
    };
    // A link with little bandwidth or a slow daemon shows only in the latency of answers.
    let queued_us = run_us * u64::from(occupancy) / u64::from(limit);
    let excess_us = instance
        .overhead_us(now)
        .saturating_sub(run_us + queued_us)
        .saturating_sub(micros(USUAL_OVERHEAD));
    let failure_score = instance.failure_score.thousandths(now);
    let failure_cost_us = (FAILURE_COST_RUNS * averages.mean_run_us).max(micros(MIN_FAILURE_COST));
    run_us / RUN_DIVISOR
        + wait_us
        + saturation_us
        + remote_us
        + unresponsive_us
        + excess_us
        + failure_cost_us
            * (failure_score + instance.error_rate.excess(averages.min_error_rate, now))
            / THOUSAND
}

/// Slowly decaying rate of the answers by which an instance reports that it failed, in thousandths.
///
/// All instances of a service fail when a service that they call does. So an instance costs more
/// only by how far its rate exceeds the lowest one.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ErrorRate {
    thousandths: u64,
    at: Option<Instant>,
}

/// Difference from the lowest rate up to which errors cost nothing: the averages differ by chance.
const ERROR_RATE_MARGIN: u64 = 150;
/// Age of an answer up to which an instance's rate counts for the lowest one.
const RECENT_ANSWER: Duration = Duration::from_secs(1);
/// Time in which the rate halves while no call is answered, after which the instance is tried again.
const ERROR_HALF_LIFE: Duration = Duration::from_millis(1_500);

impl ErrorRate {
    /// Moves the rate a sixteenth of the way to the kind of an answer.
    pub(crate) fn record(&mut self, is_error: bool, now: Instant) {
        let before = self.thousandths(now);
        let sample = if is_error { THOUSAND } else { 0 };
        self.thousandths = (15 * before + sample).div_ceil(16);
        self.at = Some(now);
    }

    /// Rate as of the last answer; `None` if that was too long ago.
    fn recent(self, now: Instant) -> Option<u64> {
        let at = self.at?;
        (now.saturating_duration_since(at) < RECENT_ANSWER).then_some(self.thousandths)
    }

    /// Rate beyond the lowest one of the service, in thousandths.
    fn excess(self, lowest: u64, now: Instant) -> u64 {
        self.thousandths(now)
            .saturating_sub(lowest + ERROR_RATE_MARGIN)
    }

    fn thousandths(self, now: Instant) -> u64 {
        let Some(at) = self.at else { return 0 };
        let age = now.saturating_duration_since(at);
        decayed(self.thousandths, age, ERROR_HALF_LIFE)
    }
}

/// Decaying average of an instance's recent failures, in thousandths: 0 without failures, 1000 if
/// every call fails.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FailureScore {
    thousandths: u64,
    at: Option<Instant>,
}

/// Time in which the score halves while no call ends.
const FAILURE_HALF_LIFE: Duration = Duration::from_millis(700);

impl FailureScore {
    /// Moves the score a quarter of the way to the result of a call.
    pub(crate) fn record(&mut self, failed: bool, now: Instant) {
        let before = self.thousandths(now);
        let sample = if failed { THOUSAND } else { 0 };
        self.thousandths = (3 * before + sample) / 4;
        self.at = Some(now);
    }

    pub(crate) fn thousandths(&self, now: Instant) -> u64 {
        let Some(at) = self.at else { return 0 };
        let age = now.saturating_duration_since(at);
        decayed(self.thousandths, age, FAILURE_HALF_LIFE)
    }
}
