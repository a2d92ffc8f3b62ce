//! Compares variants of a system in the same experiment.

use std::fmt::Write;

use serde::Serialize;

use crate::html::{STYLE, escape_html};
use crate::plot::{self, Axes, Line};

/// Line colours of the variants, in their order.
const VARIANT_COLOURS: [plot::Colour; 4] = [
    plot::RED_LINE,
    plot::GREEN_LINE,
    plot::BLUE_LINE,
    plot::AMBER_LINE,
];

/// Results of an experiment that was run once for each variant.
#[derive(Clone, Debug, Serialize)]
pub struct Comparison {
    /// Name of the experiment.
    pub name: String,
    /// Description of the experiment.
    pub about: String,
    /// Seed of the generated arrivals, the same for every variant.
    pub seed: u64,
    /// Start and end of the disturbance, in milliseconds since the start of the experiment.
    pub trouble_ms: (u64, u64),
    /// Results over time of each variant.
    #[serde(rename = "ways")]
    pub variants: Vec<Variant>,
    /// Summary metrics, each with one value per variant.
    #[serde(rename = "figures")]
    pub metrics: Vec<Metric>,
}

/// Results of one variant over time.
#[derive(Clone, Debug, Serialize)]
pub struct Variant {
    /// Name of the variant.
    pub name: String,
    /// Consecutive intervals; a request belongs to the one in which it was due to be sent,
    /// even if it was answered later.
    #[serde(rename = "stretches")]
    pub intervals: Vec<Interval>,
}

/// Totals of the requests that were due in one interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Interval {
    /// Start, in milliseconds since the start of the experiment.
    pub from_ms: u64,
    /// Length, in milliseconds.
    pub length_ms: u64,
    /// Worth of all requests.
    pub worth_asked: u64,
    /// Worth of the requests that were answered completely and within the deadline.
    pub worth_in_time: u64,
    /// Number of times that the requests were sent, retries included.
    pub sends: u64,
}

/// A summary metric with one value per variant.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Metric {
    /// Name of the metric.
    pub name: String,
    /// Unit of the values.
    pub unit: Unit,
    /// Values in the order of the variants; `None` if the measured event never occurred.
    pub values: Vec<Option<f64>>,
}

/// Unit of a [`Metric`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Unit {
    /// A share from 0 to 1, shown in percent.
    Share,
    /// Seconds.
    Seconds,
    /// A number without a unit.
    Number,
}

impl Metric {
    /// Formats the values as the cells of a table row.
    #[must_use]
    pub fn cells(&self) -> Vec<String> {
        let cell = |value: &Option<f64>| match (value, self.unit) {
            (None, _) => "never".to_owned(),
            (Some(value), Unit::Share) => format!("{:.1} %", 100.0 * value),
            (Some(value), Unit::Seconds) => format!("{value:.1} s"),
            (Some(value), Unit::Number) if value.fract() == 0.0 => format!("{value:.0}"),
            (Some(value), Unit::Number) => format!("{value:.2}"),
        };
        self.values.iter().map(cell).collect()
    }
}

impl Comparison {
    /// Formats the metrics as a text table.
    #[must_use]
    pub fn to_text(&self) -> String {
        let widest = self.metrics.iter().map(|metric| metric.name.len()).max();
        let width = widest.unwrap_or(0);
        let line = |name: &str, cells: Vec<String>| {
            let cells: Vec<String> = cells.iter().map(|cell| format!("{cell:>12}")).collect();
            format!("{name:<width$}  {}\n", cells.join("  "))
        };
        let variants = self
            .variants
            .iter()
            .map(|variant| variant.name.clone())
            .collect();
        let mut text = line("", variants);
        for metric in &self.metrics {
            text += &line(&metric.name, metric.cells());
        }
        text
    }

    /// Serializes the comparison as indented JSON.
    ///
    /// # Panics
    ///
    /// Never: every field can be written as JSON.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).expect("a comparison always serializes")
    }

    /// Renders the comparison as one HTML page with inline SVG plots.
    #[must_use]
    pub fn to_html(&self) -> String {
        let name = escape_html(&self.name);
        let mut html = format!(
            "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
             <meta name=\"viewport\" content=\"width=device-width\">\
             <title>{name}</title><style>{STYLE}</style></head><body>\n<h1>{name}</h1>\n"
        );
        let (from, until) = self.trouble_ms;
        let _ = writeln!(
            html,
            "<p>{}</p><p>The trouble lasts from {} s to {} s. Seed {}.</p>",
            escape_html(&self.about),
            seconds(from),
            seconds(until),
            self.seed
        );
        self.write_metrics(&mut html);
        let worth = "worth per second";
        let mut goodput = self.lines(|i| i.worth_in_time);
        if let Some(variant) = self.variants.first() {
            goodput.push(line("asked", plot::GREY_LINE, variant, |i| i.worth_asked));
        }
        let sends = self.lines(|i| i.sends);
        for (title, unit, lines) in [
            ("Goodput by worth", worth, goodput),
            (
                "Sends of callers, repeats included",
                "sends per second",
                sends,
            ),
        ] {
            let axes = Axes {
                x_label: "seconds since the start, by when a request was due",
                y_label: unit,
            };
            let svg = plot::draw(&axes, &lines);
            let _ = writeln!(html, "<h2>{title}</h2>");
            html.push_str(&svg.unwrap_or_else(|| "<p>None.</p>\n".into()));
        }
        html.push_str("</body></html>\n");
        html
    }

    fn write_metrics(&self, html: &mut String) {
        html.push_str("<table><tr><th></th>");
        for variant in &self.variants {
            let _ = write!(html, "<th>{}</th>", escape_html(&variant.name));
        }
        html.push_str("</tr>\n");
        for metric in &self.metrics {
            let _ = write!(html, "<tr><td>{}</td>", escape_html(&metric.name));
            for cell in metric.cells() {
                let _ = write!(html, "<td>{cell}</td>");
            }
            html.push_str("</tr>\n");
        }
        html.push_str("</table>\n");
    }

    fn lines(&self, count: impl Fn(&Interval) -> u64) -> Vec<Line> {
        let variants = self.variants.iter().zip(VARIANT_COLOURS);
        variants
            .map(|(variant, colour)| line(&variant.name, colour, variant, &count))
            .collect()
    }
}

/// Returns a line with one point per interval of the variant: the count per second.
fn line(
    label: &str,
    colour: plot::Colour,
    variant: &Variant,
    count: impl Fn(&Interval) -> u64,
) -> Line {
    let coordinate = |interval: &Interval| {
        let per_second = crate::counts::ratio(count(interval) * 1_000, interval.length_ms);
        (seconds(interval.from_ms), per_second.unwrap_or(0.0))
    };
    Line {
        label: label.to_owned(),
        colour,
        points: variant.intervals.iter().map(coordinate).collect(),
    }
}

fn seconds(ms: u64) -> f64 {
    crate::counts::ratio(ms, 1_000).unwrap_or(0.0)
}
