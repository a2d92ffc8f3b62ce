//! Dead nodes are found, live ones are seldom suspected, and leaving is told at once.

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
fn killed_node_is_found_by_all() {
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
fn most_of_a_data_centre_killed_at_once_is_found_by_all() {
    let mut sim = converged(45, 3, 10);
    let killed = || (0..10).map(|number| 3 * number);
    for at in killed() {
        sim.daemons[at].running = false;
    }
    let all_avoid =
        |s: &Simulation| killed().all(|at| s.count_with_standing(at, &[Suspect, Dead]) == 35);
    let time = sim.run_until(30 * SECOND, all_avoid);
    assert!(time <= Some(8 * SECOND) && time.is_some(), "{time:?}");
    let all_dead = |s: &Simulation| killed().all(|at| s.count_with_standing(at, &[Dead]) == 35);
    assert!(sim.run_until(10 * SECOND, all_dead).is_some());
}

#[test]
fn resumed_node_is_stale_first_and_returns() {
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
fn replacement_under_the_same_name_returns() {
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
fn other_instance_at_the_same_address_does_not_pass_for_the_old_one() {
    let mut sim = converged(30, 3, 11);
    sim.id_override = Some("new".into());
    sim.restart(4);
    assert!(
        sim.run_until(20 * SECOND, |s| s.count_with_standing(4, &[Dead]) == 29)
            .is_some()
    );
}

#[test]
fn leaving_is_told_at_once() {
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
fn resumed_nodes_accuse_nobody_of_what_they_missed() {
    let mut sim = converged(30, 3, 9);
    // Slow answers, so that some probes are outstanding at any moment.
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
fn one_way_cut_between_two_nodes_condemns_nobody() {
    let mut sim = converged(15, 1, 6);
    sim.is_cut = Box::new(|from, to| from == 2 && to % 2 == 0);
    for _ in 0..60 {
        sim.run(SECOND);
        for at in 0..15 {
            assert_eq!(sim.count_with_standing(at, &[Dead]), 0, "i{at:03}");
            // Only the side that is cut off may avoid the other one.
            assert!(sim.count_with_standing(at, &[Suspect]) <= 1, "i{at:03}");
        }
    }
}

#[test]
fn node_that_hears_nobody_condemns_nobody() {
    let mut sim = converged(15, 1, 7);
    sim.is_cut = Box::new(|_, to| to == 3);
    sim.run(60 * SECOND);
    for at in (0..15).filter(|at| *at != 3) {
        assert_eq!(sim.count_with_standing(at, &[Dead]), 0, "i{at:03}");
    }
}

#[test]
fn cut_data_centre_is_avoided_and_returns() {
    let mut sim = converged(30, 3, 8);
    for _ in 0..2 {
        sim.is_cut = Box::new(|from, to| (from % 3 == 0) != (to % 3 == 0));
        sim.run(25 * SECOND);
        // Both sides avoid the other one, and neither condemns it.
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
    fn lossy_links_seldom_condemn_and_never_for_good(
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
        // Node seconds during which a live node was held for dead, of 24 x 23 x 60.
        prop_assert!(dead * 100 <= 24 * 23 * 60, "{dead}");
        sim.network = default_network;
        let healed = |s: &Simulation| (0..24).all(|at| s.count_with_standing(at, &[Live]) == 23);
        prop_assert!(sim.run_until(60 * SECOND, healed).is_some());
    }
}
