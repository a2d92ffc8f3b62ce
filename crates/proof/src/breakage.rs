//! Seeded faults on all that a rig is made of: links, daemons and targets.

use std::time::Duration;

use derive_more::Display;
use rand::Rng;
use rand::rngs::SmallRng;
use standin::{Direction, Faults, Target};

use crate::node::Link;
use crate::process::Signal;
use crate::rig::Rig;

/// Links that faults are set on; nodes must be started with a proxy on each.
pub const LINKS: [Link; 3] = [Link::Callers, Link::Mesh, Link::Target];

/// Greatest time between two faults of a schedule, in milliseconds.
const MAX_GAP_MS: u64 = 40;
/// Greatest time that the last fault stays.
const MAX_STAY_MS: u64 = 120;
/// Bytes after which a link breaks: within the head, within the body, after it.
const MAX_TRUNCATE_BYTES: u64 = 2_000;

/// What goes wrong with one instance.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Breakage {
    /// The connections of a link are reset.
    #[display("cut")]
    Cut,
    /// Bytes vanish in one direction of a link, or in both.
    #[display("black hole")]
    BlackHole,
    /// A link breaks after some bytes.
    #[display("truncation")]
    Truncate,
    /// Nothing moves on a link until it is healed.
    #[display("freeze")]
    Freeze,
    /// A link takes no connections, and the open ones are reset: its far end is gone.
    #[display("refusal")]
    Refuse,
    /// Another instance answers at the mesh address.
    #[display("swap")]
    Swap,
    /// The daemon is killed.
    #[display("kill")]
    Kill,
    /// The daemon is stopped and goes on later.
    #[display("pause")]
    Pause,
    /// The daemon is told to stop.
    #[display("stop")]
    Leave,
    /// The target ends at once, and another takes its place.
    #[display("target killed")]
    KillTarget,
}

/// Faults of every kind.
pub const EVERYTHING: [Breakage; 10] = [
    Breakage::Cut,
    Breakage::BlackHole,
    Breakage::Truncate,
    Breakage::Freeze,
    Breakage::Refuse,
    Breakage::Swap,
    Breakage::Kill,
    Breakage::Pause,
    Breakage::Leave,
    Breakage::KillTarget,
];

/// Breaks a rig in a few places, one after another; returns the daemons that end by it.
pub async fn break_rig(rig: &mut Rig, kinds: &[Breakage], rng: &mut SmallRng) -> Vec<String> {
    let mut ending = Vec::new();
    for _ in 0..rng.random_range(1..=3) {
        wait(rng, MAX_GAP_MS).await;
        let node = rng.random_range(0..rig.nodes().len());
        let kind = kinds[rng.random_range(0..kinds.len())];
        if matches!(kind, Breakage::Kill | Breakage::Leave) {
            ending.push(rig.nodes()[node].spec.id().to_owned());
        }
        break_node(rig, node, kind, rng).await;
    }
    wait(rng, MAX_STAY_MS).await;
    ending
}

async fn break_node(rig: &mut Rig, position: usize, kind: Breakage, rng: &mut SmallRng) {
    let id = rig.nodes()[position].spec.id().to_owned();
    let link = LINKS[rng.random_range(0..LINKS.len())];
    let proxy = rig.proxy(&id, link);
    let mut faults = Faults::default();
    match kind {
        Breakage::Cut => return proxy.reset_connections(),
        Breakage::Refuse => {
            proxy.set_refusing(true);
            return proxy.reset_connections();
        }
        Breakage::Swap => {
            let other = (position + 1) % rig.nodes().len();
            let mesh = rig.nodes()[other].daemon.bound().mesh;
            let proxy = rig.proxy(&id, Link::Mesh);
            proxy.set_upstream(mesh);
            return proxy.reset_connections();
        }
        Breakage::Kill => return signal(rig, &id, Signal::Kill).await,
        Breakage::Pause => return signal(rig, &id, Signal::Stop).await,
        Breakage::Leave => return signal(rig, &id, Signal::Terminate).await,
        Breakage::KillTarget => return replace_target(rig, &id).await,
        Breakage::BlackHole => faults.black_hole = true,
        Breakage::Truncate => {
            faults.truncate_after = Some(rng.random_range(0..MAX_TRUNCATE_BYTES));
        }
        Breakage::Freeze => faults.frozen = true,
    }
    match rng.random_range(0..3) {
        0 => proxy.set(Direction::Request, faults),
        1 => proxy.set(Direction::Response, faults),
        _ => proxy.set_both(faults),
    }
}

async fn replace_target(rig: &mut Rig, id: &str) {
    let ledger = rig.ledger.clone();
    let node = rig.node_mut(id);
    let target = Target::start(node.spec.target.clone(), ledger).await;
    node.target = target.expect("a target that starts");
    node.target.set_egress(node.daemon.bound().local);
    let address = node.target.address();
    let proxy = rig.proxy(id, Link::Target);
    proxy.set_upstream(address);
    proxy.reset_connections();
}

async fn signal(rig: &mut Rig, id: &str, signal: Signal) {
    let daemon = &mut rig.node_mut(id).daemon;
    if daemon.is_running() {
        daemon.signal(signal).await;
    }
}

/// Ends every fault, and starts the daemons anew that end by them.
///
/// # Panics
///
/// If a daemon does not start.
pub async fn mend(rig: &mut Rig, ending: &[String]) {
    let ids: Vec<String> = rig.nodes().iter().map(|n| n.spec.id().to_owned()).collect();
    for id in &ids {
        let bound = rig.node(id).daemon.bound();
        rig.proxy(id, Link::Mesh).set_upstream(bound.mesh);
        for link in LINKS {
            rig.proxy(id, link).heal();
        }
        signal(rig, id, Signal::Continue).await;
    }
    for id in &ids {
        if ending.contains(id) {
            signal(rig, id, Signal::Kill).await;
            let restarted = rig.restart(id).await;
            restarted.expect("a daemon that starts");
        }
    }
    for id in &ids {
        rig.until_ready(id).await;
    }
}

async fn wait(rng: &mut SmallRng, most_ms: u64) {
    tokio::time::sleep(Duration::from_millis(rng.random_range(0..most_ms))).await;
}
