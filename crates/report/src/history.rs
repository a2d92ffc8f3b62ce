//! What one daemon remembers of how requests ended, in bounded memory.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use model::{Class, OperationName, ServiceName};
use serde::{Deserialize, Serialize};

use crate::counts::{Counts, Ending};

/// Memory of one resolution: how long a bucket is and how many there are.
struct TierConfig {
    bucket: Duration,
    buckets: usize,
}

/// From the last ten minutes by the second to the last three days by five minutes.
///
/// The youngest bucket is still open, so that there is one more than the span needs.
const TIERS: [TierConfig; 3] = [
    TierConfig {
        bucket: Duration::from_secs(1),
        buckets: 601,
    },
    TierConfig {
        bucket: Duration::from_secs(10),
        buckets: 361,
    },
    TierConfig {
        bucket: Duration::from_mins(5),
        buckets: 865,
    },
];

/// Most counts that one tier keeps; beyond that its oldest buckets go first.
const MAX_CELLS_PER_TIER: usize = 50_000;

/// What one daemon remembers of how requests from outside ended.
///
/// It is lost when the daemon stops, so that a report says how far it reaches.
#[derive(Debug)]
pub struct History {
    started: Instant,
    series: Vec<Series>,
    tiers: [Tier; TIERS.len()],
}

/// What is counted together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Series {
    /// Class of the requests.
    pub class: Class,
    /// Service that they entered at.
    pub service: ServiceName,
    /// Operation that they asked for.
    pub operation: OperationName,
    /// Whole answers in time that are promised, per thousand.
    pub objective_permille: u16,
}

/// Key of a series in one history.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SeriesKey(u32);

#[derive(Debug, Default)]
struct Tier {
    buckets: VecDeque<Bucket>,
    cells: usize,
    /// Buckets before this one were dropped for want of memory.
    first: u64,
}

#[derive(Debug)]
struct Bucket {
    /// Number of the bucket since the start of the history.
    number: u64,
    cells: Vec<(SeriesKey, Counts)>,
}

/// A history as read from one daemon; times are counted back from the reading.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HistoryExport {
    /// Time since the daemon began to count, in milliseconds.
    pub age_ms: u64,
    /// What was counted.
    pub series: Vec<Series>,
    /// Buckets by resolution, the finest first.
    pub tiers: Vec<TierExport>,
}

/// Buckets of one resolution.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TierExport {
    /// Length of a bucket, in milliseconds.
    pub bucket_ms: u64,
    /// How far back the tier reaches, in milliseconds.
    pub reach_ms: u64,
    /// Buckets in which anything was counted, the oldest first.
    pub buckets: Vec<BucketExport>,
}

/// What was counted in one span of time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BucketExport {
    /// When the bucket began, in milliseconds before the reading.
    pub began_ms_ago: u64,
    /// Counts by position in the list of series.
    pub cells: Vec<(u32, Counts)>,
}

impl History {
    /// Starts with an empty memory.
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
    /// There are as many series as the configuration names; callers cannot add any.
    pub fn register(&mut self, series: Series) -> SeriesKey {
        let found = self.series.iter().position(|known| *known == series);
        let at = found.unwrap_or_else(|| {
            self.series.push(series);
            self.series.len() - 1
        });
        SeriesKey(u32::try_from(at).unwrap_or(u32::MAX))
    }

    /// Counts one request.
    pub fn record(&mut self, key: SeriesKey, worth: u32, ending: Ending, now: Instant) {
        let age = now.saturating_duration_since(self.started);
        for (tier, config) in self.tiers.iter_mut().zip(&TIERS) {
            tier.cell(config, age, key).record(worth, ending);
            tier.forget(config, age);
        }
    }

    /// Writes down everything that is still remembered.
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
    /// Returns how far back the daemon remembers, in milliseconds.
    #[must_use]
    pub fn reach_ms(&self) -> u64 {
        let reaches = self.tiers.iter().map(|tier| tier.reach_ms);
        reaches.max().unwrap_or(0)
    }
}

impl Tier {
    fn cell(&mut self, config: &TierConfig, age: Duration, key: SeriesKey) -> &mut Counts {
        let number = bucket_number(config, age);
        // Several threads may hand in times that are slightly out of order.
        if self.buckets.back().is_none_or(|last| last.number < number) {
            self.buckets.push_back(Bucket {
                number,
                cells: Vec::new(),
            });
        }
        let last = self.buckets.len() - 1;
        let cells = &mut self.buckets[last].cells;
        let at = match cells.binary_search_by_key(&key, |(key, _)| *key) {
            Ok(at) => at,
            Err(at) => {
                self.cells += 1;
                cells.insert(at, (key, Counts::default()));
                at
            }
        };
        &mut cells[at].1
    }

    fn forget(&mut self, config: &TierConfig, age: Duration) {
        let oldest = oldest_kept(config, age);
        while let Some(bucket) = self.buckets.front() {
            let crowded = self.cells > MAX_CELLS_PER_TIER && self.buckets.len() > 1;
            if bucket.number >= oldest && !crowded {
                return;
            }
            self.first = bucket.number + 1;
            self.cells -= bucket.cells.len();
            self.buckets.pop_front();
        }
    }

    fn export(&self, config: &TierConfig, age: Duration) -> TierExport {
        let bucket_ms = millis(config.bucket);
        let age_ms = millis(age);
        let oldest = oldest_kept(config, age).max(self.first);
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
    millis(age) / millis(config.bucket)
}

fn oldest_kept(config: &TierConfig, age: Duration) -> u64 {
    let kept = u64::try_from(config.buckets).unwrap_or(u64::MAX);
    (bucket_number(config, age) + 1).saturating_sub(kept)
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
