//! Builds the report from the histories of the daemons.

use serde::Serialize;

use crate::burn::{self, Row, Scope, Window};
use crate::history::HistoryExport;
use crate::overload::{self, Overload};
use crate::timeline::{Point, Timeline};

/// Span that the plots show and in which overloads are detected, in milliseconds.
const RECENT_MS: u64 = 3_600_000;

/// Burn of a fleet's error budgets over the span that its daemons' histories cover.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Number of daemons that were read.
    pub daemons: usize,
    /// Daemons that could not be read, as text for the report.
    pub unread: Vec<String>,
    /// Longest and shortest span that a daemon's history covers, in milliseconds; `None` if
    /// no daemon was read.
    pub reach_ms: Option<(u64, u64)>,
    /// Windows of the burn rates of all rows.
    pub windows: Vec<Window>,
    /// One row for all requests, one for each class, one for each series.
    pub rows: Vec<Row>,
    /// Overloads of the last hour, oldest first.
    pub overloads: Vec<Overload>,
    /// Points of the last hour, oldest first, of all requests and of each class, for the
    /// HTML page.
    #[serde(skip)]
    pub(crate) plots: Vec<(Scope, Vec<Point>)>,
}

impl Report {
    /// Builds the report from the history of each daemon.
    ///
    /// `unread` lists the daemons that could not be read, as text for the report.
    #[must_use]
    pub fn build(histories: &[HistoryExport], unread: Vec<String>) -> Self {
        let timeline = Timeline::merge(histories);
        let scopes = burn::scopes(&timeline);
        let points = |scope: &Scope| timeline.points(RECENT_MS, |series| scope.contains(series));
        let reaches = || histories.iter().map(HistoryExport::reach_ms);
        let mut overloads: Vec<Overload> = scopes
            .iter()
            .flat_map(|scope| overload::detect(scope, &points(scope)))
            .collect();
        overloads.sort_by_key(|overload| std::cmp::Reverse(overload.began_ms_ago));
        let plotted = scopes.iter().filter(|s| !matches!(s, Scope::Operation(_)));
        Report {
            daemons: histories.len(),
            unread,
            reach_ms: reaches().max().zip(reaches().min()),
            windows: burn::windows(&timeline, histories),
            rows: burn::rows(&timeline, &scopes),
            overloads,
            plots: plotted.map(|s| (s.clone(), points(s))).collect(),
        }
    }

    /// Serializes the report as indented JSON.
    ///
    /// # Panics
    ///
    /// Never: every field can be written as JSON.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).expect("a report always serializes")
    }
}
