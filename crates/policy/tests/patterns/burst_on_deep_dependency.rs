//! A burst of requests overloads a service deep in the call graph. Refusing calls there would waste
//! the work already done for the request, so the windows refuse requests where they enter.

use crate::deep_service::{
    CAPACITY_PER_SECOND, RetryBehaviour, SLOTS, Scenario, Tallies, served, sum,
};

/// Simulates a demand of `factor` times the capacity until `burst_ends` (in milliseconds), and of
/// half the capacity after it.
fn simulate(factor: f64, burst_ends: u64, seconds: u64, windows_enabled: bool) -> Tallies {
    let scenario = Scenario {
        demand: move |now| if now < burst_ends { factor } else { 0.5 },
        slots: |_| SLOTS,
        seconds,
        retry_behaviour: RetryBehaviour::GiveUp,
        restart_at: None,
        windows_enabled,
    };
    scenario.simulate()
}

#[test]
fn twice_the_capacity_serves_critical_requests_and_uses_most_of_the_capacity() {
    let tallies = simulate(2.0, 10_000, 10, true);
    let critical = sum(&tallies[1..9], 0);
    let browse = sum(&tallies[1..9], 1);
    assert!(critical.share() >= 0.95, "critical: {critical:?}");
    let served = served(&tallies[1..9]);
    let capacity = CAPACITY_PER_SECOND * 8.0;
    assert!(
        served >= 0.8 * capacity,
        "{served} served of a capacity of {capacity}"
    );
    assert!(browse.share() >= 0.2, "browse: {browse:?}");
}

#[test]
fn without_windows_the_deep_service_runs_calls_of_requests_that_time_out() {
    let tallies = simulate(2.0, 10_000, 10, false);
    let browse = sum(&tallies[2..9], 1);
    assert!(browse.share() < 0.2, "browse: {browse:?}");
}

#[test]
fn service_recovers_within_two_seconds_after_the_burst() {
    let tallies = simulate(3.0, 5_000, 9, true);
    for class in 0..2 {
        let after = sum(&tallies[7..8], class);
        assert!(after.share() >= 0.95, "class {class}: {after:?}");
    }
}
