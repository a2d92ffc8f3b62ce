//! `berylctl experiment`: runs the same disturbance without and with berylhead and compares both.

use std::ops::Range;
use std::time::Duration;

use bench::scenario::Scenario;
use bench::trial::{self, Course, Trial, set_slowdown};
use bench::workloads::{ARRIAGA, AUSTRAL};
use daemon::Features;
use model::Class;
use report::{Comparison, Interval, Metric, Unit, Variant};
use standin::{LocalFleet, LocalInstance, Phase, PlatformMode, RetryPolicy};
use tokio::time::{Instant, sleep_until};

use crate::cli::{Experiment, ExperimentOptions, Workload};
use crate::failure::Failure;
use crate::output::{self, Style};
use crate::{file, load};

/// Factor by which demand grows in an overload.
const SURGE_FACTOR: f64 = 3.0;

/// Factor by which the service that most others call slows down.
const SLOWDOWN_FACTOR: f64 = 3.0;

/// The same for the short slowdown that triggers a retry storm.
const STORM_SLOWDOWN_FACTOR: f64 = 20.0;

/// Most sends of one request by a caller that retries, the first included.
const MAX_TRIES: u16 = 4;

/// The same in a retry storm.
const STORM_MAX_TRIES: u16 = 10;

/// Time that one point of a plot covers.
const PLOT_INTERVAL: Duration = Duration::from_millis(500);

/// Times before, during and after the disturbance, counted from the start of the arrivals.
#[derive(Clone, Debug)]
struct Windows {
    /// Second half of the calm phase. In the first, connections are opened and limits grow.
    before: Range<Duration>,
    disturbance: Range<Duration>,
    after: Range<Duration>,
}

pub(crate) async fn run(options: ExperimentOptions) -> Result<(), Failure> {
    let scenario = match options.workload {
        Workload::Arriaga => ARRIAGA,
        Workload::Austral => AUSTRAL,
    };
    let windows = windows(&options);
    output::note(&format!(
        "{}: {}",
        options.experiment,
        describe(options.experiment, &scenario)
    ));
    let mut trials = Vec::new();
    for (name, features) in [
        ("baseline", Features::NONE),
        ("berylhead", Features::default()),
    ] {
        let course = course(options.experiment, &scenario, &windows);
        let phases = course.phases.clone();
        let disturb = async |fleet: &mut LocalFleet| {
            let disturbance = disturb(fleet, options.experiment, scenario.slow, &windows);
            load::with_progress(&phases, disturbance).await
        };
        output::note(&format!("{name} ..."));
        let trial = trial::run_through(&scenario, features, options.seed, course, disturb).await?;
        trials.push((name, trial));
    }
    let comparison = compare(&options, &scenario, &windows, &trials);
    if let Some(path) = &options.html {
        file::write(path, comparison.to_html().as_bytes())?;
    }
    if let Some(path) = &options.json {
        file::write(path, (comparison.to_json() + "\n").as_bytes())?;
    }
    let table = comparison.to_text();
    let (head, rows) = table.split_once('\n').unwrap_or((&table, ""));
    output::print(&format!("{}\n{rows}", Style::of_stdout().bold(head)))
}

fn windows(options: &ExperimentOptions) -> Windows {
    let calm = Duration::from_secs(options.calm_seconds.into());
    let end = calm + Duration::from_secs(options.trouble_seconds.into());
    Windows {
        before: calm / 2..calm,
        disturbance: calm..end,
        after: end..end + 2 * calm,
    }
}

/// Describes the disturbance for the report.
fn describe(experiment: Experiment, scenario: &Scenario) -> String {
    let slow = scenario.slow;
    match experiment {
        Experiment::Overload => {
            format!("callers ask {SURGE_FACTOR} times as much, and repeat what failed at once")
        }
        Experiment::SlowService => {
            format!("{slow}, which most others call, takes {SLOWDOWN_FACTOR} times as long")
        }
        Experiment::RetryStorm => format!(
            "{slow} takes {STORM_SLOWDOWN_FACTOR} times as long, and callers repeat what failed at \
             once, up to {STORM_MAX_TRIES} sends"
        ),
        Experiment::Outage => "the platform closes every connection".to_owned(),
        Experiment::RollingReplacement => {
            format!("each instance of {slow} is replaced, one after the other")
        }
    }
}

/// Returns the rates, the retries and the entries of the callers in an experiment.
fn course(experiment: Experiment, scenario: &Scenario, windows: &Windows) -> Course {
    let calm = f64::from(scenario.rate());
    let during = match experiment {
        Experiment::Overload => SURGE_FACTOR * calm,
        Experiment::SlowService
        | Experiment::RetryStorm
        | Experiment::Outage
        | Experiment::RollingReplacement => calm,
    };
    let length = |window: &Range<Duration>| window.end.saturating_sub(window.start);
    let phases = [
        (windows.disturbance.start, calm),
        (length(&windows.disturbance), during),
        (length(&windows.after), calm),
    ];
    Course {
        phases: phases.map(|(length, rate)| Phase { length, rate }).into(),
        manner: match experiment {
            Experiment::Overload => RetryPolicy::RetryHard { tries: MAX_TRIES },
            Experiment::RetryStorm => RetryPolicy::RetryHard {
                tries: STORM_MAX_TRIES,
            },
            Experiment::SlowService | Experiment::Outage | Experiment::RollingReplacement => {
                RetryPolicy::Polite { tries: MAX_TRIES }
            }
        },
        // Callers keep their entry addresses, so they enter at instances that are not replaced.
        entries: match experiment {
            Experiment::RollingReplacement => |instance| !is_of_slow_service(instance),
            _ => |_| true,
        },
    }
}

