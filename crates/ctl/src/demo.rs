//! `berylctl demo`: a whole fleet in one process, an overload, and what became of it.

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

/// Answers that the demo runs with unless others are given.
const ARRIAGA: &str = include_str!("../../../examples/arriaga.ini");

pub(crate) async fn run(options: DemoOptions) -> Result<(), Failure> {
    let answers = read(options.answers.as_deref())?;
    let document = answers.generate("answers", Revision::default());
    let mut document = document.map_err(Failure::bad_input)?;
    for service in &mut document.services {
        service.slots = scaled(service.slots, options.scale_percent);
    }
    if options.log {
        daemon::logging::install(log::LevelFilter::Debug, daemon::logging::Stream::Stderr);
    }
    let fleet = LocalFleet::start(&document, instances(&answers, options.scale_percent)).await?;
    let slow = mix::most_called(&answers);
    output::note(&format!(
        "{} daemons on loopback at {} % of the sizes in the answers; for {} s, callers send {} \
         times as much and repeat at once, and {} takes {} times as long",
        fleet.instances.len(),
        options.scale_percent,
        options.surge_seconds,
        options.surge_factor,
        slow.map_or("nothing", |service| service.name.as_str()),
        options.slowdown_factor,
    ));
    let listeners: Vec<String> = admins(&fleet).map(|admin| admin.to_string()).collect();
    output::note(&format!(
        "meanwhile: berylctl status {}",
        listeners.join(" ")
    ));
    let calm = Duration::from_secs(options.calm_seconds.into());
    let surge = Duration::from_secs(options.surge_seconds.into());
    let load = schedule(&answers, &options, &fleet);
    let trouble = async {
        let targets = || {
            fleet.instances.iter().filter(|instance| {
                slow.is_some_and(|service| service.name == instance.identity.service)
            })
        };
        tokio::time::sleep(calm).await;
        targets().for_each(|instance| instance.target.set_slowdown(options.slowdown_factor.into()));
        tokio::time::sleep(surge).await;
        targets().for_each(|instance| instance.target.set_slowdown(1.0));
    };
    let phases = load.phases.clone();
    let (report, ()) = tokio::join!(load::with_progress(&phases, load.run()), trouble);
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
        let admins: Vec<SocketAddr> = admins(&fleet).collect();
        let burn = report::read(&admins).await;
        file::write(path, burn.to_html().as_bytes())?;
    }
    let ledger = fleet.ledger.clone();
    fleet.stop().await;
    tell_repeated(&ledger)
}

/// Fails if anything that may not be repeated ran twice under one key.
fn tell_repeated(ledger: &Ledger) -> Result<(), Failure> {
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

fn admins(fleet: &LocalFleet) -> impl Iterator<Item = SocketAddr> {
    fleet
        .instances
        .iter()
        .map(|instance| instance.addresses.admin)
}

fn read(path: Option<&Path>) -> Result<Answers, Failure> {
    match path {
        Some(path) => questionnaire::read(path),
        None => Answers::read("arriaga.ini", ARRIAGA.as_bytes()).map_err(Failure::bad_input),
    }
}

fn schedule(answers: &Answers, options: &DemoOptions, fleet: &LocalFleet) -> Load {
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
        manner: load::manner(true, options.tries),
    }
}

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
                instances.push((identity, target(answers, service, &id, scale_percent)));
            }
        }
    }
    instances
}

fn target(answers: &Answers, service: &ServiceAnswers, id: &str, scale: u32) -> TargetConfig {
    let slots = usize::try_from(scaled(service.slots, scale)).unwrap_or(usize::MAX);
    let target = TargetConfig::new(service.name.as_str(), id, slots);
    let operations = service.operations.iter();
    operations.fold(target, |target, operation| {
        target.plan(operation.name.as_str(), mix::plan(answers, operation))
    })
}

fn scaled(slots: u32, scale_percent: u32) -> u32 {
    (slots * scale_percent / 100).max(1)
}
