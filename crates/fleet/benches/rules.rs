//! Control traffic, revision spread, failure detection and false suspicion in a simulated
//! fleet with a virtual clock.
//!
//! `cargo bench -p fleet --bench rules`

#[path = "../tests/simulation/mod.rs"]
mod simulation;

use std::time::Duration;

use fleet::MemberStanding::{Dead, Leaving, Suspect};
use fleet::{MemberStanding, Outbox};
use simulation::{NetworkConditions, Simulation, document};

const SECOND: Duration = Duration::from_secs(1);
const REVISION_INTERVAL: Duration = Duration::from_millis(4100);
const SEEDS: u64 = 20;

fn main() {
    measure_traffic();
    measure_failure_detection();
    measure_leave();
    measure_false_suspicion();
}

fn measure_traffic() {
    println!("nodes in 9 DCs  idle msg/s  idle B/s  msg/s  B/s  worst spread ms");
    for nodes in [9, 18, 36, 72, 144, 288, 576] {
        let mut sim = Simulation::new(nodes, 9, 1);
        sim.network.max_delay = Duration::from_millis(20);
        sim.run(40 * SECOND);
        let begin = sim.sent;
        sim.run(60 * SECOND);
        let idle = sim.sent_rate_since(begin, 60.0);
        let begin = sim.sent;
        let mut max_spread = Duration::ZERO;
        for revision in 2..16 {
            sim.publish(&document(revision, 10));
            let start = sim.now;
            let time = sim.run_until(10 * SECOND, |s| s.all_at_revision(revision));
            max_spread = max_spread.max(time.unwrap_or(Duration::MAX));
            sim.run(REVISION_INTERVAL.saturating_sub(sim.now - start));
        }
        let busy = sim.sent_rate_since(begin, 14.0 * REVISION_INTERVAL.as_secs_f64());
        println!(
            "{nodes:14}  {:10.2}  {:8.0}  {:5.2}  {:3.0}  {:15}",
            idle.0,
            idle.1,
            busy.0,
            busy.1,
            max_spread.as_millis()
        );
    }
}

fn measure_failure_detection() {
    println!("killed  of  DCs  avoided by all: median s, worst s  then dead: worst s");
    for (killed, nodes, dcs) in [(1, 45, 3), (1, 90, 9), (1, 270, 3), (3, 12, 3), (10, 45, 3)] {
        let mut detection_times = Vec::new();
        let mut dead = Duration::ZERO;
        for seed in 0..SEEDS {
            let mut sim = Simulation::new(nodes, dcs, seed);
            sim.run(20 * SECOND);
            for number in 0..killed {
                sim.daemons[number * dcs].running = false;
            }
            let all = |s: &Simulation, standings: &[MemberStanding]| {
                (0..killed).all(|at| s.count_with_standing(at * dcs, standings) == nodes - killed)
            };
            let time = sim.run_until(60 * SECOND, |s| all(s, &[Suspect, Dead]));
            detection_times.push(time.unwrap_or(Duration::MAX));
            let time = sim.run_until(60 * SECOND, |s| all(s, &[Dead]));
            dead = dead.max(time.unwrap_or(Duration::MAX));
        }
        detection_times.sort();
        let median = detection_times[detection_times.len() / 2].as_secs_f64();
        let worst = detection_times[detection_times.len() - 1].as_secs_f64();
        let dead = dead.as_secs_f64();
        println!("{killed:6}  {nodes:3}  {dcs}  {median:4.1}  {worst:4.1}  {dead:4.1}");
    }
}

fn measure_leave() {
    let mut times = Vec::new();
    for seed in 0..SEEDS {
        let mut sim = Simulation::new(270, 9, seed);
        sim.run(20 * SECOND);
        let mut out = Outbox::default();
        sim.daemons[7].node.leave(&mut out);
        sim.perform(7, out);
        let time = sim.run_until(20 * SECOND, |s| s.count_with_standing(7, &[Leaving]) == 269);
        times.push(time.unwrap_or(Duration::MAX));
    }
    times.sort();
    let (median, worst) = (times[times.len() / 2], times[times.len() - 1]);
    println!("leaving known to all of 270 in 9 DCs: median {median:?}, worst {worst:?}");
}

fn measure_false_suspicion() {
    println!("loss  dead  suspect (per million node seconds, none of them failed)");
    for loss in [0.0, 0.02, 0.05, 0.1, 0.2] {
        let (mut dead, mut suspect) = (0, 0);
        for seed in 0..10 {
            let mut sim = Simulation::new(24, 3, seed);
            sim.run(10 * SECOND);
            sim.network = NetworkConditions {
                loss,
                duplication: 0.1,
                max_delay: Duration::from_millis(100),
            };
            for _ in 0..60 {
                sim.run(SECOND);
                dead += (0..24)
                    .map(|at| sim.count_with_standing(at, &[Dead]))
                    .sum::<usize>();
                suspect += (0..24)
                    .map(|at| sim.count_with_standing(at, &[Suspect]))
                    .sum::<usize>();
            }
        }
        let million = |count: usize| count * 1_000_000 / (10 * 24 * 23 * 60);
        println!("{loss:4}  {:4}  {:7}", million(dead), million(suspect));
    }
}
