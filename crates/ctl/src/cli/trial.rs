//! Options of the commands that generate load.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long, positional};
use derive_more::Display;

use super::{answers, file};

/// Options of `berylctl load`.
#[derive(Clone, Debug)]
pub(crate) struct LoadOptions {
    pub(crate) rate: Option<u32>,
    pub(crate) seconds: u32,
    pub(crate) seed: u64,
    pub(crate) tries: u16,
    pub(crate) retry_hard: bool,
    pub(crate) answers: PathBuf,
    pub(crate) daemons: Vec<SocketAddr>,
}

/// Options of `berylctl demo`.
#[derive(Clone, Debug)]
pub(crate) struct DemoOptions {
    pub(crate) answers: Option<PathBuf>,
    pub(crate) html: Option<PathBuf>,
    pub(crate) log: bool,
    pub(crate) scale_percent: u32,
    pub(crate) surge_factor: u32,
    pub(crate) slowdown_factor: u32,
    pub(crate) calm_seconds: u32,
    pub(crate) surge_seconds: u32,
    pub(crate) seed: u64,
    pub(crate) tries: u16,
}

/// Options of `berylctl experiment`.
#[derive(Clone, Debug)]
pub(crate) struct ExperimentOptions {
    pub(crate) workload: Workload,
    pub(crate) seed: u64,
    pub(crate) calm_seconds: u32,
    pub(crate) trouble_seconds: u32,
    pub(crate) html: Option<PathBuf>,
    pub(crate) json: Option<PathBuf>,
    pub(crate) experiment: Experiment,
}

/// Fleet whose services and request mix an experiment uses.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum Workload {
    #[display("arriaga")]
    Arriaga,
    #[display("austral")]
    Austral,
}

/// Fault or load condition that an experiment applies.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum Experiment {
    #[display("overload")]
    Overload,
    #[display("slow-service")]
    SlowService,
    #[display("retry-storm")]
    RetryStorm,
    #[display("outage")]
    Outage,
    #[display("rolling-replacement")]
    RollingReplacement,
}

const WORKLOADS: [Workload; 2] = [Workload::Arriaga, Workload::Austral];

const EXPERIMENTS: [Experiment; 5] = [
    Experiment::Overload,
    Experiment::SlowService,
    Experiment::RetryStorm,
    Experiment::Outage,
    Experiment::RollingReplacement,
];

/// Parses a value by its display name; the error lists the known names.
fn parse_name<T: Copy + ToString>(known: &[T], name: &str) -> Result<T, String> {
    let found = known.iter().find(|known| known.to_string() == name);
    found
        .copied()
        .ok_or_else(|| format!("known: {}", names(known)))
}

fn names<T: ToString>(known: &[T]) -> String {
    let names: Vec<String> = known.iter().map(ToString::to_string).collect();
    names.join(", ")
}

pub(super) fn load() -> OptionParser<LoadOptions> {
    let rate = long("rate")
        .help("Requests per second; the sum of rate_per_s in the answers if not given")
        .argument::<u32>("COUNT")
        .guard(|rate| *rate > 0, "allowed: at least 1 request per second")
        .optional();
    let seconds = integer_option(
        "seconds",
        "SECONDS",
        "How long arrivals go on",
        30,
        1..=86_400,
    );
    let seed = seed();
    let tries = tries();
    let retry_hard = long("retry-hard")
        .help("Repeat whatever failed at once, as impatient clients do")
        .switch();
    let answers = answers();
    let daemons = positional::<SocketAddr>("DAEMON")
        .help("Callers listener of a daemon, as ip:port")
        .some("name at least one callers listener, such as 127.0.0.1:7001");
    construct!(LoadOptions {
        rate,
        seconds,
        seed,
        tries,
        retry_hard,
        answers,
        daemons,
    })
    .to_options()
    .descr("Latency counts from the moment at which a request was due to be sent.")
    .footer("Example: berylctl load --seconds 60 --rate 500 arriaga.ini 10.1.0.4:7001")
}

