//! One run of a scenario through calm, overload, calm, trigger and calm again.

use std::ops::Range;
use std::time::Duration;

use daemon::Features;
use standin::{
    Caller, Ledger, Load, LocalFleet, LocalInstance, Phase, Report, RetryPolicy, Run, Share,
};

use crate::scenario::Scenario;

/// Sends of one caller's request at most.
const CALLER_TRIES: u16 = 4;
/// Growth of demand in an overload.
pub const SURGE: f64 = 3.0;
/// Factor by which the deep service slows down.
const SLOWDOWN: f64 = 3.0;
/// Time for the limits to grow after the start; not measured.
const WARM_UP: Duration = Duration::from_millis(1_500);
const CALM: Duration = Duration::from_millis(1_500);
const OVERLOAD: Duration = Duration::from_secs(4);
const PAUSE: Duration = Duration::from_millis(1_500);
const TRIGGER: Duration = Duration::from_secs(4);
const AFTER: Duration = Duration::from_secs(3);

/// Times of the schedule that are measured.
pub mod window {
    use super::{AFTER, CALM, Duration, OVERLOAD, PAUSE, Range, TRIGGER, WARM_UP};

    const OVERLOAD_START: Duration = WARM_UP.saturating_add(CALM);
    const TRIGGER_START: Duration = OVERLOAD_START
        .saturating_add(OVERLOAD)
        .saturating_add(PAUSE);
    const TRIGGER_END: Duration = TRIGGER_START.saturating_add(TRIGGER);

    /// Before anything happens.
    pub const BEFORE: Range<Duration> = WARM_UP..OVERLOAD_START;
    /// Threefold demand, and nothing else.
    pub const SURGE: Range<Duration> = OVERLOAD_START..OVERLOAD_START.saturating_add(OVERLOAD);
    /// Threefold demand while the deep service is slow.
    pub const TRIGGERED: Range<Duration> = TRIGGER_START..TRIGGER_END;
    /// After the trigger.
    pub const RECOVERY: Range<Duration> = TRIGGER_END..TRIGGER_END.saturating_add(AFTER);
}

/// What came of a run.
#[derive(Debug)]
pub struct Trial {
    /// Seed of its arrivals.
    pub seed: u64,
    /// What callers asked for.
    pub shares: Vec<Share>,
    /// How their requests ended.
    pub report: Report,
    /// What ran at the targets.
    pub runs: Vec<Run>,
    /// Further tries that the daemons counted.
    pub retries: u64,
}

/// Runs the whole schedule against a fleet of its own.
///
/// # Errors
///
/// If a port can't be bound.
pub async fn run(scenario: &Scenario, parts: Features, seed: u64) -> anyhow::Result<Trial> {
    let calm = f64::from(scenario.rate());
    let course = Course {
        phases: [
            (WARM_UP + CALM, calm),
            (OVERLOAD, SURGE * calm),
            (PAUSE, calm),
            (TRIGGER, SURGE * calm),
            (AFTER, calm),
        ]
        .map(|(length, rate)| Phase { length, rate })
        .into(),
        manner: RetryPolicy::RetryHard {
            tries: CALLER_TRIES,
        },
        entries: |_| true,
    };
    let slow_down = async |fleet: &mut LocalFleet| {
        tokio::time::sleep(window::TRIGGERED.start).await;
        set_slowdown(fleet, scenario.slow, SLOWDOWN);
        tokio::time::sleep(TRIGGER).await;
        set_slowdown(fleet, scenario.slow, 1.0);
        Ok(())
    };
    run_through(scenario, parts, seed, course, slow_down).await
}

/// What callers do to a fleet.
#[derive(Clone, Debug)]
pub struct Course {
    /// Rates, one after the other.
    pub phases: Vec<Phase>,
    /// How callers take a failure.
    pub manner: RetryPolicy,
    /// Which instances callers enter at.
    pub entries: fn(&LocalInstance) -> bool,
}

/// Runs a course against a fleet of its own, with trouble that starts beside it.
///
/// # Errors
///
/// If a port can't be bound, or the trouble fails.
pub async fn run_through(
    scenario: &Scenario,
    parts: Features,
    seed: u64,
    course: Course,
    trouble: impl AsyncFnOnce(&mut LocalFleet) -> anyhow::Result<()>,
) -> anyhow::Result<Trial> {
    let instances = scenario.instances(seed);
    let mut fleet = LocalFleet::start_with(&scenario.document(), instances, parts).await?;
    let shares = scenario.shares();
    let load = Load {
        seed,
        entries: fleet
            .instances
            .iter()
            .filter(|instance| (course.entries)(instance))
            .map(|instance| instance.addresses.callers)
            .collect(),
        shares: shares.clone(),
        phases: course.phases,
        retry_policy: course.manner,
    };
    let (report, came) = tokio::join!(load.run(), trouble(&mut fleet));
    came?;
    let retries = retries(&fleet).await;
    let ledger: Ledger = fleet.ledger.clone();
    fleet.stop().await;
    Ok(Trial {
        seed,
        shares,
        report,
        runs: ledger.runs(),
        retries,
    })
}

/// Makes the targets of a service take longer by a factor.
pub fn set_slowdown(fleet: &LocalFleet, service: &str, factor: f64) {
    fleet
        .instances_of(service)
        .for_each(|instance| instance.target.set_slowdown(factor));
}

/// Sum of the daemons' own counters of further tries.
async fn retries(fleet: &LocalFleet) -> u64 {
    let caller = Caller::new();
    let mut sum = 0;
    for instance in &fleet.instances {
        let page = format!("http://{}/metrics", instance.addresses.admin);
        if let Ok((_, body)) = caller.get(&page).await {
            let text = String::from_utf8_lossy(&body).into_owned();
            sum += text.lines().filter_map(retries_of).sum::<u64>();
        }
    }
    sum
}

fn retries_of(line: &str) -> Option<u64> {
    let value = line.strip_prefix("berylhead_retries_total")?;
    value.rsplit(' ').next()?.parse().ok()
}
