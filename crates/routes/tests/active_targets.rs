//! Which targets are kept, and which removed, when the list changes or is unreachable.

use std::time::{Duration, Instant};

use routes::{ActiveTargets, Target, TargetState, Targets};

const SECOND: Duration = Duration::from_secs(1);

/// A target whose address depends on the first letter of its id.
fn target(id: &str) -> Target {
    let port = 8_300 + u16::from(id.as_bytes()[0]);
    Target {
        id: id.into(),
        service: "caja".into(),
        address: ([10, 1, 0, 8], port).into(),
        data_centre: "norte-a".into(),
        slots: 25,
        state: TargetState::Ready,
        warm_up_left: Duration::ZERO,
        started_ms: 1_000,
        report_count: 1,
        revision: 1,
    }
}

fn list(ids: &[&str]) -> Targets {
    ids.iter().map(|id| target(id)).collect()
}

fn present(active: &ActiveTargets) -> Vec<String> {
    let mut ids: Vec<String> = active.iter().map(|t| t.id.to_string()).collect();
    ids.sort();
    ids
}

#[test]
fn an_unlisted_target_is_removed() {
    let now = Instant::now();
    let mut active = ActiveTargets::default();
    assert!(active.update(&list(&["a", "b"]), now));
    assert!(active.update(&list(&["a"]), now + SECOND));
    assert_eq!(present(&active), ["a"]);
}

#[test]
fn reports_alone_change_nothing() {
    let now = Instant::now();
    let mut active = ActiveTargets::default();
    active.update(&list(&["a"]), now);
    let mut later = target("a");
    later.report_count = 9;
    later.warm_up_left = SECOND;
    assert!(!active.update(&[later.clone()].into_iter().collect(), now));
    later.state = TargetState::Draining;
    assert!(active.update(&[later].into_iter().collect(), now));
}

#[test]
fn a_target_that_expired_in_an_outage_is_kept_for_the_grace_period() {
    let start = Instant::now();
    let mut active = ActiveTargets::default();
    active.update(&list(&["a", "b"]), start);
    active.mark_unreachable();
    active.update(&list(&["a"]), start + 5 * SECOND);
    assert_eq!(
        present(&active),
        ["a", "b"],
        "b may be listed again within the grace period"
    );
    assert!(!active.expire(start + 6 * SECOND));
    assert!(active.expire(start + 8 * SECOND));
    assert_eq!(present(&active), ["a"]);
}

#[test]
fn a_target_listed_again_within_the_grace_period_stays() {
    let start = Instant::now();
    let mut active = ActiveTargets::default();
    active.update(&list(&["a", "b"]), start);
    active.mark_unreachable();
    active.update(&list(&["a"]), start + 5 * SECOND);
    active.update(&list(&["a", "b"]), start + 6 * SECOND);
    assert!(!active.expire(start + 9 * SECOND));
    assert_eq!(present(&active), ["a", "b"]);
}

#[test]
fn a_read_by_another_daemon_ends_an_outage() {
    let start = Instant::now();
    let mut active = ActiveTargets::default();
    active.update(&list(&["a", "b"]), start);
    active.mark_unreachable();
    for second in 1..10 {
        active.mark_reachable(start + second * SECOND);
    }
    assert!(active.update(&list(&["a"]), start + 10 * SECOND));
    assert_eq!(present(&active), ["a"]);
}

#[test]
fn of_several_targets_at_one_address_the_last_to_report_is_kept() {
    let mut targets = vec![target("a"), target("b"), target("c")];
    let restarted = Target {
        id: "a-again".into(),
        revision: 7,
        // Its clock was set back, so the start time must not decide.
        started_ms: 0,
        ..target("a")
    };
    let of_another_service = Target {
        id: "stranger".into(),
        service: "banco".into(),
        revision: 9,
        ..target("b")
    };
    targets.push(of_another_service);
    targets.insert(0, restarted);
    let now = Instant::now();
    let mut active = ActiveTargets::default();
    active.update(&list(&["a", "b", "c"]), now);
    active.mark_unreachable();
    active.update(&targets.into_iter().collect(), now + SECOND);
    let mut ids: Vec<String> = active.snapshot().iter().map(|t| t.id.to_string()).collect();
    ids.sort();
    assert_eq!(ids, ["a-again", "c", "stranger"]);
}

/// Only the daemons that read the list see that it can't be read; the others see the gap.
#[test]
fn a_gap_between_two_reads_counts_as_an_outage() {
    let start = Instant::now();
    let mut active = ActiveTargets::default();
    active.update(&list(&["a", "b"]), start);
    active.update(&list(&["a"]), start + 3 * SECOND);
    assert_eq!(present(&active), ["a", "b"]);
    for second in 4..7 {
        active.mark_reachable(start + second * SECOND);
    }
    assert!(active.expire(start + 6 * SECOND));
    assert_eq!(present(&active), ["a"]);
}

