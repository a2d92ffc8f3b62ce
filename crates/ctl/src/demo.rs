//! `berylctl demo`: runs a whole fleet in one process through an overload and prints the outcome.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use anyhow::anyhow;
use daemon::Identity;
use model::Revision;
use smol_str::format_smolstr;
use standin::{Ledger, Load, LocalFleet, Phase, TargetConfig};
use survey::{Answers, ServiceAnswers};

use crate::cli::DemoOptions;
use crate::failure::Failure;
use crate::output::{self, Style};
use crate::{file, load, mix, questionnaire, report, tally};

/// Questionnaire answers that the demo runs with unless a file is given.
const DEFAULT_ANSWERS: &str = include_str!("../../../examples/arriaga.ini");

pub(crate) async fn run(options: DemoOptions) -> Result<(), Failure> {
    let answers = read_answers(options.answers.as_deref())?;
    let document = answers.generate("answers", Revision::default());
    let mut document = document.map_err(Failure::bad_input)?;
    for service in &mut document.services {
        service.slots = scaled_slots(service.slots, options.scale_percent);
    }
    if options.log {
        daemon::logging::install(log::LevelFilter::Debug, daemon::logging::Stream::Stderr);
    }
    let fleet = LocalFleet::start(&document, instances(&answers, options.scale_percent)).await?;
    let slow_service = mix::most_called(&answers);
    output::note(&format!(
        "{} daemons on loopback at {} % of the sizes in the answers; for {} s, callers send {} \
         times as much and repeat at once, and {} takes {} times as long",
        fleet.instances.len(),
        options.scale_percent,
        options.surge_seconds,
        options.surge_factor,
        slow_service.map_or("nothing", |service| service.name.as_str()),
        options.slowdown_factor,
    ));
    let admins: Vec<String> = admin_addresses(&fleet)
        .map(|address| address.to_string())
        .collect();
    output::note(&format!("meanwhile: berylctl status {}", admins.join(" ")));
    let calm = Duration::from_secs(options.calm_seconds.into());
    let surge = Duration::from_secs(options.surge_seconds.into());
    let load = build_load(&answers, &options, &fleet);
    let slow_down = async {
        let slow_targets = || {
            fleet.instances.iter().filter(|instance| {
                slow_service.is_some_and(|service| service.name == instance.identity.service)
            })
        };
        tokio::time::sleep(calm).await;
        slow_targets()
            .for_each(|instance| instance.target.set_slowdown(options.slowdown_factor.into()));
        tokio::time::sleep(surge).await;
        slow_targets().for_each(|instance| instance.target.set_slowdown(1.0));
    };
    let phases = load.phases.clone();
    let (report, ()) = tokio::join!(load::with_progress(&phases, load.run()), slow_down);
    output::print(&tally::table(&report, Style::of_stdout()))?;
    let recovery = tally::recovery(&report, calm, calm + surge);
    output::print(&match recovery {
        Some(time) => format!(
            "goodput was back at 95 % within {} s of the end of the surge\n",
            time.as_secs() + 1
        ),
        None => "goodput did not come back to 95 % of what it was before the surge\n".into(),
    })?;
    if let Some(path) = &options.html {
        let admins: Vec<SocketAddr> = admin_addresses(&fleet).collect();
        let burn_report = report::fetch(&admins).await;
        file::write(path, burn_report.to_html().as_bytes())?;
    }
    let ledger = fleet.ledger.clone();
    fleet.stop().await;
    check_repeated(&ledger)
}

/// Prints that nothing ran twice under one idempotency key, or returns an error that lists what
/// did.
///
/// Only requests that are not repeatable have a key.
fn check_repeated(ledger: &Ledger) -> Result<(), Failure> {
    let repeated = ledger.repeated();
    if repeated.is_empty() {
        return output::print("nothing ran twice under one idempotency key\n");
    }
    let lines = repeated
        .iter()
        .map(|(key, runs)| format!("{key}: {runs} runs"));
    let lines: Vec<String> = lines.collect();
    Err(anyhow!("ran more than once:\n{}", lines.join("\n")).into())
}

/// Returns the addresses of all admin listeners of the fleet.
fn admin_addresses(fleet: &LocalFleet) -> impl Iterator<Item = SocketAddr> {
    fleet
        .instances
        .iter()
        .map(|instance| instance.addresses.admin)
}

fn read_answers(path: Option<&Path>) -> Result<Answers, Failure> {
    match path {
        Some(path) => questionnaire::read(path),
        None => {
            Answers::read("arriaga.ini", DEFAULT_ANSWERS.as_bytes()).map_err(Failure::bad_input)
        }
    }
}

/// Builds a load of three phases: calm, surge, and calm again for twice as long.
fn build_load(answers: &Answers, options: &DemoOptions, fleet: &LocalFleet) -> Load {
    let rate = load::scaled_rate(answers, options.scale_percent);
    let phase = |seconds: u32, factor: u32| Phase {
        length: Duration::from_secs(seconds.into()),
        rate: rate * f64::from(factor),
    };
    Load {
        seed: options.seed,
        entries: fleet
            .instances
            .iter()
            .map(|instance| instance.addresses.callers)
            .collect(),
        shares: mix::shares(answers),
        phases: vec![
            phase(options.calm_seconds, 1),
            phase(options.surge_seconds, options.surge_factor),
            phase(2 * options.calm_seconds, 1),
        ],
        retry_policy: load::manner(true, options.tries),
    }
}

/// Returns every instance that the answers state, with its stand-in target.
fn instances(answers: &Answers, scale_percent: u32) -> Vec<(Identity, TargetConfig)> {
    let mut instances = Vec::new();
    for service in &answers.services {
        for data_centre in &answers.fleet.data_centres {
            for number in 1..=service.targets_per_data_centre {
                let id = format_smolstr!("{}-{data_centre}-{number}", service.name);
                let identity = Identity {
                    id: id.clone().into(),
                    service: service.name.clone(),
                    data_centre: data_centre.clone(),
                    region: answers.fleet.name.clone().into(),
                };
                instances.push((
                    identity,
                    target_config(answers, service, &id, scale_percent),
                ));
            }
        }
    }
    instances
}

fn target_config(
    answers: &Answers,
    service: &ServiceAnswers,
    id: &str,
    scale_percent: u32,
) -> TargetConfig {
    let slots = usize::try_from(scaled_slots(service.slots, scale_percent)).unwrap_or(usize::MAX);
    let target = TargetConfig::new(service.name.as_str(), id, slots);
    let operations = service.operations.iter();
    operations.fold(target, |target, operation| {
        target.plan(operation.name.as_str(), mix::plan(answers, operation))
    })
}

/// Scales a number of slots down, to at least 1.
fn scaled_slots(slots: u32, scale_percent: u32) -> u32 {
    (slots * scale_percent / 100).max(1)
}
