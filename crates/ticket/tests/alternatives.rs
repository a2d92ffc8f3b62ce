//! Double execution under the two alternatives to tickets, and its absence with tickets.
//!
//! If the owner of a key may run its call, the call runs twice as soon as two daemons see different
//! owners: because their lists of instances differ, or because the owner was replaced.

use std::collections::HashSet;
use std::time::Instant;

use model::{Incarnation, InstanceId};
use ticket::{KeyHash, OperationHash, RedeemDecision, Secret, TicketWindow, WindowConfig, owner};

/// A daemon that runs the call of a key once if it owns the key, without tickets.
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

/// Finds a key whose owner among `all` is `name`.
fn key_owned_by(name: &InstanceId, all: &[InstanceId]) -> KeyHash {
    (0..1000)
        .map(|n: u32| KeyHash::of(&n.to_string()))
        .find(|key| owner(*key, all) == Some(name))
        .expect("each instance owns one of 1000 keys")
}

#[test]
fn ownership_by_key_hash_runs_twice_with_different_lists() {
    let all = ids(["caja-a1", "caja-b1"]);
    let cut_off = &all[1..];
    let key = key_owned_by(&all[0], &all);
    let (mut first, mut second) = (KeyOwner::default(), KeyOwner::default());

    // The first send runs and its answer is lost. Then the link between the data centres fails.
    let mut runs = u32::from(first.receive(&all[0], &all, key));
    // The caller repeats the call in the other data centre, whose list lacks the owner.
    runs += u32::from(second.receive(&all[1], cut_off, key));
    assert_eq!(runs, 2);
}

#[test]
fn ownership_within_a_data_centre_runs_twice_after_a_replacement() {
    // The key names its data centre, so no other data centre runs it.
    let before = ids(["caja-a1", "caja-a2"]);
    let after = ids(["caja-a2", "caja-a3"]);
    let key = key_owned_by(&before[0], &before);
    let owner_after = owner(key, &after).expect("there are two instances");
    let (mut replaced, mut successor) = (KeyOwner::default(), KeyOwner::default());

    // The owner runs the call, its answer is lost, and the owner is replaced.
    let mut runs = u32::from(replaced.receive(&before[0], &before, key));
    // The repeated call stays in its data centre, where the key has a new owner.
    runs += u32::from(successor.receive(owner_after, &after, key));
    assert_eq!(runs, 2);
}

#[test]
fn a_ticket_runs_once_in_both_cases() {
    let (operation, key, now) = (
        OperationHash::of("caja", "charge"),
        KeyHash::of("k"),
        Instant::now(),
    );
    // The third window is a later incarnation of the first instance.
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
