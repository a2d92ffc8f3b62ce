//! All daemons and targets restart at once under load and lose everything that they have learned.

use crate::deep_service::{ORIGINS, RetryBehaviour, SLOTS, Scenario, Tallies, sum};

/// Simulates a constant demand, relative to the capacity, with a full restart in the fifth second.
fn simulate(demand: f64) -> Tallies {
    let scenario = Scenario {
        demand: move |_| demand,
        slots: |_| SLOTS,
        seconds: 10,
        retry_behaviour: RetryBehaviour::RetryOnce,
        restart_at: Some(4_000),
        origins: ORIGINS,
        shares_enabled: true,
    };
    scenario.simulate()
}

#[test]
fn a_load_below_capacity_is_served_again_within_two_seconds() {
    let tallies = simulate(0.9);
    for class in 0..2 {
        let before = sum(&tallies[1..3], class);
        let after = sum(&tallies[6..9], class);
        assert!(
            after.share() >= 0.95 * before.share(),
            "{before:?}, {after:?}"
        );
    }
}

#[test]
fn a_persistent_overload_is_controlled_again_within_two_seconds() {
    let tallies = simulate(2.0);
    let critical = sum(&tallies[6..9], 0);
    assert!(critical.share() >= 0.95, "critical: {critical:?}");
}
