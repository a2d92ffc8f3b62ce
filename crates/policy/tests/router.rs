//! The router: never a leaving instance, always a usable one, fair shares.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use model::{Class, RefusalReason};
use policy::{CallEnd, Candidate, InstanceKey, InstanceStatus, Load, Pick, Router, RouterConfig};
use proptest::prelude::*;

const LATENCY: Duration = Duration::from_millis(10);

fn cfg(subset: usize) -> RouterConfig {
    RouterConfig::new("caller-1".into(), "norte-a".into(), subset)
}

fn candidate(id: usize, data_centre: &str, status: InstanceStatus) -> Candidate {
    Candidate {
        id: format!("caja-{id}").into(),
        data_centre: data_centre.into(),
        status,
    }
}

fn four_data_centres(per_data_centre: usize) -> Vec<Candidate> {
    let names = ["norte-a", "norte-b", "norte-c", "norte-d"];
    (0..4 * per_data_centre)
        .map(|id| candidate(id, names[id % 4], InstanceStatus::Live))
        .collect()
}

fn load(in_flight: u32, limit: u32, floor: Class) -> Load {
    Load {
        in_flight,
        limit,
        queued: 0,
        queue_delay: Duration::ZERO,
        floor,
    }
}

fn chosen(pick: Pick) -> InstanceKey {
    match pick {
        Pick::Chosen(key) => key,
        Pick::Refuse(refusal) => panic!("refused: {refusal:?}"),
    }
}

/// Calls by data centre when each answer carries the load that `report` gives.
fn shares(
    router: &mut Router,
    now: Instant,
    report: impl Fn(&str) -> Option<Load>,
) -> BTreeMap<String, u32> {
    let mut shares = BTreeMap::new();
    for _ in 0..4_000 {
        let key = chosen(router.pick(Class::Standard, &[], now));
        let data_centre = router.data_centre(key).expect("just picked").to_string();
        let load = report(&data_centre);
        *shares.entry(data_centre).or_default() += 1;
        router.finish(key, CallEnd::Answered, LATENCY, load, now);
    }
    shares
}

