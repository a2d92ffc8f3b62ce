//! Merges the histories of several daemons into one time axis.

use std::collections::BTreeMap;

use crate::counts::Counts;
use crate::history::{HistoryExport, Series, TierExport};

/// Counts of all daemons on one time axis, which is measured back from the export.
#[derive(Clone, Debug, Default)]
pub(crate) struct Timeline {
    /// Distinct series of all daemons, sorted by descending class.
    pub(crate) series: Vec<Series>,
    /// One entry for each bucket length, the shortest first.
    pub(crate) tiers: Vec<MergedTier>,
}

/// Counts of all daemons at one resolution.
#[derive(Clone, Debug, Default)]
pub(crate) struct MergedTier {
    /// Length of a bucket, in milliseconds.
    pub(crate) bucket_ms: u64,
    /// Longest span that a daemon covers at this resolution, in milliseconds.
    pub(crate) reach_ms: u64,
    /// Counts by bucket, where 0 is the most recent one, and by index into the series.
    cells: BTreeMap<(u64, usize), Counts>,
}

/// Counts of one time interval.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Point {
    /// Start of the interval, in milliseconds before the export.
    pub(crate) began_ms_ago: u64,
    /// Length of the interval, in milliseconds.
    pub(crate) length_ms: u64,
    pub(crate) counts: Counts,
}

impl Timeline {
    /// Adds up the counts of all histories, series by series.
    pub(crate) fn merge(histories: &[HistoryExport]) -> Self {
        let mut series: Vec<Series> = histories.iter().flat_map(|h| h.series.clone()).collect();
        series.sort_by(|a, b| b.class.cmp(&a.class).then_with(|| a.cmp(b)));
        series.dedup();
        let mut timeline = Timeline {
            series,
            tiers: Vec::new(),
        };
        for history in histories {
            let series_indices: Vec<Option<usize>> = history
                .series
                .iter()
                .map(|exported| timeline.series.iter().position(|known| known == exported))
                .collect();
            for tier in history.tiers.iter().filter(|tier| tier.bucket_ms > 0) {
                timeline
                    .tier_mut(tier.bucket_ms)
                    .merge(tier, &series_indices);
            }
        }
        timeline.tiers.sort_by_key(|tier| tier.bucket_ms);
        timeline
    }

    fn tier_mut(&mut self, bucket_ms: u64) -> &mut MergedTier {
        let found = self
            .tiers
            .iter()
            .position(|tier| tier.bucket_ms == bucket_ms);
        let index = found.unwrap_or_else(|| {
            self.tiers.push(MergedTier {
                bucket_ms,
                ..MergedTier::default()
            });
            self.tiers.len() - 1
        });
        &mut self.tiers[index]
    }

    /// Returns the finest tier that covers the last `span_ms`, or else the one that covers
    /// the longest span.
    pub(crate) fn tier_for(&self, span_ms: u64) -> Option<&MergedTier> {
        let long_enough = self.tiers.iter().find(|tier| tier.reach_ms >= span_ms);
        long_enough.or_else(|| self.tiers.iter().rev().max_by_key(|tier| tier.reach_ms))
    }

    /// Returns the counts of the selected series over the last `span_ms`, oldest first.
    ///
    /// Each part of the span is taken from the finest tier that covers it.
    pub(crate) fn points(&self, span_ms: u64, is_selected: impl Fn(&Series) -> bool) -> Vec<Point> {
        let series = self.series.iter().enumerate();
        let series_indices: Vec<usize> = series
            .filter(|(_, s)| is_selected(s))
            .map(|(index, _)| index)
            .collect();
        let mut points = Vec::new();
        let mut covered_ms = 0;
        for tier in &self.tiers {
            let until = tier.reach_ms.min(span_ms) / tier.bucket_ms;
            let from = covered_ms / tier.bucket_ms;
            for buckets_ago in from..until {
                points.push(tier.point(buckets_ago, &series_indices));
            }
            covered_ms = covered_ms.max(until * tier.bucket_ms);
        }
        points.sort_by_key(|point| std::cmp::Reverse(point.began_ms_ago));
        points
    }
}

impl MergedTier {
    fn merge(&mut self, tier: &TierExport, series_indices: &[Option<usize>]) {
        self.reach_ms = self.reach_ms.max(tier.reach_ms);
        for bucket in &tier.buckets {
            // Buckets of different daemons do not start at the same time: a bucket is
            // assigned to the common bucket that contains its midpoint.
            let middle_ms_ago = bucket.began_ms_ago.saturating_sub(self.bucket_ms / 2);
            let buckets_ago = middle_ms_ago / self.bucket_ms;
            for (series, counts) in &bucket.cells {
                let series_index = usize::try_from(*series)
                    .ok()
                    .and_then(|index| *series_indices.get(index)?);
                if let Some(series_index) = series_index {
                    *self.cells.entry((buckets_ago, series_index)).or_default() += *counts;
                }
            }
        }
    }

    /// Returns the total of each series over the last `span_ms`, rounded up to whole
    /// buckets.
    pub(crate) fn totals(&self, span_ms: u64, series: usize) -> Vec<Counts> {
        let mut totals = vec![Counts::default(); series];
        let until = span_ms.div_ceil(self.bucket_ms);
        for ((_, series_index), counts) in self.cells.range(..(until, 0)) {
            totals[*series_index] += *counts;
        }
        totals
    }

    fn point(&self, buckets_ago: u64, series_indices: &[usize]) -> Point {
        let mut counts = Counts::default();
        for series_index in series_indices {
            if let Some(cell) = self.cells.get(&(buckets_ago, *series_index)) {
                counts += *cell;
            }
        }
        Point {
            began_ms_ago: (buckets_ago + 1) * self.bucket_ms,
            length_ms: self.bucket_ms,
            counts,
        }
    }
}

impl Point {
    /// Converts a count of this interval to a rate per second.
    pub(crate) fn per_second(&self, count: u64) -> f64 {
        crate::counts::ratio(count.saturating_mul(1_000), self.length_ms).unwrap_or(0.0)
    }
}
