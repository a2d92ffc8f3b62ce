//! Refused callers retry immediately and many times. The retries must not take capacity from
//! requests that can be served, and must end with the burst.

use crate::deep_service::{
    CAPACITY_PER_SECOND, ORIGINS, RetryBehaviour, SLOTS, Scenario, Tallies, served, sum,
};

fn simulate(retry_behaviour: RetryBehaviour) -> Tallies {
    let scenario = Scenario {
        demand: |now| if now < 8_000 { 2.0 } else { 0.5 },
        slots: |_| SLOTS,
        seconds: 12,
        retry_behaviour,
        restart_at: None,
        origins: ORIGINS,
        shares_enabled: true,
    };
    scenario.simulate()
}

#[test]
fn retries_take_no_capacity_and_end_with_the_burst() {
    let tallies = simulate(RetryBehaviour::RetryAtOnce(10));
    let critical = sum(&tallies[1..8], 0);
    assert!(critical.share() >= 0.95, "critical: {critical:?}");
    let served = served(&tallies[1..8]);
    let capacity = CAPACITY_PER_SECOND * 7.0;
    assert!(
        served >= 0.8 * capacity,
        "{served} served of a capacity of {capacity}"
    );
    for class in 0..2 {
        let after = sum(&tallies[10..11], class);
        assert!(after.share() >= 0.95, "class {class}: {after:?}");
    }
}

#[test]
fn callers_that_obey_the_retry_delay_are_served_no_less() {
    let served = [RetryBehaviour::RetryOnce, RetryBehaviour::GiveUp]
        .map(|retry_behaviour| served(&simulate(retry_behaviour)[1..8]));
    assert!(served[0] >= 0.95 * served[1], "{served:?}");
}
