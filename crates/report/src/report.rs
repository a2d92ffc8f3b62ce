//! The whole report.

use serde::Serialize;

use crate::burn::{self, Row, Scope, Window};
use crate::history::HistoryExport;
use crate::overload::{self, Overload};
use crate::timeline::{Point, Timeline};

/// Span in which overloads are looked for and which plots show, in milliseconds.
const RECENT_MS: u64 = 3_600_000;

/// Service-level burn of a fleet, as far as its daemons remember.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Daemons that were read.
    pub daemons: usize,
    /// Daemons that could not be read.
    pub unread: Vec<String>,
    /// Longest and shortest memory of a daemon, in milliseconds.
    pub reach_ms: Option<(u64, u64)>,
    /// The spans of time of all rows.
    pub windows: Vec<Window>,
    /// Everything, each class, each operation.
    pub rows: Vec<Row>,
    /// Overloads of the last hour, the oldest first.
    pub overloads: Vec<Overload>,
    #[serde(skip)]
    pub(crate) plots: Vec<(Scope, Vec<Point>)>,
}

impl Report {
    /// Builds the report from what each daemon remembers.
    ///
    /// `unread` names daemons that did not answer.
    #[must_use]
    pub fn build(histories: &[HistoryExport], unread: Vec<String>) -> Self {
        let timeline = Timeline::merge(histories);
        let scopes = burn::scopes(&timeline);
        let points = |scope: &Scope| timeline.points(RECENT_MS, |series| scope.contains(series));
        let reaches = || histories.iter().map(HistoryExport::reach_ms);
        let mut overloads: Vec<Overload> = scopes
            .iter()
            .flat_map(|scope| overload::find(scope, &points(scope)))
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

    /// Writes the report as JSON.
    ///
    /// # Panics
    ///
    /// Never: every field has a text form.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).expect("a report always serializes")
    }
}
