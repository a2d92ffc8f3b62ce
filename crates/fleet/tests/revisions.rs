//! Replication of the document: revisions never decrease and reach every reachable node.

mod simulation;

use std::time::Duration;

use fleet::Alarm;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use simulation::{NetworkConditions, Simulation, document};
use wire::control::Kind;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn revision_reaches_all() {
    // Six readers among 90 nodes, so that most receive the revision from a peer.
    let mut sim = Simulation::new(90, 2, 1);
    assert!(
        sim.run_until(5 * SECOND, |s| s.all_at_revision(1))
            .is_some()
    );
    sim.publish(&document(2, 10));
    let time = sim.run_until(10 * SECOND, |s| s.all_at_revision(2));
    assert!(time <= Some(SECOND) && time.is_some(), "{time:?}");
}

/// Guards against a revision that is in force late since every reader waits for a watch whose
/// connection went silent.
#[test]
fn a_revision_reaches_all_in_time_while_all_watches_are_silent() {
    /// Bound within which a revision is to be in force everywhere.
    const BOUND: Duration = Duration::from_secs(4);

    let mut sim = Simulation::new(12, 3, 1);
    sim.run(5 * SECOND);
    sim.publish(&document(2, 10));
    sim.run(5 * SECOND);
    sim.lose_waiting_reads();
    sim.publish(&document(3, 10));
    let time = sim.run_until(60 * SECOND, |s| s.all_at_revision(3));
    assert!(time.is_some_and(|time| time <= BOUND), "{time:?}");
}

#[test]
fn skipped_revision_numbers_are_accepted_and_older_revisions_are_not() {
    let mut sim = Simulation::new(12, 3, 2);
    sim.run(5 * SECOND);
    sim.publish(&document(9, 10));
    sim.run(5 * SECOND);
    assert!(sim.all_at_revision(9));
    sim.publish(&document(4, 10));
    sim.restart(0);
    sim.run(5 * SECOND);
    // The restarted node reads revision 4 and pulls revision 9 from its peers.
    assert!(sim.all_at_revision(9));
}

#[test]
fn older_revision_from_the_platform_is_ignored() {
    let mut sim = Simulation::new(12, 3, 7);
    sim.run(5 * SECOND);
    sim.publish(&document(9, 10));
    sim.run(5 * SECOND);
    sim.platform_ignores_after = true;
    sim.publish(&document(4, 10));
    let before = sim.reads();
    sim.run(20 * SECOND);
    assert!(sim.all_at_revision(9));
    let older = |alarm: &Alarm| {
        matches!(
            alarm,
            Alarm::OlderAnswer {
                kind: Kind::Document
            }
        )
    };
    assert!(sim.alarms.iter().any(older));
    // Nine readers of the document, each about every 2 s, and nine of the instance list.
    let reads = sim.reads() - before;
    assert!(reads <= 2 * 9 * 20, "{reads}");
}

#[test]
fn invalid_document_is_refused_as_a_whole() {
    let mut sim = Simulation::new(12, 3, 3);
    sim.run(5 * SECOND);
    sim.publish_bytes(b"{\"revision\":2}".to_vec());
    sim.run(5 * SECOND);
    assert!(sim.all_at_revision(1));
    let refused = |alarm: &Alarm| {
        matches!(
            alarm,
            Alarm::Refused {
                kind: Kind::Document,
                ..
            }
        )
    };
    assert!(sim.alarms.iter().any(refused));
    sim.publish(&document(3, 10));
    assert!(
        sim.run_until(8 * SECOND, |s| s.all_at_revision(3))
            .is_some()
    );
}

#[test]
fn conflicting_contents_of_one_revision_converge() {
    let mut sim = Simulation::new(12, 3, 4);
    sim.run(5 * SECOND);
    // The data centres can't exchange messages while the nodes of dc1 restart without state
    // and read other content under the same revision.
    sim.is_cut = Box::new(|from, to| from % 3 != to % 3);
    sim.publish(&document(2, 20));
    sim.run(SECOND);
    sim.restart(1);
    sim.restart(4);
    sim.restart(7);
    sim.restart(10);
    sim.publish(&document(2, 30));
    sim.run(5 * SECOND);
    assert!(!sim.all_agree());
    sim.is_cut = Box::new(|_, _| false);
    assert!(sim.run_until(60 * SECOND, Simulation::all_agree).is_some());
    let conflict = |alarm: &Alarm| matches!(alarm, Alarm::Conflict { revision: 2, .. });
    assert!(sim.alarms.iter().any(conflict));
}

#[test]
fn restarted_node_gets_the_highest_revision_from_peers_during_an_outage() {
    let mut sim = Simulation::new(12, 3, 5);
    sim.run(5 * SECOND);
    sim.publish(&document(2, 10));
    sim.run(5 * SECOND);
    sim.platform_up = false;
    sim.restart(0);
    sim.run(8 * SECOND);
    assert!(sim.daemons[0].node.view().index.is_some());
    assert!(sim.all_at_revision(2));
}

#[test]
fn new_node_finds_its_peers_through_seeds_during_an_outage() {
    let mut sim = Simulation::new(12, 3, 8);
    sim.run(5 * SECOND);
    sim.platform_up = false;
    // The new node receives messages only from its seed, which is in another data centre.
    sim.is_cut = Box::new(|from, to| to == 0 && from != 5);
    sim.seeds = vec![simulation::address(5)];
    sim.restart(0);
    sim.run(8 * SECOND);
    assert!(sim.daemons[0].node.view().index.is_some());
}

#[test]
fn node_without_any_source_is_not_ready() {
    let mut sim = Simulation::new(3, 1, 6);
    sim.platform_up = false;
    sim.run(30 * SECOND);
    assert!(sim.daemons.iter().all(|s| s.node.view().index.is_none()));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 12,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The simulation checks after each action that no node's revision decreases.
    #[test]
    fn all_converge_after_faults_end(
        seed in any::<u64>(),
        loss in 0.0..0.4,
        duplication in 0.0..0.3,
        delay_ms in 1_u64..800,
        parts in 1_usize..4,
    ) {
        let mut sim = Simulation::new(24, 3, seed);
        sim.run(5 * SECOND);
        let default_network = sim.network;
        sim.network = NetworkConditions { loss, duplication, max_delay: Duration::from_millis(delay_ms) };
        sim.is_cut = Box::new(move |from, to| from % parts != to % parts);
        for revision in 2..8 {
            sim.publish(&document(revision, 10));
            sim.run(3 * SECOND);
        }
        sim.network = default_network;
        sim.is_cut = Box::new(|_, _| false);
        prop_assert!(sim.run_until(20 * SECOND, |s| s.all_at_revision(7)).is_some());
    }
}
