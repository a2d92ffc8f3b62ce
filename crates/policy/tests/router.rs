//! Routing with local preference: leaving instances are never picked, a usable one always is, and
//! the load is spread over instances and data centres.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use model::{Class, RefusalReason};
use policy::{
    CallOutcome, Candidate, InstanceKey, InstanceStatus, Load, Pick, Router, RouterConfig,
};
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

/// Number of calls per data centre when each answer carries the load that `report` returns for it.
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
        router.finish(key, CallOutcome::Answered, LATENCY, load, now);
    }
    shares
}

#[test]
fn the_local_data_centre_is_preferred() {
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
fn a_call_that_all_instances_shed_is_refused_locally() {
    let now = Instant::now();
    let mut router = Router::new(cfg(8), 1, now);
    router.update(&four_data_centres(1), now);
    for _ in 0..200 {
        let Pick::Chosen(key) = router.pick(Class::Critical, &[], now) else {
            panic!("a critical call is refused");
        };
        let load = load(20, 20, Class::Standard);
        router.finish(key, CallOutcome::Answered, LATENCY, Some(load), now);
    }
    let Pick::Refuse(refusal) = router.pick(Class::Browse, &[], now) else {
        panic!("a browse call is not refused");
    };
    assert_eq!(refusal.reason, RefusalReason::Overloaded);
    let later = now + Duration::from_secs(1);
    let probe = router.pick(Class::Browse, &[], later);
    assert!(
        matches!(probe, Pick::Chosen(_)),
        "an outdated report is ignored"
    );
}

#[test]
fn an_instance_that_reports_to_be_leaving_gets_no_more_calls() {
    let now = Instant::now();
    let mut router = Router::new(cfg(8), 1, now);
    let view = four_data_centres(2);
    router.update(&view, now);
    let leaving = chosen(router.pick(Class::Standard, &[], now));
    let outcome = CallOutcome::NotRun(RefusalReason::Leaving);
    router.finish(leaving, outcome, LATENCY, None, now);
    router.update(&view, now);
    for _ in 0..100 {
        let key = chosen(router.pick(Class::Standard, &[], now));
        assert_ne!(key, leaving, "a lagging view must not bring it back");
    }
}

#[test]
fn a_failing_instance_is_ejected_and_ramps_up_afterwards() {
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
            let outcome = if bad && at_ms < 1_000 {
                CallOutcome::Unknown
            } else {
                CallOutcome::Answered
            };
            router.finish(key, outcome, LATENCY, None, now);
        }
        calls.push((at_ms, count));
    }
    insta::assert_snapshot!(format!("{calls:?}"), @"[(0, 5), (500, 0), (1200, 25), (3500, 125), (7000, 229)]");
}

#[test]
fn only_failures_of_the_instance_itself_eject_it() {
    let now = Instant::now();
    let outcomes = [
        ("unknown outcome", CallOutcome::Unknown),
        ("timed out", CallOutcome::TimedOut),
        ("cancelled", CallOutcome::Cancelled),
        ("shed", CallOutcome::NotRun(RefusalReason::Overloaded)),
    ];
    let results = outcomes.map(|(name, outcome)| {
        let mut router = Router::new(cfg(8), 1, now);
        let view = [0, 1].map(|id| candidate(id, "norte-a", InstanceStatus::Live));
        router.update(&view, now);
        for _ in 0..200 {
            let key = chosen(router.pick(Class::Standard, &[], now));
            let bad = router.instance(key).expect("just picked").as_str() == "caja-0";
            let outcome = if bad { outcome } else { CallOutcome::Answered };
            router.finish(key, outcome, LATENCY, None, now);
        }
        let later = (0..200).filter(|_| {
            let key = chosen(router.pick(Class::Standard, &[], now));
            router.finish(key, CallOutcome::Answered, LATENCY, None, now);
            router
                .instance(key)
                .is_some_and(|id| id.as_str() == "caja-0")
        });
        format!(
            "{name}: {}",
            if later.count() == 0 {
                "ejected"
            } else {
                "used"
            }
        )
    });
    insta::assert_snapshot!(results.join("\n"), @r"
    unknown outcome: ejected
    timed out: ejected
    cancelled: used
    shed: used
    ");
}

#[test]
fn at_most_half_of_the_instances_are_ejected() {
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
            router.finish(key, CallOutcome::Unknown, LATENCY, None, now);
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
        outcomes in prop::collection::vec(0_usize..4, 1..200),
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
        for outcome in outcomes {
            now += Duration::from_millis(20);
            let Pick::Chosen(key) = router.pick(Class::Critical, &[], now) else {
                prop_assert!(!usable, "a usable instance was not picked");
                continue;
            };
            let id = router.instance(key).expect("just picked").clone();
            let picked = view.iter().find(|candidate| candidate.id == id).expect("in the view");
            prop_assert_ne!(picked.status, InstanceStatus::Leaving);
            prop_assert!(!live || picked.status == InstanceStatus::Live);
            let outcome = [
                CallOutcome::Unknown,
                CallOutcome::TimedOut,
                CallOutcome::Cancelled,
                CallOutcome::Answered,
            ][outcome];
            router.finish(key, outcome, LATENCY, None, now);
        }
    }
}
