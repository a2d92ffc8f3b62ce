//! Draws line plots as SVG.

use std::error::Error;
use std::ops::Range;

use plotters::prelude::*;

/// A point of a plot: x, then y.
pub(crate) type Coordinate = (f64, f64);

pub(crate) type Colour = RGBColor;

/// Size of one plot, in pixels.
const SIZE: (u32, u32) = (920, 280);

/// Maximum number of points per line; longer lines are downsampled.
const MAX_POINTS: usize = 460;

/// Height of the y axis relative to the highest value, so that the legend covers no line.
const HEADROOM: f64 = 1.3;

/// A labelled line of a plot.
pub(crate) struct Line {
    pub(crate) label: String,
    pub(crate) colour: Colour,
    pub(crate) points: Vec<Coordinate>,
}

/// Labels of the axes.
pub(crate) struct Axes {
    pub(crate) x_label: &'static str,
    pub(crate) y_label: &'static str,
}

pub(crate) const BLUE_LINE: Colour = RGBColor(0x1f, 0x5f, 0xa8);
pub(crate) const GREEN_LINE: Colour = RGBColor(0x2b, 0x8a, 0x3e);
pub(crate) const AMBER_LINE: Colour = RGBColor(0xc7, 0x7c, 0x02);
pub(crate) const RED_LINE: Colour = RGBColor(0xb4, 0x23, 0x18);
pub(crate) const GREY_LINE: Colour = RGBColor(0x6b, 0x72, 0x80);

/// Draws the lines as SVG text.
///
/// The x axis ends at 0 or, if there are positive x values, at the highest one. Negative
/// values are labelled without their sign, as they stand for time before the export.
///
/// Returns `None` if there are no points, if all values are 0 or if drawing fails.
pub(crate) fn draw(axes: &Axes, lines: &[Line]) -> Option<String> {
    let points = || lines.iter().flat_map(|line| &line.points);
    let from = points().map(|(x, _)| *x).fold(f64::NAN, f64::min);
    let until = points().map(|(x, _)| *x).fold(0.0, f64::max);
    let highest = points().map(|(_, y)| *y).fold(0.0, f64::max);
    if from.is_nan() || highest <= 0.0 {
        return None;
    }
    let mut svg = String::new();
    try_draw(&mut svg, axes, lines, from..until, highest).ok()?;
    Some(svg)
}

fn try_draw(
    svg: &mut String,
    axes: &Axes,
    lines: &[Line],
    span: Range<f64>,
    highest: f64,
) -> Result<(), Box<dyn Error>> {
    let area = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(64)
        .build_cartesian_2d(span, 0.0..highest * HEADROOM)?;
    chart
        .configure_mesh()
        .light_line_style(WHITE)
        .bold_line_style(RGBColor(0xe5, 0xe7, 0xeb))
        .x_desc(axes.x_label)
        .y_desc(axes.y_label)
        .x_label_formatter(&|x| format_tick(x.abs()))
        .y_label_formatter(&|value| format_tick(*value))
        .draw()?;
    for line in lines {
        let colour = line.colour;
        let style = colour.stroke_width(2);
        chart
            .draw_series(LineSeries::new(downsample(line), style))?
            .label(line.label.as_str())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(3)));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.85))
        .border_style(RGBColor(0xd1, 0xd5, 0xdb))
        .draw()?;
    area.present()?;
    Ok(())
}

/// Averages neighbouring points so that at most [`MAX_POINTS`] remain, as more could not be
/// told apart.
fn downsample(line: &Line) -> Vec<Coordinate> {
    let step = line.points.len().div_ceil(MAX_POINTS).max(1);
    let mean = |chunk: &[Coordinate]| {
        let sum: f64 = chunk.iter().map(|(_, y)| y).sum();
        sum / f64::from(u32::try_from(chunk.len()).unwrap_or(u32::MAX))
    };
    let chunks = line.points.chunks(step);
    chunks.map(|chunk| (chunk[0].0, mean(chunk))).collect()
}

fn format_tick(value: f64) -> String {
    if value >= 10_000.0 {
        format!("{:.0}k", value / 1_000.0)
    } else if value >= 10.0 {
        format!("{value:.0}")
    } else if value.fract().abs() < 0.05 {
        format!("{:.0}", value.abs())
    } else {
        format!("{value:.1}")
    }
}
