//! The rate of reads of the platform stays bounded during starts, outages and partitions.

mod simulation;

use std::time::Duration;

use simulation::{Simulation, document};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn steady_state_has_three_watches_for_each_kind_and_data_centre() {
    let mut sim = Simulation::new(90, 9, 1);
    sim.run(30 * SECOND);
    let before = sim.reads();
    sim.run(250 * SECOND);
    // 54 watches (3 readers x 2 kinds x 9 data centres) of 25 s, each renewed ten times.
    let reads = sim.reads() - before;
    assert!((540..=600).contains(&reads), "{reads}");
}

#[test]
fn simultaneous_restart_costs_two_reads_per_node_besides_the_watches() {
    let mut sim = Simulation::new(90, 9, 2);
    sim.run(30 * SECOND);
    let before = sim.reads();
    for at in 0..90 {
        sim.restart(at);
    }
    sim.run(20 * SECOND);
    let reads = sim.reads() - before;
    assert!(sim.all_at_revision(1));
    assert!(reads <= 2 * 90 + 2 * 54, "{reads}");
}

#[test]
fn start_of_a_large_fleet_is_spread_over_time() {
    let mut sim = Simulation::new(90, 9, 6);
    sim.run(30 * SECOND);
    sim.expected_members = 16_000;
    let before = sim.reads();
    for at in 0..90 {
        sim.restart(at);
    }
    sim.run(SECOND);
    // The 54 readers, which read as soon as the first answer has given them the instance
    // list, and at most 18 others.
    let reads = sim.reads() - before;
    assert!(reads <= 54 + 18, "{reads}");
    assert!(
        sim.run_until(10 * SECOND, |s| s.all_at_revision(1))
            .is_some()
    );
}

#[test]
fn isolated_nodes_poll_at_a_bounded_rate() {
    let mut sim = Simulation::new(90, 9, 3);
    sim.run(30 * SECOND);
    sim.is_cut = Box::new(|_, _| true);
    sim.run(30 * SECOND);
    let before = sim.reads();
    sim.run(60 * SECOND);
    // Two kinds at intervals of at least 2 s for each node that isn't a reader, and the watches.
    let reads = sim.reads() - before;
    assert!(reads <= 90 * 2 * 60 / 2 + 3 * 54, "{reads}");
    assert!(reads > 90 * 2 * 60 / 8, "{reads}");
    // A new revision still reaches every node without any message from another one.
    sim.publish(&document(2, 10));
    assert!(
        sim.run_until(10 * SECOND, |s| s.all_at_revision(2))
            .is_some()
    );
}

#[test]
fn outage_and_its_end_cause_no_thundering_herd() {
    let mut sim = Simulation::new(90, 9, 4);
    sim.run(30 * SECOND);
    sim.platform_up = false;
    sim.publish(&document(2, 10));
    sim.run(10 * SECOND);
    let before = sim.reads();
    sim.run(60 * SECOND);
    let down = sim.reads() - before;
    // Only readers retry, each about every 2 s.
    assert!(down <= 54 * 60, "{down}");
    sim.platform_up = true;
    let before = sim.reads();
    assert!(
        sim.run_until(10 * SECOND, |s| s.all_at_revision(2))
            .is_some()
    );
    let after = sim.reads() - before;
    assert!(after <= 4 * 54, "{after}");
}

#[test]
fn frozen_readers_are_replaced() {
    let mut sim = Simulation::new(30, 1, 5);
    sim.run(30 * SECOND);
    let readers: Vec<usize> = (0..30).filter(|at| sim.daemons[*at].reads > 2).collect();
    for at in &readers {
        sim.daemons[*at].frozen = true;
    }
    sim.run(20 * SECOND);
    sim.publish(&document(2, 10));
    let others = move |s: &Simulation| {
        (0..30).filter(|at| !readers.contains(at)).all(|at| {
            let held = s.daemons[at].node.document_stamp();
            held.map(|stamp| stamp.revision) == Some(2)
        })
    };
    assert!(sim.run_until(10 * SECOND, others).is_some());
}
