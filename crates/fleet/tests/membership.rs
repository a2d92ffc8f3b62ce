//! Failure detection: killed nodes are detected, live ones are rarely suspected, and a node
//! that leaves is known to leave within seconds.

mod simulation;

use std::time::Duration;

use fleet::{ListedState, MemberStanding, Outbox};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use simulation::{NetworkConditions, Simulation};

const SECOND: Duration = Duration::from_secs(1);

use MemberStanding::{Dead, Leaving, Live, Suspect};

fn converged(count: usize, data_centres: usize, seed: u64) -> Simulation {
    let mut sim = Simulation::new(count, data_centres, seed);
    sim.run(20 * SECOND);
    for at in 0..count {
        assert_eq!(sim.count_with_standing(at, &[Live]), count - 1, "i{at:03}");
    }
    sim
}

#[test]
fn killed_node_is_detected_by_all() {
    let mut sim = converged(45, 3, 1);
    sim.daemons[7].running = false;
    let time = sim.run_until(30 * SECOND, |s| {
        s.count_with_standing(7, &[Suspect, Dead]) == 44
    });
    assert!(time <= Some(8 * SECOND) && time.is_some(), "{time:?}");
    assert!(
        sim.run_until(10 * SECOND, |s| s.count_with_standing(7, &[Dead]) == 44)
            .is_some()
    );
}

#[test]
fn simultaneous_kill_of_most_of_a_data_centre_is_detected_by_all() {
    let mut sim = converged(45, 3, 10);
    let killed = || (0..10).map(|number| 3 * number);
    for at in killed() {
        sim.daemons[at].running = false;
    }
    let all_suspect_or_dead =
        |s: &Simulation| killed().all(|at| s.count_with_standing(at, &[Suspect, Dead]) == 35);
    let time = sim.run_until(30 * SECOND, all_suspect_or_dead);
    assert!(time <= Some(8 * SECOND) && time.is_some(), "{time:?}");
    let all_dead = |s: &Simulation| killed().all(|at| s.count_with_standing(at, &[Dead]) == 35);
    assert!(sim.run_until(10 * SECOND, all_dead).is_some());
}

#[test]
fn resumed_node_is_stale_until_confirmed_and_becomes_live_again() {
    let mut sim = converged(30, 3, 2);
    sim.daemons[4].frozen = true;
    assert!(
        sim.run_until(20 * SECOND, |s| s.count_with_standing(4, &[Dead]) == 29)
            .is_some()
    );
    sim.daemons[4].frozen = false;
    assert!(sim.daemons[4].node.is_stale(sim.now));
    assert!(
        sim.run_until(5 * SECOND, |s| !s.daemons[4].node.is_stale(s.now))
            .is_some()
    );
    assert!(
        sim.run_until(30 * SECOND, |s| s.count_with_standing(4, &[Live]) == 29)
            .is_some()
    );
}

#[test]
fn replacement_under_the_same_identifier_becomes_live() {
    let mut sim = converged(30, 3, 3);
    sim.daemons[4].running = false;
    assert!(
        sim.run_until(20 * SECOND, |s| s.count_with_standing(4, &[Dead]) == 29)
            .is_some()
    );
    sim.restart(4);
    assert!(
        sim.run_until(30 * SECOND, |s| s.count_with_standing(4, &[Live]) == 29)
            .is_some()
    );
}

#[test]
fn another_instance_at_the_same_address_is_not_taken_for_the_old_one() {
    let mut sim = converged(30, 3, 11);
    sim.id_override = Some("new".into());
    sim.restart(4);
    assert!(
        sim.run_until(20 * SECOND, |s| s.count_with_standing(4, &[Dead]) == 29)
            .is_some()
    );
}

#[test]
fn leaving_is_announced_without_delay() {
    let mut sim = converged(45, 3, 4);
    let mut out = Outbox::default();
    sim.daemons[7].node.leave(&mut out);
    let now = sim.now;
    sim.daemons[7].node.tick(now, &mut out);
    sim.perform(7, out);
    let time = sim.run_until(20 * SECOND, |s| s.count_with_standing(7, &[Leaving]) == 44);
    assert!(time <= Some(3 * SECOND) && time.is_some(), "{time:?}");
}