pub(super) fn demo() -> OptionParser<DemoOptions> {
    let answers = file("answers", "Answers to run; Tandems Arriaga's if not given").optional();
    let html = file(
        "html",
        "Write the report on service-level burn to this file",
    )
    .optional();
    let log = long("log")
        .help("Write the daemons' log, a line for each decision, to standard error")
        .switch();
    let scale_percent = integer_option(
        "scale",
        "PERCENT",
        "Slots and rates, in percent",
        10,
        1..=100,
    );
    let surge_factor = integer_option(
        "surge",
        "FACTOR",
        "Rate during the surge, in times",
        3,
        1..=100,
    );
    let slower = "How much longer the most called service takes meanwhile, in times";
    let slowdown_factor = integer_option("slowdown", "FACTOR", slower, 1, 1..=100);
    let calm = "Time at the usual rate before the surge; twice that after it";
    let calm_seconds = integer_option("calm", "SECONDS", calm, 10, 1..=600);
    let surge_seconds = integer_option("seconds", "SECONDS", "Length of the surge", 10, 1..=600);
    let seed = seed();
    let tries = tries();
    construct!(DemoOptions {
        answers,
        html,
        log,
        scale_percent,
        surge_factor,
        slowdown_factor,
        calm_seconds,
        surge_seconds,
        seed,
        tries,
    })
    .to_options()
    .descr("Platform, targets, daemons and callers on loopback; ends with a table.")
    .footer("Example: berylctl demo --surge 4 --slowdown 2")
}

pub(super) fn experiment() -> OptionParser<ExperimentOptions> {
    let workload = long("workload")
        .help("Services and mix: arriaga or austral")
        .argument::<String>("NAME")
        .parse(|name| parse_name(&WORKLOADS, &name))
        .fallback(Workload::Arriaga)
        .display_fallback();
    let seed = seed();
    let calm = "Time at the usual rate before the trouble; twice that after it";
    let calm_seconds = integer_option("calm", "SECONDS", calm, 4, 1..=600);
    let trouble = "Length of the trouble";
    let trouble_seconds = integer_option("seconds", "SECONDS", trouble, 4, 1..=600);
    let html = file("html", "Write a page with plots to this file").optional();
    let json = file("json", "Write the result as JSON to this file").optional();
    let help = format!("One of: {}", names(&EXPERIMENTS));
    let experiment = positional::<String>("NAME")
        .help(&*help)
        .parse(|name| parse_name(&EXPERIMENTS, &name));
    construct!(ExperimentOptions {
        workload,
        seed,
        calm_seconds,
        trouble_seconds,
        html,
        json,
        experiment,
    })
    .to_options()
    .descr("The same trouble with a plain pass-through and with berylhead, side by side.")
    .footer("Example: berylctl experiment --html storm.html --json storm.json retry-storm")
}

fn seed() -> impl Parser<u64> {
    long("seed")
        .help("Seed of arrivals and of the mix; the same seed gives the same schedule")
        .argument::<u64>("SEED")
        .fallback(1)
        .display_fallback()
}

fn tries() -> impl Parser<u16> {
    long("tries")
        .help("Sends of one request at most")
        .argument::<u16>("COUNT")
        .guard(|tries| *tries > 0, "allowed: at least 1")
        .fallback(4)
        .display_fallback()
}

/// An option with an integer value, a default and an allowed range.
fn integer_option(
    name: &'static str,
    meta: &'static str,
    help: &'static str,
    default: u32,
    allowed: std::ops::RangeInclusive<u32>,
) -> impl Parser<u32> {
    long(name)
        .help(help)
        .argument::<u32>(meta)
        .parse(move |value| {
            if allowed.contains(&value) {
                Ok(value)
            } else {
                Err(format!("allowed: {} to {}", allowed.start(), allowed.end()))
            }
        })
        .fallback(default)
        .display_fallback()
}
