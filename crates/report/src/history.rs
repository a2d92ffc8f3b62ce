//! Request counts of one daemon over time, in bounded memory.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use model::{Class, OperationName, ServiceName};
use serde::{Deserialize, Serialize};

use crate::counts::{Counts, Ending};

/// Length and maximum number of the buckets of one tier.
struct TierConfig {
    bucket_length: Duration,
    max_buckets: usize,
}

/// Resolutions, from one second over the last ten minutes to five minutes over the last
/// three days.
///
/// The most recent bucket is still being filled, so each tier has one bucket more than its
/// span needs.
const TIERS: [TierConfig; 3] = [
    TierConfig {
        bucket_length: Duration::from_secs(1),
        max_buckets: 601,
    },
    TierConfig {
        bucket_length: Duration::from_secs(10),
        max_buckets: 361,
    },
    TierConfig {
        bucket_length: Duration::from_mins(5),
        max_buckets: 865,
    },
];

/// Maximum number of cells, each the counts of one series in one bucket, in a tier; beyond
/// that, its oldest buckets are evicted.
const MAX_CELLS_PER_TIER: usize = 50_000;

/// Counts of how root requests to one daemon ended, by series and time.
///
/// A history is not persisted: it restarts empty with the daemon. Exports therefore state
/// the span that they cover.
#[derive(Debug)]
pub struct History {
    started: Instant,
    series: Vec<Series>,
    tiers: [Tier; TIERS.len()],
}

/// Root requests that are counted together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Series {
    /// Class of the requests.
    pub class: Class,
    /// Service that received them.
    pub service: ServiceName,
    /// Operation that they called.
    pub operation: OperationName,
    /// Service-level objective: complete answers within the deadline per 1000 requests.
    pub objective_permille: u16,
}

/// Key of a series in the [`History`] that returned it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SeriesKey(u32);

/// Buckets of one resolution.
#[derive(Debug, Default)]
struct Tier {
    /// Non-empty buckets, oldest first.
    buckets: VecDeque<Bucket>,
    /// Number of cells in all buckets.
    cell_count: usize,
    /// Buckets with lower numbers were evicted by age or by [`MAX_CELLS_PER_TIER`].
    first_kept: u64,
}

/// Counts of one interval.
#[derive(Debug)]
struct Bucket {
    /// Number of buckets between the start of the history and this one.
    number: u64,
    /// Counts of each series with at least one request, sorted by key.
    cells: Vec<(SeriesKey, Counts)>,
}

/// Serializable copy of a [`History`].
///
/// Times are measured back from the export, so clocks need not agree.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HistoryExport {
    /// Time since the history was created, in milliseconds.
    pub age_ms: u64,
    /// Series to which the cells of the buckets refer by index.
    pub series: Vec<Series>,
    /// Buckets by resolution, shortest buckets first.
    pub tiers: Vec<TierExport>,
}

/// Buckets of one resolution.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TierExport {
    /// Length of a bucket, in milliseconds.
    pub bucket_ms: u64,
    /// Span before the export that the tier covers, in milliseconds.
    pub reach_ms: u64,
    /// Non-empty buckets, oldest first.
    pub buckets: Vec<BucketExport>,
}

/// Counts of one interval.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BucketExport {
    /// Start of the interval, in milliseconds before the export.
    pub began_ms_ago: u64,
    /// Counts by index into [`HistoryExport::series`].
    pub cells: Vec<(u32, Counts)>,
}

