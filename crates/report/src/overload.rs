//! Overloads that were seen, and how long recovery took.

use serde::Serialize;

use crate::burn::Scope;
use crate::counts::{Counts, ratio};
use crate::timeline::Point;

/// Share of the earlier goodput below which a scope is overloaded.
const RECOVERED_SHARE: f64 = 0.95;

/// Time for which goodput must be back for an overload to be over, in milliseconds.
const CALM_MS: u64 = 3_000;

/// Time before an overload from which the earlier goodput is taken, in milliseconds.
const BASELINE_MS: u64 = 60_000;

/// Offered work above this multiple of the earlier rate counts as a surge.
const SURGE_RATIO: f64 = 1.2;

/// Fewer failed requests than this are noise.
const MIN_FAILED: u64 = 10;

/// One overload: goodput by worth fell below 95% of what it was before.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Overload {
    /// What was overloaded.
    pub scope: Scope,
    /// When it began, in milliseconds before the reading.
    pub began_ms_ago: u64,
    /// Time until goodput was back, in milliseconds; `None` if it is not back yet.
    pub lasted_ms: Option<u64>,
    /// Time from the end of the surge until goodput was back, in milliseconds.
    ///
    /// Without a surge, such as with a slow target, it is counted from the beginning.
    pub recovery_ms: Option<u64>,
    /// Least share of the worth offered that was answered in time meanwhile.
    pub least_goodput_share: f64,
    /// Requests without a whole answer in time meanwhile.
    pub failed: u64,
}

/// Finds the overloads of one scope; the points run from the oldest to the youngest.
pub(crate) fn find(scope: &Scope, points: &[Point]) -> Vec<Overload> {
    let mut overloads = Vec::new();
    let mut at = 0;
    while at < points.len() {
        let earlier = Baseline::before(points, at);
        if !earlier.is_exceeded(&points[at]) {
            at += 1;
            continue;
        }
        let end = end_of(points, at, &earlier);
        let span = &points[at..end.unwrap_or(points.len())];
        let overload = summarise(scope, span, &earlier, end.is_some());
        if overload.failed >= MIN_FAILED {
            overloads.push(overload);
        }
        at = end.unwrap_or(points.len());
    }
    overloads
}

/// Goodput and offered work before a point.
struct Baseline {
    goodput_share: f64,
    offered_per_s: f64,
}

impl Baseline {
    fn before(points: &[Point], at: usize) -> Self {
        let since_ms = points[at].began_ms_ago.saturating_add(BASELINE_MS);
        let earlier = points[..at].iter().rev();
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

    fn is_exceeded(&self, point: &Point) -> bool {
        let share = point.counts.goodput_share();
        share.is_some_and(|share| share < RECOVERED_SHARE * self.goodput_share)
    }

    fn is_surge(&self, point: &Point) -> bool {
        point.per_second(point.counts.worth_offered) > SURGE_RATIO * self.offered_per_s
    }
}

/// Returns the first point after which goodput stayed good for long enough.
fn end_of(points: &[Point], from: usize, earlier: &Baseline) -> Option<usize> {
    let mut calm_since: Option<usize> = None;
    let mut calm_ms = 0;
    for (at, point) in points.iter().enumerate().skip(from) {
        if earlier.is_exceeded(point) {
            calm_since = None;
            calm_ms = 0;
            continue;
        }
        calm_since = calm_since.or(Some(at));
        calm_ms += point.length_ms;
        if calm_ms >= CALM_MS {
            return calm_since;
        }
    }
    None
}

fn summarise(scope: &Scope, span: &[Point], earlier: &Baseline, over: bool) -> Overload {
    let began_ms_ago = span[0].began_ms_ago;
    let length = |points: &[Point]| points.iter().map(|point| point.length_ms).sum::<u64>();
    let surge = span.iter().rposition(|point| earlier.is_surge(point));
    let after_surge = surge.map_or(span, |last| &span[last + 1..]);
    let shares = span.iter().filter_map(|point| point.counts.goodput_share());
    let mut failed = Counts::default();
    for point in span {
        failed += point.counts;
    }
    Overload {
        scope: scope.clone(),
        began_ms_ago,
        lasted_ms: over.then(|| length(span)),
        recovery_ms: over.then(|| length(after_surge)),
        least_goodput_share: shares.fold(1.0, f64::min),
        failed: failed.failed(),
    }
}
