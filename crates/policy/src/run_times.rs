//! Run times of the target, measured per operation.

use std::time::{Duration, Instant};

use model::OperationKey;

use crate::scale::{ewma, log_bucket, log_value, micros};

/// Buckets per octave of the histogram, as a power of two.
const SUB_BITS: u32 = 2;
/// Number of buckets of the histogram, which cover up to 2^32 microseconds.
const BUCKETS: usize = 32 << SUB_BITS;
/// Quantile returned if it lies beyond all buckets.
const MAX_TIME: Duration = Duration::from_secs(1 << 12);
/// Number of samples at which all counts are halved.
const HALVING_SAMPLES: u32 = 512;
/// Minimum number of samples for an estimate.
const MIN_SAMPLES: u32 = 8;
/// Samples between two computations of the quantiles.
const REFRESH_SAMPLES: u32 = 8;
/// Samples averaged into the first baseline.
const BASELINE_SAMPLES: u64 = 64;
/// Age from which an estimate is ignored, so that work refused because of it is tried again.
const ESTIMATE_TTL: Duration = Duration::from_secs(1);
/// Interval after which a baseline may rise by a sixteenth.
const BASELINE_RISE_INTERVAL: Duration = Duration::from_secs(5);

/// Expected run times of one operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Estimate {
    /// Median.
    pub(crate) median: Duration,
    /// 90th percentile: nine calls in ten take less.
    pub(crate) p90: Duration,
}

/// Histogram, mean and baseline of the run times of one operation.
#[derive(Clone, Debug)]
struct OperationTimes {
    counts: [u16; BUCKETS],
    total: u32,
    since_refresh: u32,
    estimate: Option<Estimate>,
    baseline_samples: u64,
    mean_us: u64,
    baseline_us: u64,
    baseline_at: Instant,
    last_sample: Instant,
}

impl OperationTimes {
    fn new(now: Instant) -> Self {
        OperationTimes {
            counts: [0; BUCKETS],
            total: 0,
            since_refresh: 0,
            estimate: None,
            baseline_samples: 0,
            mean_us: 0,
            baseline_us: 0,
            baseline_at: now,
            last_sample: now,
        }
    }

    fn record(&mut self, time: Duration, now: Instant) {
        let time_us = micros(time).max(1);
        let bucket = log_bucket::<SUB_BITS>(time_us) as usize;
        self.counts[bucket.min(BUCKETS - 1)] += 1;
        self.total += 1;
        self.since_refresh += 1;
        self.last_sample = now;
        if self.total >= HALVING_SAMPLES {
            self.halve();
        }
        if self.since_refresh >= REFRESH_SAMPLES || self.estimate.is_none() {
            self.refresh();
        }
        self.track_baseline(time_us, now);
    }

    /// Updates the mean and the baseline.
    ///
    /// The baseline follows the mean down at once and up slowly, so that the times of a
    /// long overload don't become the baseline. The first samples are only averaged:
    /// otherwise a single short one would remain the baseline for minutes.
    fn track_baseline(&mut self, time_us: u64, now: Instant) {
        if self.baseline_samples < BASELINE_SAMPLES {
            let sum = self.mean_us * self.baseline_samples + time_us;
            self.baseline_samples += 1;
            self.mean_us = sum / self.baseline_samples;
            self.baseline_us = self.mean_us.max(1);
            self.baseline_at = now;
            return;
        }
        self.mean_us = ewma::<6>(self.mean_us, time_us);
        let since = now.saturating_duration_since(self.baseline_at);
        if since >= BASELINE_RISE_INTERVAL {
            self.baseline_us += self.baseline_us / 16 + 1;
            self.baseline_at = now;
        }
        self.baseline_us = self.baseline_us.min(self.mean_us).max(1);
    }

    /// Halves all counts, so that older samples weigh less.
    fn halve(&mut self) {
        self.total = 0;
        for count in &mut self.counts {
            *count /= 2;
            self.total += u32::from(*count);
        }
    }

    /// Recomputes the estimate from the histogram.
    fn refresh(&mut self) {
        self.since_refresh = 0;
        if self.total < MIN_SAMPLES {
            return;
        }
        self.estimate = Some(Estimate {
            median: self.quantile(self.total / 2),
            p90: self.quantile(self.total - self.total / 10),
        });
    }

    /// Run time at the given rank among the sorted samples.
    fn quantile(&self, rank: u32) -> Duration {
        let mut seen = 0;
        for (bucket, &count) in (0_u32..).zip(&self.counts) {
            seen += u32::from(count);
            if seen > rank {
                return Duration::from_micros(log_value::<SUB_BITS>(bucket));
            }
        }
        MAX_TIME
    }
}

/// Run times of the target, per operation and on average.
#[derive(Debug, Default)]
pub(crate) struct RunTimes {
    operations: Vec<Option<Box<OperationTimes>>>,
    mean_us: u64,
}

impl RunTimes {
    /// Records a completed run and returns its time relative to the operation's baseline,
    /// in thousandths.
    pub(crate) fn record(&mut self, operation: OperationKey, time: Duration, now: Instant) -> u64 {
        let time_us = micros(time).max(1);
        self.mean_us = match self.mean_us {
            0 => time_us,
            mean_us => ewma::<5>(mean_us, time_us),
        };
        let index = operation.index();
        if index >= self.operations.len() {
            self.operations.resize(index + 1, None);
        }
        let times =
            self.operations[index].get_or_insert_with(|| Box::new(OperationTimes::new(now)));
        times.record(time, now);
        time_us.saturating_mul(1000) / times.baseline_us
    }

    /// Records a run that was cancelled after `time`.
    ///
    /// `time` is only a lower bound of the run time, so it counts as a sample only if it
    /// reaches the 90th percentile. From half the median it still keeps the estimate from
    /// expiring. Returns what [`record`](Self::record) does, or `None` if it isn't a sample.
    pub(crate) fn record_cancelled(
        &mut self,
        operation: OperationKey,
        time: Duration,
        now: Instant,
    ) -> Option<u64> {
        let index = operation.index();
        let times = self.operations.get_mut(index)?.as_mut()?;
        let estimate = times.estimate?;
        if time >= estimate.p90 {
            return Some(self.record(operation, time, now));
        }
        if time >= estimate.median / 2 {
            times.last_sample = now;
        }
        None
    }

    /// Expected run times of an operation; `None` without enough or recent samples.
    pub(crate) fn estimate(&self, operation: OperationKey, now: Instant) -> Option<Estimate> {
        let times = self.operations.get(operation.index())?.as_ref()?;
        let age = now.saturating_duration_since(times.last_sample);
        times.estimate.filter(|_| age < ESTIMATE_TTL)
    }

    /// Average run time over all operations; zero until a run has completed.
    pub(crate) fn mean(&self) -> Duration {
        Duration::from_micros(self.mean_us)
    }
}
