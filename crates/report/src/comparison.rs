//! An experiment: two variants through the same trouble, side by side.

use std::fmt::Write;

use serde::Serialize;

use crate::html::{STYLE, escaped};
use crate::plot::{self, Axes, Line};

/// Colours of the variants, in their order.
const VARIANT_COLOURS: [plot::Colour; 4] = [
    plot::RED_LINE,
    plot::GREEN_LINE,
    plot::BLUE_LINE,
    plot::AMBER_LINE,
];

/// What the variants came to, to be kept as a file and read as a page.
#[derive(Clone, Debug, Serialize)]
pub struct Comparison {
    /// Name of the experiment.
    pub name: String,
    /// What happens in it.
    pub about: String,
    /// Seed of the arrivals, the same for every variant.
    pub seed: u64,
    /// When the trouble began and ended, in milliseconds since the start.
    pub trouble_ms: (u64, u64),
    /// The variants that were compared.
    #[serde(rename = "ways")]
    pub variants: Vec<Variant>,
    /// Figures of the variants, in their order.
    #[serde(rename = "figures")]
    pub metrics: Vec<Metric>,
}

/// One variant through the experiment, over time.
#[derive(Clone, Debug, Serialize)]
pub struct Variant {
    /// Its name.
    pub name: String,
    /// What became of what was asked in each interval of time.
    #[serde(rename = "stretches")]
    pub intervals: Vec<Interval>,
}

/// What was asked in one interval of time, and what became of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Interval {
    /// Start, in milliseconds since the start of the experiment.
    pub from_ms: u64,
    /// Length, in milliseconds.
    pub length_ms: u64,
    /// Worth of what was asked.
    pub worth_asked: u64,
    /// Worth of what was answered whole and in time.
    pub worth_in_time: u64,
    /// Sends, repeats included.
    pub sends: u64,
}

/// One metric of each variant.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Metric {
    /// What was measured.
    pub name: String,
    /// Unit of the values.
    pub unit: Unit,
    /// Values in the order of the variants; none if it never came to that.
    pub values: Vec<Option<f64>>,
}

/// Unit of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Unit {
    /// A share, from 0 to 1.
    Share,
    /// Seconds.
    Seconds,
    /// A plain number.
    Number,
}

impl Metric {
    /// Writes the values for people.
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
    /// Writes the metrics as a table.
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

    /// Writes everything as JSON.
    ///
    /// # Panics
    ///
    /// Never: every field has a text form.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).expect("a comparison always serializes")
    }

    /// Writes one HTML page with its plots inside.
    #[must_use]
    pub fn to_html(&self) -> String {
        let name = escaped(&self.name);
        let mut html = format!(
            "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
             <meta name=\"viewport\" content=\"width=device-width\">\
             <title>{name}</title><style>{STYLE}</style></head><body>\n<h1>{name}</h1>\n"
        );
        let (from, until) = self.trouble_ms;
        let _ = writeln!(
            html,
            "<p>{}</p><p>The trouble lasts from {} s to {} s. Seed {}.</p>",
            escaped(&self.about),
            seconds(from),
            seconds(until),
            self.seed
        );
        self.write_metrics(&mut html);
        let worth = "worth per second";
        let mut goodput = self.lines(|s| s.worth_in_time);
        if let Some(variant) = self.variants.first() {
            goodput.push(line("asked", plot::GREY_LINE, variant, |s| s.worth_asked));
        }
        let sends = self.lines(|s| s.sends);
        for (title, unit, lines) in [
            ("Goodput by worth", worth, goodput),
            (
                "Sends of callers, repeats included",
                "sends per second",
                sends,
            ),
        ] {
            let axes = Axes {
                along: "seconds since the start, by when a request was due",
                unit,
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
            let _ = write!(html, "<th>{}</th>", escaped(&variant.name));
        }
        html.push_str("</tr>\n");
        for metric in &self.metrics {
            let _ = write!(html, "<tr><td>{}</td>", escaped(&metric.name));
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

fn line(
    label: &str,
    colour: plot::Colour,
    variant: &Variant,
    count: impl Fn(&Interval) -> u64,
) -> Line {
    let position = |interval: &Interval| {
        let per_second = crate::counts::ratio(count(interval) * 1_000, interval.length_ms);
        (seconds(interval.from_ms), per_second.unwrap_or(0.0))
    };
    Line {
        label: label.to_owned(),
        colour,
        points: variant.intervals.iter().map(position).collect(),
    }
}

fn seconds(ms: u64) -> f64 {
    crate::counts::ratio(ms, 1_000).unwrap_or(0.0)
}