impl History {
    /// Creates an empty history that starts at `now`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        History {
            started: now,
            series: Vec::new(),
            tiers: Default::default(),
        }
    }

    /// Returns the key of a series, adding it if it is new.
    ///
    /// The number of series is not limited here. Register only services and operations that
    /// the configuration names, as names taken from requests could grow it without bound.
    pub fn register(&mut self, series: Series) -> SeriesKey {
        let found = self.series.iter().position(|known| *known == series);
        let index = found.unwrap_or_else(|| {
            self.series.push(series);
            self.series.len() - 1
        });
        SeriesKey(u32::try_from(index).unwrap_or(u32::MAX))
    }

    /// Counts one request of the given worth.
    pub fn record(&mut self, key: SeriesKey, worth: u32, ending: Ending, now: Instant) {
        let age = now.saturating_duration_since(self.started);
        for (tier, config) in self.tiers.iter_mut().zip(&TIERS) {
            tier.cell_mut(config, age, key).record(worth, ending);
            tier.evict(config, age);
        }
    }

    /// Returns a copy of all counts that are still within the spans of their tiers.
    #[must_use]
    pub fn export(&self, now: Instant) -> HistoryExport {
        let age = now.saturating_duration_since(self.started);
        let tiers = self.tiers.iter().zip(&TIERS);
        HistoryExport {
            age_ms: millis(age),
            series: self.series.clone(),
            tiers: tiers
                .map(|(tier, config)| tier.export(config, age))
                .collect(),
        }
    }
}

impl HistoryExport {
    /// Returns the longest span that any tier covers, in milliseconds.
    #[must_use]
    pub fn reach_ms(&self) -> u64 {
        let reaches = self.tiers.iter().map(|tier| tier.reach_ms);
        reaches.max().unwrap_or(0)
    }
}

impl Tier {
    /// Returns the counts of a series in the current bucket, adding them if missing.
    fn cell_mut(&mut self, config: &TierConfig, age: Duration, key: SeriesKey) -> &mut Counts {
        let number = bucket_number(config, age);
        // Threads may pass times slightly out of order; a late one is counted in the most
        // recent bucket.
        if self.buckets.back().is_none_or(|last| last.number < number) {
            self.buckets.push_back(Bucket {
                number,
                cells: Vec::new(),
            });
        }
        let last = self.buckets.len() - 1;
        let cells = &mut self.buckets[last].cells;
        let index = match cells.binary_search_by_key(&key, |(key, _)| *key) {
            Ok(index) => index,
            Err(index) => {
                self.cell_count += 1;
                cells.insert(index, (key, Counts::default()));
                index
            }
        };
        &mut cells[index].1
    }

    /// Drops buckets that are too old, and the oldest ones while there are too many cells.
    fn evict(&mut self, config: &TierConfig, age: Duration) {
        let oldest = oldest_kept(config, age);
        while let Some(bucket) = self.buckets.front() {
            let over_limit = self.cell_count > MAX_CELLS_PER_TIER && self.buckets.len() > 1;
            if bucket.number >= oldest && !over_limit {
                return;
            }
            self.first_kept = bucket.number + 1;
            self.cell_count -= bucket.cells.len();
            self.buckets.pop_front();
        }
    }

    fn export(&self, config: &TierConfig, age: Duration) -> TierExport {
        let bucket_ms = millis(config.bucket_length);
        let age_ms = millis(age);
        let oldest = oldest_kept(config, age).max(self.first_kept);
        let kept = self.buckets.iter().filter(|b| b.number >= oldest);
        TierExport {
            bucket_ms,
            reach_ms: age_ms.saturating_sub(oldest * bucket_ms),
            buckets: kept
                .map(|bucket| BucketExport {
                    began_ms_ago: age_ms.saturating_sub(bucket.number * bucket_ms),
                    cells: bucket.cells.iter().map(|(key, c)| (key.0, *c)).collect(),
                })
                .collect(),
        }
    }
}

fn bucket_number(config: &TierConfig, age: Duration) -> u64 {
    millis(age) / millis(config.bucket_length)
}

/// Returns the number of the oldest bucket within the span of the tier.
fn oldest_kept(config: &TierConfig, age: Duration) -> u64 {
    let max_buckets = u64::try_from(config.max_buckets).unwrap_or(u64::MAX);
    (bucket_number(config, age) + 1).saturating_sub(max_buckets)
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
