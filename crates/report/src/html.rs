//! Renders the report as one self-contained HTML page.

use std::fmt::Write;

use model::Class;

use crate::burn::{Row, Scope};
use crate::plot::{self, Axes, Line};
use crate::report::Report;
use crate::text::{overload_cells, row_cells};
use crate::timeline::Point;

pub(crate) const STYLE: &str = "\
body{font:15px/1.5 system-ui,sans-serif;color:#1f2937;max-width:980px;margin:2rem auto;padding:0 1rem}\
h1{font-size:1.5rem;margin-bottom:.2rem}h2{font-size:1.1rem;margin:2rem 0 .4rem}\
p{margin:.2rem 0;color:#4b5563}\
table{border-collapse:collapse;width:100%;font-variant-numeric:tabular-nums}\
th,td{padding:.3rem .6rem;border-bottom:1px solid #e5e7eb;text-align:right;white-space:nowrap}\
th:first-child,td:first-child{text-align:left}th{font-weight:600;background:#f9fafb}\
tr.scope td{font-weight:600}td.fast{background:#fef3c7}td.far{background:#fee2e2}\
table{display:block;overflow-x:auto;width:fit-content;max-width:100%}\
svg{max-width:100%;height:auto}";

/// Span of the plots that have a resolution of one second, in milliseconds.
const FINE_PLOT_MS: u64 = 600_000;

/// Burn rate above which the error budget is used up before its window ends.
const FAST_BURN: f64 = 1.0;

/// Burn rate at which the error budget of three days is used up within five hours.
const SEVERE_BURN: f64 = 14.4;

impl Report {
    /// Renders the report as one HTML page with inline SVG plots.
    #[must_use]
    pub fn to_html(&self) -> String {
        let mut html = String::new();
        let _ = write!(
            html,
            "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
             <meta name=\"viewport\" content=\"width=device-width\">\
             <title>Service-level burn</title><style>{STYLE}</style></head><body>\n\
             <h1>Service-level burn</h1>\n"
        );
        for line in self.coverage() {
            let _ = writeln!(html, "<p>{}</p>", escape_html(&line));
        }
        self.write_rows(&mut html);
        self.write_overloads(&mut html);
        self.write_plots(&mut html);
        html.push_str("</body></html>\n");
        html
    }

    fn write_rows(&self, html: &mut String) {
        html.push_str(
            "<h2>Error budgets</h2>\n<p>Burn 1 uses the budget up exactly; more than 1 uses it \
             up too soon. Goodput is by worth, over the longest window.</p>\n<table><tr>\
             <th></th><th>requests</th><th>goodput</th><th>budget left</th>",
        );
        for window in &self.windows {
            let _ = write!(html, "<th>burn {}</th>", window.name);
        }
        html.push_str("</tr>\n");
        for row in &self.rows {
            write_row(html, row);
        }
        html.push_str("</table>\n");
    }

    fn write_overloads(&self, html: &mut String) {
        html.push_str("<h2>Overloads of the last hour</h2>\n");
        if self.overloads.is_empty() {
            html.push_str("<p>None.</p>\n");
            return;
        }
        html.push_str(
            "<p>Recovery is counted from the end of the surge until goodput was back at 95% of \
             what it was before.</p>\n<table><tr><th>of</th><th>began</th><th>lasted</th>\
             <th>recovery</th><th>least goodput</th><th>failed</th></tr>\n",
        );
        for overload in &self.overloads {
            let cells = overload_cells(overload);
            let cells = cells
                .iter()
                .map(|cell| format!("<td>{}</td>", escape_html(cell)));
            let _ = writeln!(html, "<tr>{}</tr>", cells.collect::<String>());
        }
        html.push_str("</table>\n");
    }

    fn write_plots(&self, html: &mut String) {
        let reach_ms = self.reach_ms.map_or(0, |(longest, _)| longest);
        self.write_plots_of(html, "last 10 minutes", FINE_PLOT_MS);
        if reach_ms > FINE_PLOT_MS {
            self.write_plots_of(html, "last hour", u64::MAX);
        }
    }

