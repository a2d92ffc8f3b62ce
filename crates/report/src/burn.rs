//! Error budgets and their burn rates.

use model::Class;
use serde::Serialize;

use crate::counts::Counts;
use crate::history::{HistoryExport, Series};
use crate::timeline::Timeline;

/// Names and lengths, in milliseconds, of the windows over which burn rates are computed.
pub(crate) const WINDOWS: [(&str, u64); 4] = [
    ("5 min", 300_000),
    ("1 h", 3_600_000),
    ("6 h", 21_600_000),
    ("3 d", 259_200_000),
];

/// A window of time and how much of it the histories cover.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Window {
    /// Name of the window.
    pub name: &'static str,
    /// Length of the window, in milliseconds.
    pub length_ms: u64,
    /// Part of the window that the longest history covers, in milliseconds.
    pub covered_ms: u64,
    /// Number of daemons whose history does not cover the whole window.
    pub short_daemons: usize,
}

/// Set of requests for which results or overloads are reported together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Scope {
    /// All requests.
    All,
    /// All requests of one class.
    Class(Class),
    /// All requests of one series.
    Operation(Series),
}

/// Results of one scope in one window.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Burn {
    /// Requests by their ending.
    pub counts: Counts,
    /// Error budget: number of requests that the objectives allow to fail.
    pub allowed: f64,
    /// Share of the offered worth that was answered in time, from 0 to 1.
    pub goodput_share: Option<f64>,
    /// Burn rate: failed requests divided by allowed ones. Above 1, the budget is used up
    /// before the window ends.
    ///
    /// `None` if there were no requests or the objectives allow no failure.
    pub rate: Option<f64>,
}

/// Results of one scope in all windows.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// Requests that the row covers.
    pub scope: Scope,
    /// One entry for each window, in the order of the windows.
    pub burns: Vec<Burn>,
    /// Remaining share of the error budget of the longest window; negative if overspent.
    pub budget_left: Option<f64>,
}

impl Scope {
    /// Returns true if the series belongs to this scope.
    #[must_use]
    pub fn contains(&self, series: &Series) -> bool {
        match self {
            Scope::All => true,
            Scope::Class(class) => series.class == *class,
            Scope::Operation(operation) => operation == series,
        }
    }
}

impl std::fmt::Display for Scope {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Scope::All => f.write_str("all requests"),
            Scope::Class(class) => write!(f, "class {class}"),
            Scope::Operation(series) => write!(f, "{}/{}", series.service, series.operation),
        }
    }
}

/// Lists the scopes of a report: all requests, each class, each series.
pub(crate) fn scopes(timeline: &Timeline) -> Vec<Scope> {
    let mut scopes = vec![Scope::All];
    for class in Class::ALL.into_iter().rev() {
        if timeline.series.iter().any(|series| series.class == class) {
            scopes.push(Scope::Class(class));
        }
    }
    let operations = timeline.series.iter().cloned().map(Scope::Operation);
    scopes.extend(operations);
    scopes
}

/// Returns the windows with the part of each that the histories cover.
pub(crate) fn windows(timeline: &Timeline, histories: &[HistoryExport]) -> Vec<Window> {
    let reach = |length_ms: u64| timeline.tier_for(length_ms).map_or(0, |tier| tier.reach_ms);
    let short = |length_ms| {
        histories
            .iter()
            .filter(|h| h.reach_ms() < length_ms)
            .count()
    };
    WINDOWS
        .into_iter()
        .map(|(name, length_ms)| Window {
            name,
            length_ms,
            covered_ms: reach(length_ms).min(length_ms),
            short_daemons: short(length_ms),
        })
        .collect()
}

/// Computes the results of each scope in all windows.
pub(crate) fn rows(timeline: &Timeline, scopes: &[Scope]) -> Vec<Row> {
    let series = timeline.series.len();
    let totals = WINDOWS.map(|(_, span_ms)| {
        let tier = timeline.tier_for(span_ms);
        tier.map_or_else(Vec::new, |tier| tier.totals(span_ms, series))
    });
    let row = |scope: &Scope| {
        let burns = totals.iter().map(|totals| burn(timeline, scope, totals));
        let burns: Vec<Burn> = burns.collect();
        let budget_left = burns
            .last()
            .and_then(|burn| burn.rate)
            .map(|rate| 1.0 - rate);
        Row {
            scope: scope.clone(),
            burns,
            budget_left,
        }
    };
    scopes.iter().map(row).collect()
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts beyond 2^53 are not reached, and a report rounds anyway"
)]
fn burn(timeline: &Timeline, scope: &Scope, totals: &[Counts]) -> Burn {
    let mut counts = Counts::default();
    let mut allowed = 0.0;
    for (series, total) in timeline.series.iter().zip(totals) {
        if scope.contains(series) {
            counts += *total;
            let failing_permille = 1_000 - series.objective_permille.min(1_000);
            allowed += total.total() as f64 * f64::from(failing_permille) / 1_000.0;
        }
    }
    Burn {
        counts,
        allowed,
        goodput_share: counts.goodput_share(),
        rate: (allowed > 0.0).then(|| counts.failed() as f64 / allowed),
    }
}
