//! The double run that each weighed alternative allows, step by step.

use std::collections::HashSet;
use std::time::Instant;

use model::{Incarnation, InstanceId};
use ticket::{KeyHash, OperationHash, RedeemDecision, Secret, TicketWindow, WindowConfig, owner};

/// A daemon that runs a key once, on the sole ground that it owns the key.
#[derive(Default)]
struct KeyOwner {
    ran: HashSet<KeyHash>,
}

impl KeyOwner {
    fn receive(&mut self, own: &InstanceId, view: &[InstanceId], key: KeyHash) -> bool {
        owner(key, view) == Some(own) && self.ran.insert(key)
    }
}

fn ids<const N: usize>(names: [&str; N]) -> [InstanceId; N] {
    names.map(InstanceId::from)
}

/// Finds a key whose owner among all is `name`.
fn key_owned_by(name: &InstanceId, all: &[InstanceId]) -> KeyHash {
    (0..1000)
        .map(|n: u32| KeyHash::of(&n.to_string()))
        .find(|key| owner(*key, all) == Some(name))
        .expect("each instance owns some key")
}

#[test]
fn key_hash_ownership_runs_twice_under_two_views() {
    let all = ids(["caja-a1", "caja-b1"]);
    let cut_off = &all[1..];
    let key = key_owned_by(&all[0], &all);
    let (mut first, mut second) = (KeyOwner::default(), KeyOwner::default());

    // The first send runs and its answer is lost; then the data centres are cut.
    let mut runs = u32::from(first.receive(&all[0], &all, key));
    // The caller repeats at the far side, whose view has lost the owner.
    runs += u32::from(second.receive(&all[1], cut_off, key));
    assert_eq!(runs, 2);
}

#[test]
fn data_centre_prefix_runs_twice_after_a_replacement() {
    // The key names the data centre that owns it, so a far one never runs it.
    let before = ids(["caja-a1", "caja-a2"]);
    let after = ids(["caja-a2", "caja-a3"]);
    let key = key_owned_by(&before[0], &before);
    let owner_after = owner(key, &after).expect("two instances are left");
    let (mut replaced, mut successor) = (KeyOwner::default(), KeyOwner::default());

    // The owner runs the call, loses the answer and is replaced.
    let mut runs = u32::from(replaced.receive(&before[0], &before, key));
    // The repeat stays in its data centre, where the key has a new owner.
    runs += u32::from(successor.receive(owner_after, &after, key));
    assert_eq!(runs, 2);
}

#[test]
fn a_ticket_runs_once_in_both_histories() {
    let (operation, key, now) = (
        OperationHash::of("caja", "charge"),
        KeyHash::of("k"),
        Instant::now(),
    );
    // The last window is the first one's instance after its replacement.
    let incarnations = [("caja-a1", 1), ("caja-b1", 2), ("caja-a1", 3)];
    let mut windows = incarnations.map(|(name, incarnation)| {
        TicketWindow::new(
            InstanceId::from(name),
            Incarnation::from(incarnation),
            Secret::new([1; 16]),
            WindowConfig::default(),
        )
    });
    let ticket = windows[0].issue(operation, key, now);
    let outcomes = windows
        .each_mut()
        .map(|window| window.redeem(&ticket, operation, key, now));
    assert!(matches!(
        outcomes,
        [
            RedeemDecision::Run(_),
            RedeemDecision::Foreign,
            RedeemDecision::Superseded
        ]
    ));
}