#[test]
fn the_own_data_centre_comes_first() {
    let now = Instant::now();
    let mut router = Router::new(cfg(8), 1, now);
    router.update(&four_data_centres(4), now);
    let shares = shares(&mut router, now, |_| Some(load(10, 20, Class::Bulk)));
    insta::assert_debug_snapshot!(shares, @r#"
    {
        "norte-a": 4000,
    }
    "#);
}

#[test]
fn a_full_data_centre_spills_over_to_free_slots() {
    let now = Instant::now();
    let mut router = Router::new(cfg(16), 1, now);
    router.update(&four_data_centres(4), now);
    let shares = shares(&mut router, now, |data_centre| {
        let in_flight = match data_centre {
            "norte-b" => 10,
            "norte-c" => 0,
            _ => 20,
        };
        Some(load(in_flight, 20, Class::Bulk))
    });
    insta::assert_snapshot!(format!("{shares:?}"), @r#"{"norte-a": 1642, "norte-b": 735, "norte-c": 1619, "norte-d": 4}"#);
}

#[test]
fn an_edge_refuses_what_all_instances_shed() {
    let now = Instant::now();
    let mut router = Router::new(cfg(8), 1, now);
    router.update(&four_data_centres(1), now);
    for _ in 0..200 {
        let Pick::Chosen(key) = router.pick(Class::Critical, &[], now) else {
            panic!("important work is passed on");
        };
        let load = load(20, 20, Class::Standard);
        router.finish(key, CallEnd::Answered, LATENCY, Some(load), now);
    }
    let Pick::Refuse(refusal) = router.pick(Class::Browse, &[], now) else {
        panic!("browsing is refused at the edge");
    };
    assert_eq!(refusal.reason, RefusalReason::Overloaded);
    let later = now + Duration::from_secs(1);
    let probe = router.pick(Class::Browse, &[], later);
    assert!(matches!(probe, Pick::Chosen(_)), "an old report is tried");
}

#[test]
fn an_instance_that_says_it_leaves_gets_nothing_more() {
    let now = Instant::now();
    let mut router = Router::new(cfg(8), 1, now);
    let view = four_data_centres(2);
    router.update(&view, now);
    let left = chosen(router.pick(Class::Standard, &[], now));
    let end = CallEnd::NotRun(RefusalReason::Leaving);
    router.finish(left, end, LATENCY, None, now);
    router.update(&view, now);
    for _ in 0..100 {
        let key = chosen(router.pick(Class::Standard, &[], now));
        assert_ne!(key, left, "a lagging view must not bring it back");
    }
}

#[test]
fn a_failing_instance_is_left_alone_and_ramps_on_return() {
    let now = Instant::now();
    let mut router = Router::new(cfg(8), 1, now);
    let view: Vec<Candidate> = (0..4)
        .map(|id| candidate(id, "norte-a", InstanceStatus::Live))
        .collect();
    router.update(&view, now);
    let mut calls = Vec::new();
    for at_ms in [0, 500, 1_200, 3_500, 7_000] {
        let now = now + Duration::from_millis(at_ms);
        let mut count = 0;
        for _ in 0..1_000 {
            let key = chosen(router.pick(Class::Standard, &[], now));
            let bad = router.instance(key).expect("just picked").as_str() == "caja-0";
            count += u32::from(bad);
            let end = if bad && at_ms < 1_000 {
                CallEnd::Unknown
            } else {
                CallEnd::Answered
            };
            router.finish(key, end, LATENCY, None, now);
        }
        calls.push((at_ms, count));
    }
    insta::assert_snapshot!(format!("{calls:?}"), @"[(0, 5), (500, 0), (1200, 25), (3500, 125), (7000, 229)]");
}

#[test]
fn only_what_an_instance_is_to_blame_for_counts_against_it() {
    let now = Instant::now();
    let ways = [
        ("broken", CallEnd::Unknown),
        ("late", CallEnd::Late),
        ("caller left", CallEnd::Cancelled),
        ("shed", CallEnd::NotRun(RefusalReason::Overloaded)),
    ];
    let told = ways.map(|(name, end)| {
        let mut router = Router::new(cfg(8), 1, now);
        let view = [0, 1].map(|id| candidate(id, "norte-a", InstanceStatus::Live));
        router.update(&view, now);
        for _ in 0..200 {
            let key = chosen(router.pick(Class::Standard, &[], now));
            let bad = router.instance(key).expect("just picked").as_str() == "caja-0";
            let end = if bad { end } else { CallEnd::Answered };
            router.finish(key, end, LATENCY, None, now);
        }
        let later = (0..200).filter(|_| {
            let key = chosen(router.pick(Class::Standard, &[], now));
            router.finish(key, CallEnd::Answered, LATENCY, None, now);
            router
                .instance(key)
                .is_some_and(|id| id.as_str() == "caja-0")
        });
        format!(
            "{name}: {}",
            if later.count() == 0 {
                "left alone"
            } else {
                "used"
            }
        )
    });
    insta::assert_snapshot!(told.join("\n"), @r"
    broken: left alone
    late: left alone
    caller left: used
    shed: used
    ");
}

#[test]
fn a_view_from_which_everything_fails_ejects_at_most_half() {
    let now = Instant::now();
    let mut router = Router::new(cfg(8), 1, now);
    let view: Vec<Candidate> = (0..6)
        .map(|id| candidate(id, "norte-a", InstanceStatus::Live))
        .collect();
    router.update(&view, now);
    let mut fail = |count| -> BTreeMap<InstanceKey, u32> {
        let mut calls = BTreeMap::new();
        for _ in 0..count {
            let key = chosen(router.pick(Class::Standard, &[], now));
            router.finish(key, CallEnd::Unknown, LATENCY, None, now);
            *calls.entry(key).or_default() += 1;
        }
        calls
    };
    fail(1_000);
    assert_eq!(fail(1_000).len(), 3);
}

proptest! {
    #[test]
    fn only_usable_instances_are_picked(
        seed in any::<u64>(),
        statuses in prop::collection::vec((0_usize..3, 0_usize..3), 0..30),
        ends in prop::collection::vec(0_usize..4, 1..200),
        subset in 1_usize..10,
    ) {
        const STATUSES: [InstanceStatus; 3] = [InstanceStatus::Live, InstanceStatus::Suspect, InstanceStatus::Leaving];
        const NAMES: [&str; 3] = ["norte-a", "norte-b", "norte-c"];
        let mut now = Instant::now();
        let mut router = Router::new(cfg(subset), seed, now);
        let view: Vec<Candidate> = statuses
            .iter()
            .enumerate()
            .map(|(id, &(status, data_centre))| candidate(id, NAMES[data_centre], STATUSES[status]))
            .collect();
        router.update(&view, now);
        let usable = view.iter().any(|candidate| candidate.status != InstanceStatus::Leaving);
        let live = view.iter().any(|candidate| candidate.status == InstanceStatus::Live);
        for end in ends {
            now += Duration::from_millis(20);
            let Pick::Chosen(key) = router.pick(Class::Critical, &[], now) else {
                prop_assert!(!usable, "a usable instance was not picked");
                continue;
            };
            let id = router.instance(key).expect("just picked").clone();
            let picked = view.iter().find(|candidate| candidate.id == id).expect("in the view");
            prop_assert_ne!(picked.status, InstanceStatus::Leaving);
            prop_assert!(!live || picked.status == InstanceStatus::Live);
            let end = [CallEnd::Unknown, CallEnd::Late, CallEnd::Cancelled, CallEnd::Answered][end];
            router.finish(key, end, LATENCY, None, now);
        }
    }
}
