//! Detects past overloads and measures how long recovery took.

use serde::Serialize;

use crate::burn::Scope;
use crate::counts::{Counts, ratio};
use crate::timeline::Point;

/// Share of the baseline goodput below which a scope counts as overloaded.
const MIN_BASELINE_SHARE: f64 = 0.95;

/// Time for which goodput must stay recovered for an overload to end, in milliseconds.
const MIN_RECOVERED_MS: u64 = 3_000;

/// Time before an overload over which the baseline is averaged, in milliseconds.
const BASELINE_MS: u64 = 60_000;

/// Multiple of the baseline rate of offered worth above which an interval is a surge.
const SURGE_RATIO: f64 = 1.2;

/// Number of failed requests below which an overload is ignored as noise.
const MIN_FAILED: u64 = 10;

/// A period from when goodput by worth fell below 95% of its earlier level until it
/// recovered.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Overload {
    /// Requests that were affected.
    pub scope: Scope,
    /// Start, in milliseconds before the export.
    pub began_ms_ago: u64,
    /// Time until goodput recovered, in milliseconds; `None` if it has not recovered yet.
    pub lasted_ms: Option<u64>,
    /// Time from the end of the surge until goodput recovered, in milliseconds; `None` if
    /// it has not recovered yet.
    ///
    /// Without a surge, for example with a slow target, it is measured from the start of
    /// the overload.
    pub recovery_ms: Option<u64>,
    /// Lowest goodput share of any interval of the overload, from 0 to 1.
    pub least_goodput_share: f64,
    /// Requests of the overload that got no complete answer within the deadline.
    pub failed: u64,
}

/// Detects the overloads of one scope; `points` are sorted oldest first.
pub(crate) fn detect(scope: &Scope, points: &[Point]) -> Vec<Overload> {
    let mut overloads = Vec::new();
    let mut index = 0;
    while index < points.len() {
        let baseline = Baseline::before(points, index);
        if !baseline.is_degraded(&points[index]) {
            index += 1;
            continue;
        }
        let end = find_recovery(points, index, &baseline);
        let span = &points[index..end.unwrap_or(points.len())];
        let overload = summarise(scope, span, &baseline, end.is_some());
        if overload.failed >= MIN_FAILED {
            overloads.push(overload);
        }
        index = end.unwrap_or(points.len());
    }
    overloads
}

/// Goodput and rate of offered worth over the [`BASELINE_MS`] before a point.
struct Baseline {
    goodput_share: f64,
    offered_per_s: f64,
}

impl Baseline {
    /// Averages the points before `points[index]`; without any, goodput counts as complete
    /// and nothing is a surge.
    fn before(points: &[Point], index: usize) -> Self {
        let since_ms = points[index].began_ms_ago.saturating_add(BASELINE_MS);
        let earlier = points[..index].iter().rev();
        let earlier = earlier.take_while(|point| point.began_ms_ago <= since_ms);
        let mut sum = Counts::default();
        let mut length_ms = 0_u64;
        for point in earlier {
            sum += point.counts;
            length_ms += point.length_ms;
        }
        Baseline {
            goodput_share: sum.goodput_share().unwrap_or(1.0),
            offered_per_s: ratio(sum.worth_offered.saturating_mul(1_000), length_ms)
                .unwrap_or(f64::MAX),
        }
    }

    fn is_degraded(&self, point: &Point) -> bool {
        let share = point.counts.goodput_share();
        share.is_some_and(|share| share < MIN_BASELINE_SHARE * self.goodput_share)
    }

    fn is_surge(&self, point: &Point) -> bool {
        point.per_second(point.counts.worth_offered) > SURGE_RATIO * self.offered_per_s
    }
}

/// Returns the index of the first point from which goodput stays recovered for
/// [`MIN_RECOVERED_MS`].
fn find_recovery(points: &[Point], from: usize, baseline: &Baseline) -> Option<usize> {
    let mut recovered_at: Option<usize> = None;
    let mut recovered_ms = 0;
    for (index, point) in points.iter().enumerate().skip(from) {
        if baseline.is_degraded(point) {
            recovered_at = None;
            recovered_ms = 0;
            continue;
        }
        recovered_at = recovered_at.or(Some(index));
        recovered_ms += point.length_ms;
        if recovered_ms >= MIN_RECOVERED_MS {
            return recovered_at;
        }
    }
    None
}

fn summarise(scope: &Scope, span: &[Point], baseline: &Baseline, recovered: bool) -> Overload {
    let began_ms_ago = span[0].began_ms_ago;
    let length = |points: &[Point]| points.iter().map(|point| point.length_ms).sum::<u64>();
    let surge = span.iter().rposition(|point| baseline.is_surge(point));
    let after_surge = surge.map_or(span, |last| &span[last + 1..]);
    let shares = span.iter().filter_map(|point| point.counts.goodput_share());
    let mut total = Counts::default();
    for point in span {
        total += point.counts;
    }
    Overload {
        scope: scope.clone(),
        began_ms_ago,
        lasted_ms: recovered.then(|| length(span)),
        recovery_ms: recovered.then(|| length(after_surge)),
        least_goodput_share: shares.fold(1.0, f64::min),
        failed: total.failed(),
    }
}
