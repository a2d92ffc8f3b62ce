//! Error budgets and how fast they are used up.

use model::Class;
use serde::Serialize;

use crate::counts::Counts;
use crate::history::{HistoryExport, Series};
use crate::timeline::Timeline;

/// Spans of time over which the burn is told, in milliseconds, with their names.
pub(crate) const WINDOWS: [(&str, u64); 4] = [
    ("5 min", 300_000),
    ("1 h", 3_600_000),
    ("6 h", 21_600_000),
    ("3 d", 259_200_000),
];

/// A span of time and how much of it the daemons remember.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Window {
    /// Name of the span.
    pub name: &'static str,
    /// Length of the span, in milliseconds.
    pub length_ms: u64,
    /// How much of it the daemon with the longest memory covers, in milliseconds.
    pub covered_ms: u64,
    /// Daemons whose memory is shorter than the span.
    pub short_daemons: usize,
}

/// What is reported together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Scope {
    /// All requests.
    All,
    /// All requests of one class.
    Class(Class),
    /// All requests for one operation.
    Operation(Series),
}

/// How one scope did in one window.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Burn {
    /// Requests by their ending.
    pub counts: Counts,
    /// Requests that the objectives allow to fail.
    pub allowed: f64,
    /// Share of the worth offered that was answered in time.
    pub goodput_share: Option<f64>,
    /// Failed requests per allowed one: above 1 the budget will not last.
    ///
    /// `None` if nothing was asked or the objective allows no failure.
    pub rate: Option<f64>,
}

/// How one scope did over all windows.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// What is reported.
    pub scope: Scope,
    /// One entry for each window.
    pub burns: Vec<Burn>,
    /// Share of the error budget of the longest window that is left; negative if overspent.
    pub budget_left: Option<f64>,
}

impl Scope {
    /// True if a series belongs to this scope.
    #[must_use]
    pub fn contains(&self, series: &Series) -> bool {
        match self {
            Scope::All => true,
            Scope::Class(class) => series.class == *class,
            Scope::Operation(own) => own == series,
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

/// Lists what is reported: everything, each class, each operation.
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

pub(crate) fn windows(timeline: &Timeline, histories: &[HistoryExport]) -> Vec<Window> {
    let reach = |length_ms: u64| timeline.layer_for(length_ms).map_or(0, |l| l.reach_ms);
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

pub(crate) fn rows(timeline: &Timeline, scopes: &[Scope]) -> Vec<Row> {
    let series = timeline.series.len();
    let totals = WINDOWS.map(|(_, span_ms)| {
        let layer = timeline.layer_for(span_ms);
        layer.map_or_else(Vec::new, |layer| layer.totals(span_ms, series))
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
