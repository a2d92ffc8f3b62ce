//! The adaptive limit stays at its ceiling unless a lower limit makes the target faster.

use std::time::{Duration, Instant};

use model::{Class, OperationKey};
use policy::{Decision, Gate, GateConfig, Permit, QueueEvent, RunOutcome, Work};

const SLOTS: u32 = 64;

/// Simulates a saturated gate and returns its limit after each second. `run_time_ms` maps the calls
/// in flight and the milliseconds since the start to the run time of a call.
fn limits_per_second(seconds: u64, run_time_ms: impl Fn(u32, u64) -> u64) -> Vec<u32> {
    let start = Instant::now();
    let mut gate = Gate::new(GateConfig::new(SLOTS), start);
    let mut running: Vec<(Instant, Permit)> = Vec::new();
    let mut limits = Vec::new();
    let mut events = Vec::new();
    for ms in 0..seconds * 1_000 {
        let now = start + Duration::from_millis(ms);
        let (ended, rest): (Vec<_>, Vec<_>) = running.into_iter().partition(|(end, _)| *end <= now);
        running = rest;
        for (_, permit) in ended {
            gate.finish(permit, RunOutcome::Answered, now);
        }
        gate.poll(now, &mut events);
        let mut started: Vec<Permit> = Vec::new();
        started.extend(events.drain(..).filter_map(|event| match event {
            QueueEvent::Start(_, permit) => Some(permit),
            QueueEvent::Refuse(..) => None,
        }));
        for hash in 0..8 {
            let work = Work {
                class: Class::Standard,
                worth: 1,
                shed_hash: hash,
                attempt: 0,
                arrived: now,
                deadline: now + Duration::from_mins(1),
                operation: OperationKey(0),
            };
            if let Decision::Run(permit) = gate.offer(work, now) {
                started.push(permit);
            }
        }
        let in_flight = gate.load(now).in_flight;
        assert!(in_flight <= SLOTS);
        let run_time = Duration::from_millis(run_time_ms(in_flight, ms));
        running.extend(started.into_iter().map(|permit| (now + run_time, permit)));
        if ms % 1_000 == 999 {
            limits.push(gate.load(now).limit);
        }
    }
    limits
}

#[test]
fn a_cold_target_warms_up_to_its_slots() {
    let limits = limits_per_second(3, |_, _| 20);
    insta::assert_snapshot!(format!("{limits:?}"), @"[64, 64, 64]");
}

#[test]
fn a_target_that_slows_down_under_load_gets_a_lower_limit() {
    let slower_under_load = |in_flight: u32, _| u64::from(in_flight.saturating_sub(16)) * 10 + 20;
    let limits = limits_per_second(20, slower_under_load);
    insta::assert_snapshot!(format!("{limits:?}"), @"[25, 25, 14, 14, 16, 19, 17, 15, 17, 17, 17, 18, 17, 17, 18, 18, 18, 17, 18, 17]");
}

#[test]
fn a_target_with_a_slow_dependency_keeps_its_slots() {
    let slow_dependency = |_, ms| if ms < 3_000 { 20 } else { 100 };
    let limits = limits_per_second(12, slow_dependency);
    insta::assert_snapshot!(format!("{limits:?}"), @"[64, 64, 64, 64, 64, 64, 64, 64, 64, 64, 64, 64]");
}
