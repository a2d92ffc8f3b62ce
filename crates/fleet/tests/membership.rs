//! Dead nodes are found, live ones are seldom suspected, and leaving is told at once.

mod world;

use std::time::Duration;

use fleet::{ListedState, MemberStanding, Outbox};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use world::{Weather, World};

const SECOND: Duration = Duration::from_secs(1);

use MemberStanding::{Dead, Leaving, Live, Suspect};

fn settled(count: usize, data_centres: usize, seed: u64) -> World {
    let mut world = World::new(count, data_centres, seed);
    world.run(20 * SECOND);
    for at in 0..count {
        assert_eq!(world.count(at, &[Live]), count - 1, "i{at:03}");
    }
    world
}

#[test]
fn killed_node_is_found_by_all() {
    let mut world = settled(45, 3, 1);
    world.slots[7].running = false;
    let time = world.run_until(30 * SECOND, |w| w.count(7, &[Suspect, Dead]) == 44);
    assert!(time <= Some(8 * SECOND) && time.is_some(), "{time:?}");
    assert!(
        world
            .run_until(10 * SECOND, |w| w.count(7, &[Dead]) == 44)
            .is_some()
    );
}

#[test]
fn most_of_a_data_centre_killed_at_once_is_found_by_all() {
    let mut world = settled(45, 3, 10);
    let killed = || (0..10).map(|number| 3 * number);
    for at in killed() {
        world.slots[at].running = false;
    }
    let avoided = |w: &World| killed().all(|at| w.count(at, &[Suspect, Dead]) == 35);
    let time = world.run_until(30 * SECOND, avoided);
    assert!(time <= Some(8 * SECOND) && time.is_some(), "{time:?}");
    let found = |w: &World| killed().all(|at| w.count(at, &[Dead]) == 35);
    assert!(world.run_until(10 * SECOND, found).is_some());
}

#[test]
fn resumed_node_is_stale_first_and_returns() {
    let mut world = settled(30, 3, 2);
    world.slots[4].frozen = true;
    assert!(
        world
            .run_until(20 * SECOND, |w| w.count(4, &[Dead]) == 29)
            .is_some()
    );
    world.slots[4].frozen = false;
    assert!(world.slots[4].node.is_stale(world.now));
    assert!(
        world
            .run_until(5 * SECOND, |w| !w.slots[4].node.is_stale(w.now))
            .is_some()
    );
    assert!(
        world
            .run_until(30 * SECOND, |w| w.count(4, &[Live]) == 29)
            .is_some()
    );
}

#[test]
fn replacement_under_the_same_name_returns() {
    let mut world = settled(30, 3, 3);
    world.slots[4].running = false;
    assert!(
        world
            .run_until(20 * SECOND, |w| w.count(4, &[Dead]) == 29)
            .is_some()
    );
    world.restart(4);
    assert!(
        world
            .run_until(30 * SECOND, |w| w.count(4, &[Live]) == 29)
            .is_some()
    );
}

#[test]
fn other_instance_at_the_same_address_does_not_pass_for_the_old_one() {
    let mut world = settled(30, 3, 11);
    world.replaced_by = Some("new".into());
    world.restart(4);
    assert!(
        world
            .run_until(20 * SECOND, |w| w.count(4, &[Dead]) == 29)
            .is_some()
    );
}

#[test]
fn leaving_is_told_at_once() {
    let mut world = settled(45, 3, 4);
    let mut out = Outbox::default();
    world.slots[7].node.leave(&mut out);
    let now = world.now;
    world.slots[7].node.tick(now, &mut out);
    world.perform(7, out);
    let time = world.run_until(20 * SECOND, |w| w.count(7, &[Leaving]) == 44);
    assert!(time <= Some(3 * SECOND) && time.is_some(), "{time:?}");
}

#[test]
fn listed_as_leaving_is_leaving_everywhere() {
    let mut world = settled(45, 3, 5);
    world.list_state(7, ListedState::Leaving);
    let time = world.run_until(20 * SECOND, |w| w.count(7, &[Leaving]) == 44);
    assert!(time <= Some(3 * SECOND) && time.is_some(), "{time:?}");
}

#[test]
fn resumed_nodes_accuse_nobody_of_what_they_missed() {
    let mut world = settled(30, 3, 9);
    // Slow answers, so that some probes are outstanding at any moment.
    world.weather.max_delay = Duration::from_millis(190);
    world.run(5 * SECOND);
    for at in 0..10 {
        world.slots[at].frozen = true;
    }
    world.run(4 * SECOND);
    for at in 0..10 {
        world.slots[at].frozen = false;
    }
    for _ in 0..50 {
        world.run(SECOND / 10);
        for at in 10..30 {
            assert_eq!(world.count(at, &[Suspect, Dead]), 0, "i{at:03}");
        }
    }
}

#[test]
fn one_way_cut_between_two_nodes_condemns_nobody() {
    let mut world = settled(15, 1, 6);
    world.cut = Box::new(|from, to| from == 2 && to % 2 == 0);
    for _ in 0..60 {
        world.run(SECOND);
        for at in 0..15 {
            assert_eq!(world.count(at, &[Dead]), 0, "i{at:03}");
            // Only the side that is cut off may avoid the other one.
            assert!(world.count(at, &[Suspect]) <= 1, "i{at:03}");
        }
    }
}

#[test]
fn node_that_hears_nobody_condemns_nobody() {
    let mut world = settled(15, 1, 7);
    world.cut = Box::new(|_, to| to == 3);
    world.run(60 * SECOND);
    for at in (0..15).filter(|at| *at != 3) {
        assert_eq!(world.count(at, &[Dead]), 0, "i{at:03}");
    }
}

#[test]
fn cut_data_centre_is_avoided_and_returns() {
    let mut world = settled(30, 3, 8);
    for _ in 0..2 {
        world.cut = Box::new(|from, to| (from % 3 == 0) != (to % 3 == 0));
        world.run(25 * SECOND);
        // Both sides avoid the other one, and neither condemns it.
        assert_eq!(world.count(0, &[Suspect]), 20);
        assert_eq!(world.count(1, &[Suspect]), 10);
        assert_eq!(world.count(0, &[Dead]) + world.count(1, &[Dead]), 0);
        world.cut = Box::new(|_, _| false);
        let healed = |w: &World| (0..30).all(|at| w.count(at, &[Live]) == 29);
        assert!(world.run_until(30 * SECOND, healed).is_some());
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
        doubled in 0.0..0.3,
        delay_ms in 1_u64..150,
    ) {
        let mut world = settled(24, 3, seed);
        let calm = world.weather;
        world.weather = Weather { loss, doubled, max_delay: Duration::from_millis(delay_ms) };
        let mut dead = 0;
        for _ in 0..60 {
            world.run(SECOND);
            dead += (0..24).map(|at| world.count(at, &[Dead])).sum::<usize>();
        }
        // Node seconds during which a live node was held for dead, of 24 x 23 x 60.
        prop_assert!(dead * 100 <= 24 * 23 * 60, "{dead}");
        world.weather = calm;
        let healed = |w: &World| (0..24).all(|at| w.count(at, &[Live]) == 23);
        prop_assert!(world.run_until(60 * SECOND, healed).is_some());
    }
}