#[test]
fn a_restored_list_brings_back_no_target_that_has_left_or_is_leaving() {
    let start = Instant::now();
    let report = |id: &str, state: TargetState, report_count: u64| Target {
        state,
        report_count,
        ..target(id)
    };
    let ready = |id: &str, count: u64| report(id, TargetState::Ready, count);
    let mut active = ActiveTargets::default();
    let mut second = 0;
    let mut update = |active: &mut ActiveTargets, targets: Vec<Target>| {
        second += 1;
        active.update(&targets.into_iter().collect(), start + second * SECOND);
    };
    let leaving = report("b", TargetState::Draining, 6);
    update(
        &mut active,
        vec![ready("a", 5), ready("b", 5), ready("c", 5)],
    );
    update(&mut active, vec![ready("a", 6), leaving, ready("d", 1)]);
    assert_eq!(present(&active), ["a", "b", "d"], "c has left");

    // The copy is from before the second list.
    active.mark_restored(start + 3 * SECOND);
    let copy = vec![ready("a", 5), ready("b", 5), ready("c", 5)];
    update(&mut active, copy.clone());
    assert_eq!(present(&active), ["a", "b", "d"], "d is written again");
    let state = |active: &ActiveTargets, id: &str| {
        let found = active.iter().find(|target| target.id.as_str() == id);
        found.map(|target| target.state)
    };
    assert_eq!(state(&active, "b"), Some(TargetState::Draining));

    // A target that starts again under its id counts anew.
    let restarted = Target {
        started_ms: 2_000,
        ..ready("c", 1)
    };
    update(&mut active, vec![ready("a", 7), ready("d", 2), restarted]);
    assert!(present(&active).contains(&"c".to_owned()));
    assert_eq!(state(&active, "b"), Some(TargetState::Draining));
}

fn states(active: &ActiveTargets) -> Vec<(String, TargetState)> {
    let snapshot = active.snapshot();
    let mut states: Vec<_> = snapshot
        .iter()
        .map(|target| (target.id.to_string(), target.state))
        .collect();
    states.sort_by(|one, other| one.0.cmp(&other.0));
    states
}

/// Guards against the use of a target that has said that it leaves but is listed as ready.
#[test]
fn a_target_that_said_it_leaves_is_draining_until_it_is_started_again() {
    let now = Instant::now();
    let mut active = ActiveTargets::default();
    active.update(&list(&["a", "b"]), now);
    assert!(active.mark_leaving(&target("a"), now));
    assert!(!active.mark_leaving(&target("a"), now));
    let draining = [
        ("a".to_owned(), TargetState::Draining),
        ("b".to_owned(), TargetState::Ready),
    ];
    assert_eq!(states(&active), draining);
    // Neither a later report nor its return after an outage changes that.
    active.update(&list(&["b"]), now + SECOND);
    active.update(&list(&["a", "b"]), now + 2 * SECOND);
    assert_eq!(states(&active), draining);
    let mut restarted = target("a");
    restarted.started_ms = 2_000;
    let later = [restarted, target("b")].into_iter().collect();
    assert!(active.update(&later, now + 3 * SECOND));
    assert_eq!(states(&active)[0].1, TargetState::Ready);
}

#[test]
fn a_target_that_reports_no_start_is_started_again_when_its_count_begins_anew() {
    let now = Instant::now();
    let target = |count| {
        let mut target = target("a");
        (target.started_ms, target.report_count) = (0, count);
        target
    };
    let reported = |count| [target(count)].into_iter().collect::<Targets>();
    let mut active = ActiveTargets::default();
    active.update(&reported(7), now);
    active.mark_leaving(&target(7), now);
    active.update(&reported(8), now + SECOND);
    assert_eq!(states(&active)[0].1, TargetState::Draining);
    active.update(&reported(1), now + 2 * SECOND);
    assert_eq!(states(&active)[0].1, TargetState::Ready);
}

#[test]
fn an_answer_of_an_earlier_start_says_nothing_about_a_target() {
    let now = Instant::now();
    let mut active = ActiveTargets::default();
    active.update(&list(&["a"]), now);
    let mut earlier = target("a");
    earlier.started_ms = 999;
    assert!(!active.mark_leaving(&earlier, now));
    assert_eq!(states(&active)[0].1, TargetState::Ready);
}

#[test]
fn a_target_that_said_it_leaves_while_unlisted_is_draining_when_it_returns() {
    let now = Instant::now();
    let mut active = ActiveTargets::default();
    active.update(&list(&["a", "b"]), now);
    active.update(&list(&["b"]), now + SECOND);
    active.mark_leaving(&target("a"), now + SECOND);
    active.update(&list(&["a", "b"]), now + 2 * SECOND);
    assert_eq!(states(&active)[0].1, TargetState::Draining);
}

/// Guards against missing that a target is leaving, as an entry of another writer at its address makes
/// two lists look the same to other daemons.
#[test]
fn the_digest_covers_a_target_whose_address_another_entry_bears() {
    let odd = Target {
        id: "odd".into(),
        service: "unknown".into(),
        revision: 9,
        ..target("a")
    };
    let leaving = Target {
        state: TargetState::Draining,
        ..target("a")
    };
    let before: Targets = [target("a"), odd.clone()].into_iter().collect();
    let after: Targets = [leaving, odd].into_iter().collect();
    assert_ne!(before.digest(), after.digest());
}
