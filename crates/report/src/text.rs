//! Formats the report as text for a terminal.

use std::fmt::Write;

use crate::burn::{Burn, Row, Window};
use crate::overload::Overload;
use crate::report::Report;

impl Report {
    /// Formats the report as text tables.
    #[must_use]
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        for line in self.coverage() {
            let _ = writeln!(text, "{line}");
        }
        text.push('\n');
        let header = ["", "requests", "goodput", "budget left"].map(str::to_owned);
        let burns = self.windows.iter().map(|w| format!("burn {}", w.name));
        let header: Vec<String> = header.into_iter().chain(burns).collect();
        let rows = self.rows.iter().map(row_cells);
        text.push_str(&table(std::iter::once(header).chain(rows).collect()));
        text.push('\n');
        if self.overloads.is_empty() {
            text.push_str("No overload in the last hour.\n");
            return text;
        }
        let header = [
            "overload of",
            "began",
            "lasted",
            "recovery",
            "least goodput",
            "failed",
        ];
        let header = header.map(str::to_owned).to_vec();
        let rows = self.overloads.iter().map(overload_cells);
        text.push_str(&table(std::iter::once(header).chain(rows).collect()));
        text
    }

    /// Describes how many daemons were read and which span their histories cover.
    pub(crate) fn coverage(&self) -> Vec<String> {
        let mut lines = vec![match self.reach_ms {
            Some((longest, shortest)) if format_span(longest) != format_span(shortest) => format!(
                "{} daemons read; they remember {} to {}",
                self.daemons,
                format_span(shortest),
                format_span(longest)
            ),
            Some((longest, _)) if self.daemons == 1 => {
                format!("1 daemon read; it remembers {}", format_span(longest))
            }
            Some((longest, _)) => {
                format!(
                    "{} daemons read; they remember {}",
                    self.daemons,
                    format_span(longest)
                )
            }
            None => "no daemon read".into(),
        }];
        for name in &self.unread {
            lines.push(format!("not read: {name}"));
        }
        let short = self.windows.iter().filter(|w| w.covered_ms < w.length_ms);
        lines.extend(short.map(|window| describe_short_window(window, self.daemons)));
        lines
    }
}

fn describe_short_window(window: &Window, daemons: usize) -> String {
    format!(
        "{} is covered for {} only: {} of {daemons} daemons remember less",
        window.name,
        format_span(window.covered_ms),
        window.short_daemons
    )
}

/// Returns the cells of one row of the table of error budgets.
pub(crate) fn row_cells(row: &Row) -> Vec<String> {
    let last = row.burns.last();
    let requests = last.map_or(0, |burn| burn.counts.total());
    let goodput = last.and_then(|burn| burn.goodput_share);
    let head = [
        row.scope.to_string(),
        format_count(requests),
        goodput.map_or_else(no_value, format_percent),
        row.budget_left.map_or_else(no_value, format_percent),
    ];
    head.into_iter()
        .chain(row.burns.iter().map(format_rate))
        .collect()
}

/// Returns the cells of one row of the table of overloads.
pub(crate) fn overload_cells(overload: &Overload) -> Vec<String> {
    let not_over = || "not over".to_owned();
    vec![
        overload.scope.to_string(),
        format!("{} ago", format_span(overload.began_ms_ago)),
        overload.lasted_ms.map_or_else(not_over, format_span),
        overload.recovery_ms.map_or_else(not_over, format_span),
        format_percent(overload.least_goodput_share),
        format_count(overload.failed),
    ]
}

/// Formats a burn rate, the multiple of the allowed rate at which the budget is used.
pub(crate) fn format_rate(burn: &Burn) -> String {
    match burn.rate {
        Some(rate) => format!("{rate:.2}"),
        None if burn.counts.failed() > 0 => "no budget".into(),
        None => no_value(),
    }
}

/// Formats a share in percent, rounded down so that 100 means that nothing failed.
pub(crate) fn format_percent(share: f64) -> String {
    format!("{:.1} %", (share * 1_000.0).floor() / 10.0)
}

/// Formats a duration in milliseconds, using its two largest units.
pub(crate) fn format_span(ms: u64) -> String {
    let seconds = ms / 1_000;
    match seconds {
        0..60 => format!("{seconds} s"),
        60..3_600 => format!("{} min {} s", seconds / 60, seconds % 60),
        3_600..86_400 => format!("{} h {} min", seconds / 3_600, seconds / 60 % 60),
        _ => format!("{} d {} h", seconds / 86_400, seconds / 3_600 % 24),
    }
}

/// Formats a count with spaces between groups of three digits.
fn format_count(count: u64) -> String {
    let digits = count.to_string();
    let mut text = String::new();
    for (index, digit) in digits.chars().enumerate() {
        if index > 0 && (digits.len() - index).is_multiple_of(3) {
            text.push(' ');
        }
        text.push(digit);
    }
    text
}

/// Returns the text of a cell without a value.
fn no_value() -> String {
    "-".into()
}

/// Formats a table: the first column is aligned to the left, all others to the right.
fn table(rows: Vec<Vec<String>>) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let mut text = String::new();
    for row in rows {
        let mut line = String::new();
        for (column, (cell, width)) in row.iter().zip(&widths).enumerate() {
            let _ = match column {
                0 => write!(line, "{cell:<width$}"),
                _ => write!(line, "  {cell:>width$}"),
            };
        }
        let _ = writeln!(text, "{}", line.trim_end());
    }
    text
}
