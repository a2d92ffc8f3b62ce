//! Half of the deep service's targets fail permanently.

use crate::deep_service::{
    CAPACITY_PER_SECOND, ORIGINS, RetryBehaviour, SLOTS, Scenario, served, sum,
};

#[test]
fn critical_requests_and_most_of_the_remaining_capacity_are_served() {
    let scenario = Scenario {
        demand: |_| 0.9,
        slots: |now| if now < 3_000 { SLOTS } else { SLOTS / 2 },
        seconds: 12,
        retry_behaviour: RetryBehaviour::RetryOnce,
        restart_at: None,
        origins: ORIGINS,
        shares_enabled: true,
    };
    let tallies = scenario.simulate();
    let critical = sum(&tallies[5..11], 0);
    assert!(critical.share() >= 0.95, "critical: {critical:?}");
    let served = served(&tallies[5..11]);
    let capacity = CAPACITY_PER_SECOND / 2.0 * 6.0;
    assert!(
        served >= 0.8 * capacity,
        "{served} served of a capacity of {capacity}"
    );
}
