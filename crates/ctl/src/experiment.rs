//! `berylctl experiment`: the same trouble without and with berylhead, side by side.

use std::ops::Range;
use std::time::Duration;

use bench::scenario::Scenario;
use bench::trial::{self, Course, Trial, set_slowdown};
use bench::workloads::{ARRIAGA, AUSTRAL};
use daemon::Features;
use model::Class;
use report::{Comparison, Interval, Metric, Unit, Variant};
use standin::{LocalFleet, LocalInstance, Manner, Phase, PlatformMode};
use tokio::time::{Instant, sleep_until};

use crate::cli::{Experiment, ExperimentOptions, Workload};
use crate::failure::Failure;
use crate::output::{self, Style};
use crate::{file, load};

/// Growth of demand in an overload.
const SURGE: f64 = 3.0;

/// Factor by which the deep service slows down.
const SLOWDOWN: f64 = 3.0;

/// The same for the short trouble that sets a storm of retries off.
const STORM_SLOWDOWN: f64 = 20.0;

/// Sends of one request by callers who repeat.
const TRIES: u16 = 4;

/// The same in a storm of retries.
const STORM_TRIES: u16 = 10;

/// Time over which the plots add up.
const STRETCH: Duration = Duration::from_millis(500);

/// When things happen, from the start of the arrivals.
#[derive(Clone, Debug)]
struct Windows {
    /// Calm, without the first half, in which connections and limits grow.
    before: Range<Duration>,
    trouble: Range<Duration>,
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
        about(options.experiment, &scenario)
    ));
    let mut trials = Vec::new();
    for (name, parts) in [
        ("baseline", Features::NONE),
        ("berylhead", Features::default()),
    ] {
        let course = course(options.experiment, &scenario, &windows);
        let phases = course.phases.clone();
        let trouble = async |fleet: &mut LocalFleet| {
            let happens = trouble(fleet, options.experiment, scenario.slow, &windows);
            load::with_progress(&phases, happens).await
        };
        output::note(&format!("{name} ..."));
        let trial = trial::run_through(&scenario, parts, options.seed, course, trouble).await?;
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
        trouble: calm..end,
        after: end..end + 2 * calm,
    }
}

fn about(experiment: Experiment, scenario: &Scenario) -> String {
    let slow = scenario.slow;
    match experiment {
        Experiment::Overload => {
            format!("callers ask {SURGE} times as much, and repeat what failed at once")
        }
        Experiment::SlowService => {
            format!("{slow}, which most others call, takes {SLOWDOWN} times as long")
        }
        Experiment::RetryStorm => format!(
            "{slow} takes {STORM_SLOWDOWN} times as long, and callers repeat what failed at \
             once, up to {STORM_TRIES} sends"
        ),
        Experiment::Outage => "the platform closes every connection".to_owned(),
        Experiment::RollingReplacement => {
            format!("each instance of {slow} is replaced, one after the other")
        }
    }
}

fn course(experiment: Experiment, scenario: &Scenario, windows: &Windows) -> Course {
    let calm = f64::from(scenario.rate());
    let during = match experiment {
        Experiment::Overload => SURGE * calm,
        Experiment::SlowService
        | Experiment::RetryStorm
        | Experiment::Outage
        | Experiment::RollingReplacement => calm,
    };
    let length = |window: &Range<Duration>| window.end.saturating_sub(window.start);
    let phases = [
        (windows.trouble.start, calm),
        (length(&windows.trouble), during),
        (length(&windows.after), calm),
    ];
    Course {
        phases: phases.map(|(length, rate)| Phase { length, rate }).into(),
        manner: match experiment {
            Experiment::Overload => Manner::RetryHard { tries: TRIES },
            Experiment::RetryStorm => Manner::RetryHard { tries: STORM_TRIES },
            Experiment::SlowService | Experiment::Outage | Experiment::RollingReplacement => {
                Manner::Polite { tries: TRIES }
            }
        },
        // These callers keep their entries, so they enter where nothing is replaced.
        entries: match experiment {
            Experiment::RollingReplacement => |instance| !is_deep(instance),
            _ => |_| true,
        },
    }
}

/// True if an instance is of one of the services that slow down.
fn is_deep(instance: &LocalInstance) -> bool {
    [ARRIAGA.slow, AUSTRAL.slow].contains(&instance.identity.service.as_str())
}

/// Lets the trouble begin and end, and waits for the end of the schedule.
async fn trouble(
    fleet: &mut LocalFleet,
    experiment: Experiment,
    slow: &str,
    windows: &Windows,
) -> anyhow::Result<()> {
    let start = Instant::now();
    sleep_until(start + windows.trouble.start).await;
    match experiment {
        Experiment::Overload => {}
        Experiment::SlowService => set_slowdown(fleet, slow, SLOWDOWN),
        Experiment::RetryStorm => set_slowdown(fleet, slow, STORM_SLOWDOWN),
        Experiment::Outage => fleet.platform.set_mode(PlatformMode::Refusing),
        Experiment::RollingReplacement => replace_all(fleet).await?,
    }
    sleep_until(start + windows.trouble.end).await;
    set_slowdown(fleet, slow, 1.0);
    fleet.platform.set_mode(PlatformMode::Up);
    sleep_until(start + windows.after.end).await;
    Ok(())
}

async fn replace_all(fleet: &mut LocalFleet) -> anyhow::Result<()> {
    for position in 0..fleet.instances.len() {
        if is_deep(&fleet.instances[position]) {
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
        goodput("goodput by worth during", &windows.trouble),
        goodput("goodput by worth after", &windows.after),
        metric("critical requests in time during", Unit::Share, &|trial| {
            Some(trial.class_share(Class::Critical, &windows.trouble))
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
        about: about(options.experiment, scenario),
        seed: options.seed,
        trouble_ms: (millis(windows.trouble.start), millis(windows.trouble.end)),
        variants: trials.iter().map(|(name, t)| variant(name, t)).collect(),
        metrics,
    }
}

fn variant(name: &str, trial: &Trial) -> Variant {
    let length_ms = millis(STRETCH);
    let mut intervals: Vec<Interval> = Vec::new();
    for record in &trial.report.records {
        let number = millis(record.due_after) / length_ms;
        let at = usize::try_from(number).unwrap_or(usize::MAX);
        while intervals.len() <= at {
            let from_ms = intervals.last().map_or(0, |last| last.from_ms + length_ms);
            intervals.push(Interval {
                from_ms,
                length_ms,
                ..Interval::default()
            });
        }
        let worth = u64::from(trial.shares[record.share].worth);
        intervals[at].worth_asked += worth;
        intervals[at].worth_in_time += worth * u64::from(record.in_time);
        intervals[at].sends += u64::from(record.attempts);
    }
    Variant {
        name: name.to_owned(),
        intervals,
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