#[test]
fn listed_as_leaving_is_leaving_everywhere() {
    let mut sim = converged(45, 3, 5);
    sim.set_listed_state(7, ListedState::Leaving);
    let time = sim.run_until(20 * SECOND, |s| s.count_with_standing(7, &[Leaving]) == 44);
    assert!(time <= Some(3 * SECOND) && time.is_some(), "{time:?}");
}

#[test]
fn resumed_nodes_suspect_nobody_for_acks_missed_while_frozen() {
    let mut sim = converged(30, 3, 9);
    // High latency, so that some probes are outstanding when the nodes are frozen.
    sim.network.max_delay = Duration::from_millis(190);
    sim.run(5 * SECOND);
    for at in 0..10 {
        sim.daemons[at].frozen = true;
    }
    sim.run(4 * SECOND);
    for at in 0..10 {
        sim.daemons[at].frozen = false;
    }
    for _ in 0..50 {
        sim.run(SECOND / 10);
        for at in 10..30 {
            assert_eq!(sim.count_with_standing(at, &[Suspect, Dead]), 0, "i{at:03}");
        }
    }
}

#[test]
fn one_way_cut_leads_to_no_dead_claim() {
    let mut sim = converged(15, 1, 6);
    sim.is_cut = Box::new(|from, to| from == 2 && to % 2 == 0);
    for _ in 0..60 {
        sim.run(SECOND);
        for at in 0..15 {
            assert_eq!(sim.count_with_standing(at, &[Dead]), 0, "i{at:03}");
            // Only nodes at the two ends of a cut link may suspect each other: at most one each.
            assert!(sim.count_with_standing(at, &[Suspect]) <= 1, "i{at:03}");
        }
    }
}

#[test]
fn node_that_receives_nothing_declares_nobody_dead() {
    let mut sim = converged(15, 1, 7);
    sim.is_cut = Box::new(|_, to| to == 3);
    sim.run(60 * SECOND);
    for at in (0..15).filter(|at| *at != 3) {
        assert_eq!(sim.count_with_standing(at, &[Dead]), 0, "i{at:03}");
    }
}

#[test]
fn cut_data_centre_is_suspect_until_the_cut_heals() {
    let mut sim = converged(30, 3, 8);
    for _ in 0..2 {
        sim.is_cut = Box::new(|from, to| (from % 3 == 0) != (to % 3 == 0));
        sim.run(25 * SECOND);
        // Each side suspects the other one, and neither declares it dead.
        assert_eq!(sim.count_with_standing(0, &[Suspect]), 20);
        assert_eq!(sim.count_with_standing(1, &[Suspect]), 10);
        assert_eq!(
            sim.count_with_standing(0, &[Dead]) + sim.count_with_standing(1, &[Dead]),
            0
        );
        sim.is_cut = Box::new(|_, _| false);
        let healed = |s: &Simulation| (0..30).all(|at| s.count_with_standing(at, &[Live]) == 29);
        assert!(sim.run_until(30 * SECOND, healed).is_some());
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 8,
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn lossy_links_rarely_and_never_permanently_cause_dead_claims(
        seed in any::<u64>(),
        loss in 0.0..0.15,
        duplication in 0.0..0.3,
        delay_ms in 1_u64..150,
    ) {
        let mut sim = converged(24, 3, seed);
        let default_network = sim.network;
        sim.network = NetworkConditions { loss, duplication, max_delay: Duration::from_millis(delay_ms) };
        let mut dead = 0;
        for _ in 0..60 {
            sim.run(SECOND);
            dead += (0..24).map(|at| sim.count_with_standing(at, &[Dead])).sum::<usize>();
        }
        // Live nodes are wrongly considered dead for at most 1 % of 24 x 23 x 60 pair seconds.
        prop_assert!(dead * 100 <= 24 * 23 * 60, "{dead}");
        sim.network = default_network;
        let healed = |s: &Simulation| (0..24).all(|at| s.count_with_standing(at, &[Live]) == 23);
        prop_assert!(sim.run_until(60 * SECOND, healed).is_some());
    }
}