    fn write_plots_of(&self, html: &mut String, span: &str, span_ms: u64) {
        let all = self.plots.iter().find(|(scope, _)| *scope == Scope::All);
        let points = all.map_or(&[][..], |(_, points)| recent(points, span_ms));
        let line = |label: &str, colour, value: fn(&Point) -> f64| Line {
            label: label.into(),
            colour,
            points: coordinates(points, value),
        };
        let goodput = [
            line("offered", plot::GREY_LINE, |p| {
                p.per_second(p.counts.worth_offered)
            }),
            line("answered in time", plot::GREEN_LINE, |p| {
                p.per_second(p.counts.worth_in_time)
            }),
        ];
        let endings = [
            line("in time", plot::GREEN_LINE, |p| {
                p.per_second(p.counts.in_time)
            }),
            line("not run", plot::AMBER_LINE, |p| {
                p.per_second(p.counts.not_run)
            }),
            line("late", plot::RED_LINE, |p| p.per_second(p.counts.late)),
            line("unknown", plot::BLUE_LINE, |p| {
                p.per_second(p.counts.unknown)
            }),
        ];
        let classes = self.plots.iter();
        let not_run: Vec<Line> = classes.filter_map(|c| not_run_line(c, span_ms)).collect();
        let axes = |y_label| Axes {
            x_label: "minutes before the reading",
            y_label,
        };
        let requests = axes("requests per second");
        let plots = [
            (
                "Goodput by worth",
                plot::draw(&axes("worth per second"), &goodput),
            ),
            ("How requests ended", plot::draw(&requests, &endings)),
            ("Not run, by class", plot::draw(&requests, &not_run)),
        ];
        for (title, svg) in plots {
            let _ = writeln!(html, "<h2>{title}, {span}</h2>");
            html.push_str(&svg.unwrap_or_else(|| "<p>None.</p>\n".into()));
        }
    }
}

/// Returns the points of the last `span_ms`; `points` are sorted oldest first.
fn recent(points: &[Point], span_ms: u64) -> &[Point] {
    let from = points.partition_point(|point| point.began_ms_ago > span_ms);
    &points[from..]
}

/// Returns the plot coordinates of points: minutes before the export, negated, and a value.
fn coordinates(points: &[Point], value: impl Fn(&Point) -> f64) -> Vec<plot::Coordinate> {
    let minutes_ago = |point: &Point| {
        let minutes = crate::counts::ratio(point.began_ms_ago, 60_000);
        -minutes.unwrap_or(0.0)
    };
    let points = points.iter();
    points.map(|p| (minutes_ago(p), value(p))).collect()
}

/// Returns the line of requests per second that were not run, or `None` if the scope is not
/// a class.
fn not_run_line((scope, points): &(Scope, Vec<Point>), span_ms: u64) -> Option<Line> {
    let Scope::Class(class) = scope else {
        return None;
    };
    Some(Line {
        label: class.to_string(),
        colour: match class {
            Class::Critical => plot::RED_LINE,
            Class::Standard => plot::AMBER_LINE,
            Class::Browse => plot::BLUE_LINE,
            Class::Bulk => plot::GREY_LINE,
        },
        points: coordinates(recent(points, span_ms), |point| {
            point.per_second(point.counts.not_run)
        }),
    })
}

fn write_row(html: &mut String, row: &Row) {
    let class = match row.scope {
        Scope::Operation(_) => "",
        Scope::All | Scope::Class(_) => " class=\"scope\"",
    };
    let cells = row_cells(row);
    let first_burn = cells.len() - row.burns.len();
    let _ = write!(html, "<tr{class}>");
    for cell in &cells[..first_burn] {
        let _ = write!(html, "<td>{}</td>", escape_html(cell));
    }
    for (burn, cell) in row.burns.iter().zip(&cells[first_burn..]) {
        let class = match burn.rate {
            Some(rate) if rate >= SEVERE_BURN => " class=\"far\"",
            Some(rate) if rate > FAST_BURN => " class=\"fast\"",
            _ => "",
        };
        let _ = write!(html, "<td{class}>{cell}</td>");
    }
    html.push_str("</tr>\n");
}

pub(crate) fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
