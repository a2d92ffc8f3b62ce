//! Formats the outcomes of a load as a table, and measures its recovery.

use std::fmt::Write;
use std::time::Duration;

use model::Class;
use standin::{Report, Tally};

use crate::output::Style;

/// Share of the goodput before the surge at which a load counts as recovered, in percent.
const RECOVERED_PERCENT: u64 = 95;

const HEADER: [&str; 10] = [
    "CLASS", "REQUESTS", "IN TIME", "LATE", "NOT RUN", "UNKNOWN", "GOODPUT", "TRIES", "P50 MS",
    "P99 MS",
];

/// Returns a table with a row for each class that had requests.
pub(crate) fn table(report: &Report, style: Style) -> String {
    let mut text = String::new();
    let format_row = |cells: &[String; 10]| {
        let (class, figures) = cells.split_first().expect("the row has cells");
        let figures: Vec<String> = figures.iter().map(|cell| format!("{cell:>8}")).collect();
        format!("{class:<8}  {}", figures.join("  "))
    };
    let _ = writeln!(
        text,
        "{}",
        style.bold(&format_row(&HEADER.map(str::to_owned)))
    );
    for class in Class::ALL.into_iter().rev() {
        let tally = report.class(class);
        if tally.arrived > 0 {
            let _ = writeln!(text, "{}", format_row(&cells(class, tally)));
        }
    }
    text
}

/// Returns the cells of a class, in the order of [`HEADER`].
fn cells(class: Class, tally: &Tally) -> [String; 10] {
    let percentile = |quantile: f64| format_millis(tally.latency_us.value_at_quantile(quantile));
    [
        class.to_string(),
        tally.arrived.to_string(),
        tally.in_time.to_string(),
        tally.late.to_string(),
        tally.not_run.to_string(),
        tally.unknown.to_string(),
        format_ratio(tally.worth_in_time * 100, tally.worth_arrived, " %"),
        format_ratio(tally.attempts, tally.arrived, ""),
        percentile(0.5),
        percentile(0.99),
    ]
}

/// Returns the time from the end of the surge until goodput recovered, in whole seconds.
///
/// Both times of the surge count from the start of the load. Goodput per second is compared with
/// its mean in the second half of the time before the surge. Returns `None` if it did not recover.
pub(crate) fn recovery(
    report: &Report,
    surge_start: Duration,
    surge_end: Duration,
) -> Option<Duration> {
    let index = |time: Duration| usize::try_from(time.as_secs()).unwrap_or(usize::MAX);
    // In the first half, connections are opened and limits grow.
    let before = report
        .seconds
        .get(index(surge_start) / 2..index(surge_start))?;
    let total: u64 = before.iter().map(|second| second.worth_in_time).sum();
    let mean = total / u64::try_from(before.len()).ok()?.max(1);
    let after = report.seconds.get(index(surge_end)..)?;
    let is_recovered = |worth: u64| worth * 100 >= mean * RECOVERED_PERCENT;
    // Arrivals vary from second to second, so the mean of two adjacent seconds is compared.
    let recovered_at = after.windows(2).position(|pair| {
        is_recovered(u64::midpoint(pair[0].worth_in_time, pair[1].worth_in_time))
    })?;
    Some(Duration::from_secs(u64::try_from(recovered_at).ok()?))
}

/// Formats `part / whole` with two decimals and a unit, or `-` if `whole` is 0.
fn format_ratio(part: u64, whole: u64, unit: &str) -> String {
    match (part * 100).checked_div(whole) {
        Some(hundredths) => format!("{}.{:02}{unit}", hundredths / 100, hundredths % 100),
        None => "-".into(),
    }
}

/// Formats microseconds as milliseconds with one decimal, rounded down.
fn format_millis(us: u64) -> String {
    format!("{}.{}", us / 1_000, us / 100 % 10)
}