/// Returns whether an instance is of the service that either workload slows down.
fn is_of_slow_service(instance: &LocalInstance) -> bool {
    [ARRIAGA.slow, AUSTRAL.slow].contains(&instance.identity.service.as_str())
}

/// Starts and ends the disturbance, then waits for the end of the schedule.
async fn disturb(
    fleet: &mut LocalFleet,
    experiment: Experiment,
    slow: &str,
    windows: &Windows,
) -> anyhow::Result<()> {
    let start = Instant::now();
    sleep_until(start + windows.disturbance.start).await;
    match experiment {
        Experiment::Overload => {}
        Experiment::SlowService => set_slowdown(fleet, slow, SLOWDOWN_FACTOR),
        Experiment::RetryStorm => set_slowdown(fleet, slow, STORM_SLOWDOWN_FACTOR),
        Experiment::Outage => fleet.platform.set_mode(PlatformMode::Closing),
        Experiment::RollingReplacement => replace_slow_service(fleet).await?,
    }
    sleep_until(start + windows.disturbance.end).await;
    set_slowdown(fleet, slow, 1.0);
    fleet.platform.set_mode(PlatformMode::Up);
    sleep_until(start + windows.after.end).await;
    Ok(())
}

/// Replaces the instances of the slow service, one after the other.
async fn replace_slow_service(fleet: &mut LocalFleet) -> anyhow::Result<()> {
    for position in 0..fleet.instances.len() {
        if is_of_slow_service(&fleet.instances[position]) {
            fleet.replace(position).await?;
        }
    }
    Ok(())
}

fn compare(
    options: &ExperimentOptions,
    scenario: &Scenario,
    windows: &Windows,
    trials: &[(&str, Trial)],
) -> Comparison {
    let metric = |name: &str, unit, value: &dyn Fn(&Trial) -> Option<f64>| Metric {
        name: name.to_owned(),
        unit,
        values: trials.iter().map(|(_, trial)| value(trial)).collect(),
    };
    let goodput = |name, window: &Range<Duration>| {
        metric(name, Unit::Share, &|trial| Some(trial.share(window)))
    };
    let metrics = vec![
        goodput("goodput by worth before", &windows.before),
        goodput("goodput by worth during", &windows.disturbance),
        goodput("goodput by worth after", &windows.after),
        metric("critical requests in time during", Unit::Share, &|trial| {
            Some(trial.class_share(Class::Critical, &windows.disturbance))
        }),
        metric("back to 95 % after the trouble", Unit::Seconds, &|trial| {
            let recovery = trial.recovery_after(&windows.before, &windows.after);
            recovery.map(|time| time.as_secs_f64())
        }),
        metric("sends of callers per request", Unit::Number, &|trial| {
            Some(trial.sends_per_request())
        }),
        metric("most retries of one request", Unit::Number, &|trial| {
            u32::try_from(trial.most_retries()).ok().map(f64::from)
        }),
        metric("slot time for what failed", Unit::Share, &|trial| {
            Some(trial.wasted())
        }),
    ];
    Comparison {
        name: format!("{} at {}", options.experiment, options.workload),
        about: describe(options.experiment, scenario),
        seed: options.seed,
        trouble_ms: (
            millis(windows.disturbance.start),
            millis(windows.disturbance.end),
        ),
        variants: trials
            .iter()
            .map(|(name, trial)| variant(name, trial))
            .collect(),
        metrics,
    }
}

/// Sums up the records of one trial by the intervals of the plots.
fn variant(name: &str, trial: &Trial) -> Variant {
    let length_ms = millis(PLOT_INTERVAL);
    let mut intervals: Vec<Interval> = Vec::new();
    for record in &trial.report.records {
        let index = millis(record.due_after) / length_ms;
        let index = usize::try_from(index).unwrap_or(usize::MAX);
        while intervals.len() <= index {
            let from_ms = intervals.last().map_or(0, |last| last.from_ms + length_ms);
            intervals.push(Interval {
                from_ms,
                length_ms,
                ..Interval::default()
            });
        }
        let worth = u64::from(trial.shares[record.share].worth);
        intervals[index].worth_asked += worth;
        intervals[index].worth_in_time += worth * u64::from(record.in_time);
        intervals[index].sends += u64::from(record.attempts);
    }
    Variant {
        name: name.to_owned(),
        intervals,
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
