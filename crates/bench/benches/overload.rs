//! Goodput, recovery, tries and wasted work under overload: the baseline, berylhead,
//! and berylhead without one of its parts, side by side in one run.
//!
//! `cargo bench -p bench --bench overload -- [quick] [SEED]`; `quick` leaves the runs
//! without one part out. Those runs take the first workload only.

use std::time::Duration;

use bench::scenario::{RETRY_BUDGET, Scenario};
use bench::trial::{self, Trial, window};
use bench::workloads::{ARRIAGA, AUSTRAL};
use bench::{Row, Verdict};
use daemon::Features;
use model::Class;

const DEFAULT_SEED: u64 = 4;
const LEAST_GOODPUT: f64 = 0.90;
const LEAST_CRITICAL: f64 = 0.99;
const LONGEST_RECOVERY: Duration = Duration::from_secs(2);
const MOST_WASTED: f64 = 0.05;

/// Changes one part.
type Change = fn(&mut Features);

const CHANGES: &[(&str, Change)] = &[
    ("without order of shedding", |parts| parts.order = false),
    ("without headroom", |parts| parts.headroom = false),
    ("without adaptive limit", |parts| {
        parts.adaptive_limit = false;
    }),
    ("without bounded queue", |parts| parts.bounded_queue = false),
    ("without deadline refusal", |parts| parts.deadlines = false),
    ("without retry bounds", |parts| parts.retry_bounds = false),
    ("without edge shedding", |parts| parts.edge_shedding = false),
    ("without cancellation", |parts| parts.cancellation = false),
    ("with newest first", |parts| parts.newest_first = true),
];

#[tokio::main(flavor = "multi_thread", worker_threads = 4)]
async fn main() -> anyhow::Result<()> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let quick = args.iter().any(|arg| arg == "quick");
    let seed = args
        .iter()
        .find_map(|arg| arg.parse().ok())
        .unwrap_or(DEFAULT_SEED);
    println!("seed {seed}");
    compare(&ARRIAGA, seed).await?;
    if !quick {
        change_parts(&ARRIAGA, seed).await?;
    }
    compare(&AUSTRAL, seed).await
}

async fn compare(scenario: &Scenario, seed: u64) -> anyhow::Result<()> {
    let baseline = trial::run(scenario, Features::NONE, seed).await?;
    let whole = trial::run(scenario, Features::default(), seed).await?;
    println!("\n{}", scenario.name);
    bench::print_header();
    rows(scenario, &baseline, &whole);
    println!();
    print_part_header();
    print_part(scenario, "baseline", &baseline);
    print_part(scenario, "berylhead", &whole);
    Ok(())
}

async fn change_parts(scenario: &Scenario, seed: u64) -> anyhow::Result<()> {
    for (name, change) in CHANGES {
        let mut parts = Features::default();
        change(&mut parts);
        let changed = trial::run(scenario, parts, seed).await?;
        print_part(scenario, name, &changed);
    }
    Ok(())
}

fn rows(scenario: &Scenario, baseline: &Trial, whole: &Trial) {
    let least = |name, figure: &dyn Fn(&Trial) -> f64, bound: f64| {
        Row {
            name,
            baseline: percent(figure(baseline)),
            berylhead: percent(figure(whole)),
            bound: format!(">= {}", percent(bound)),
            verdict: Verdict::at_least(figure(whole), bound),
        }
        .print();
    };
    least(
        "3x demand: worth of the best mix",
        &|trial| trial.goodput(scenario),
        LEAST_GOODPUT,
    );
    let critical = |trial: &Trial| trial.class_share(Class::Critical, &window::SURGE);
    least("3x demand: critical in time", &critical, LEAST_CRITICAL);
    Row {
        name: "back to 95% after the trigger",
        baseline: time(baseline.recovery()),
        berylhead: time(whole.recovery()),
        bound: format!("<= {}", time(Some(LONGEST_RECOVERY))),
        verdict: match whole.recovery() {
            Some(recovery) => Verdict::at_most(recovery, LONGEST_RECOVERY),
            None => Verdict::Short,
        },
    }
    .print();
    Row {
        name: "most retries of one request",
        baseline: baseline.most_retries().to_string(),
        berylhead: whole.most_retries().to_string(),
        bound: format!("<= {RETRY_BUDGET}"),
        verdict: Verdict::at_most(whole.most_retries(), usize::from(RETRY_BUDGET)),
    }
    .print();
    Row {
        name: "work for what failed",
        baseline: percent(baseline.wasted()),
        berylhead: percent(whole.wasted()),
        bound: format!("<= {}", percent(MOST_WASTED)),
        verdict: Verdict::at_most(whole.wasted(), MOST_WASTED),
    }
    .print();
}

fn print_part_header() {
    println!(
        "{:<26} {:>7} {:>8} {:>8} {:>8} {:>8} {:>9} {:>7} {:>8} {:>6} {:>7}",
        "daemon",
        "calm",
        "best mix",
        "critical",
        "standard",
        "browse",
        "triggered",
        "back",
        "retries",
        "sends",
        "wasted"
    );
}

fn print_part(scenario: &Scenario, name: &str, trial: &Trial) {
    let surge = |class| percent(trial.class_share(class, &window::SURGE));
    println!(
        "{:<26} {:>7} {:>8} {:>8} {:>8} {:>8} {:>9} {:>7} {:>8} {:>6.2} {:>7}",
        name,
        percent(trial.share(&window::BEFORE)),
        percent(trial.goodput(scenario)),
        surge(Class::Critical),
        surge(Class::Standard),
        surge(Class::Browse),
        percent(trial.share(&window::TRIGGERED)),
        time(trial.recovery()),
        format!("{}/{}", trial.most_retries(), trial.retries),
        trial.sends_per_request(),
        percent(trial.wasted())
    );
}

fn percent(share: f64) -> String {
    format!("{:.1}%", 100.0 * share)
}

fn time(time: Option<Duration>) -> String {
    time.map_or_else(
        || "never".to_owned(),
        |time| format!("{:.1}s", time.as_secs_f64()),
    )
}
