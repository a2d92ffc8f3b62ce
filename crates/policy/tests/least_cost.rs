//! Routing by least expected cost over all data centres.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use model::{Class, RefusalReason};
use policy::{
    CallOutcome, Candidate, InstanceKey, InstanceStatus, Load, Pick, Router, RouterConfig,
    RoutingStrategy,
};

const MS: Duration = Duration::from_millis(1);
const LIMIT: u32 = 40;

/// Router over one instance in each of four data centres; `caja-0` is in the router's own.
fn router(now: Instant) -> Router {
    let cfg = RouterConfig {
        strategy: RoutingStrategy::LeastCost,
        ..RouterConfig::new("caller".into(), "norte-0".into(), 16)
    };
    let mut router = Router::new(cfg, 1, now);
    let candidates: Vec<Candidate> = (0..4)
        .map(|n| Candidate {
            id: format!("caja-{n}").into(),
            data_centre: format!("norte-{n}").into(),
            status: InstanceStatus::Live,
        })
        .collect();
    router.update(&candidates, now);
    router
}

fn pick(router: &mut Router, exclude: &[InstanceKey], now: Instant) -> InstanceKey {
    match router.pick(Class::Standard, exclude, now) {
        Pick::Chosen(key) => key,
        Pick::Refuse(refusal) => panic!("refused: {refusal:?}"),
    }
}

/// Number of calls per instance when each answer reports the run time in milliseconds and the calls
/// in flight that `report` returns for the instance.
fn shares(
    router: &mut Router,
    now: Instant,
    report: impl Fn(&str) -> (u64, u32),
) -> BTreeMap<String, u32> {
    let mut shares = BTreeMap::new();
    for _ in 0..2_000 {
        let key = pick(router, &[], now);
        let id = router.instance(key).expect("just picked").to_string();
        let (run_ms, in_flight) = report(&id);
        *shares.entry(id).or_default() += 1;
        let load = Load {
            in_flight,
            limit: LIMIT,
            queued: 0,
            queue_delay: Duration::ZERO,
            floor: Class::Bulk,
        };
        router.report_run_time(key, Duration::from_millis(run_ms));
        router.finish(key, CallOutcome::Answered, 30 * MS, Some(load), now);
    }
    shares
}

#[test]
fn the_local_data_centre_is_preferred_while_it_has_free_slots() {
    let now = Instant::now();
    let mut router = router(now);
    let shares = shares(&mut router, now, |_| (30, LIMIT / 4));
    assert!(shares["caja-0"] > 1_900, "{shares:?}");
}

#[test]
fn a_slow_saturated_instance_loses_its_share() {
    let now = Instant::now();
    let mut router = router(now);
    let shares = shares(&mut router, now, |id| match id {
        "caja-0" => (60, LIMIT),
        _ => (25, LIMIT / 2),
    });
    assert!(shares["caja-0"] < 200, "{shares:?}");
    assert!(shares.len() == 4, "all instances get calls: {shares:?}");
}

#[test]
fn an_unresponsive_instance_is_avoided_after_its_callers_gave_up() {
    let start = Instant::now();
    let mut router = router(start);
    let key = pick(&mut router, &[], start);
    router.report_run_time(key, 20 * MS);
    router.finish(key, CallOutcome::Answered, 20 * MS, None, start);
    let first = pick(&mut router, &[], start);
    assert_eq!(first, key, "the local data centre is preferred");
    let given_up = start + 1_000 * MS;
    router.finish(first, CallOutcome::Cancelled, 1_000 * MS, None, given_up);
    assert_ne!(pick(&mut router, &[], given_up), key);
    assert_ne!(pick(&mut router, &[], given_up + 300 * MS), key);
    let much_later = given_up + 6_000 * MS;
    assert_eq!(pick(&mut router, &[], much_later), key, "tried again");
}

#[test]
fn an_early_cancellation_does_not_count_against_the_instance() {
    let start = Instant::now();
    let mut router = router(start);
    let key = pick(&mut router, &[], start);
    router.report_run_time(key, 20 * MS);
    let cancelled = start + 60 * MS;
    router.finish(key, CallOutcome::Cancelled, 60 * MS, None, cancelled);
    assert_eq!(pick(&mut router, &[], cancelled), key);
}

#[test]
fn an_instance_whose_target_refuses_is_avoided_and_tried_again() {
    let start = Instant::now();
    let mut router = router(start);
    for _ in 0..4 {
        let key = pick(&mut router, &[], start);
        assert_eq!(router.instance(key).expect("picked").as_str(), "caja-0");
        router.finish(key, CallOutcome::TargetRefused, MS, None, start);
        if !matches!(router.pick(Class::Standard, &[], start), Pick::Chosen(k) if k == key) {
            break;
        }
    }
    let key = pick(&mut router, &[], start);
    assert_ne!(router.instance(key).expect("picked").as_str(), "caja-0");
    let later = start + 20_000 * MS;
    let key = pick(&mut router, &[], later);
    assert_eq!(router.instance(key).expect("picked").as_str(), "caja-0");
}

#[test]
fn an_unresponsive_instance_gets_no_more_calls() {
    let start = Instant::now();
    let mut router = router(start);
    shares(&mut router, start, |_| (10, 2));
    let unresponsive = pick(&mut router, &[], start);
    let later = start + 400 * MS;
    for _ in 0..20 {
        let key = pick(&mut router, &[], later);
        assert_ne!(key, unresponsive);
        router.finish(key, CallOutcome::Answered, 10 * MS, None, later);
    }
}

#[test]
fn a_leaving_instance_is_tried_again_after_the_ttl() {
    let start = Instant::now();
    let cfg = RouterConfig {
        strategy: RoutingStrategy::LeastCost,
        leaving_ttl: 1_000 * MS,
        ..RouterConfig::new("caller".into(), "norte-0".into(), 16)
    };
    let mut router = Router::new(cfg, 1, start);
    let candidates = [Candidate {
        id: "caja-0".into(),
        data_centre: "norte-0".into(),
        status: InstanceStatus::Live,
    }];
    router.update(&candidates, start);
    let key = pick(&mut router, &[], start);
    let outcome = CallOutcome::NotRun(RefusalReason::Leaving);
    router.finish(key, outcome, MS, None, start);
    assert!(matches!(
        router.pick(Class::Standard, &[], start),
        Pick::Refuse(_)
    ));
    let later = start + 1_100 * MS;
    assert_eq!(pick(&mut router, &[], later), key);
}

/// Guards against a queue at a target that names a rate: between two of its rare answers it would
/// look idle to each caller.
#[test]
fn a_full_instance_that_names_a_rate_is_not_idle_once_its_report_is_old() {
    let start = Instant::now();
    let is_used_after = |names_rate: bool, age: Duration| {
        let mut router = router(start);
        let load = |in_flight| Load {
            in_flight,
            limit: 8,
            queued: in_flight,
            queue_delay: Duration::ZERO,
            floor: Class::Bulk,
        };
        for (id, work) in [("caja-0", 8), ("caja-1", 0), ("caja-2", 0), ("caja-3", 0)] {
            let mut others = Vec::new();
            let key = loop {
                let key = pick(&mut router, &others, start);
                if router
                    .instance(key)
                    .is_some_and(|picked| picked.as_str() == id)
                {
                    break key;
                }
                router.finish(key, CallOutcome::Cancelled, Duration::ZERO, None, start);
                others.push(key);
            };
            router.report_run_time(key, 100 * MS);
            router.report_named_rate(key, names_rate && id == "caja-0");
            router.finish(
                key,
                CallOutcome::Answered,
                100 * MS,
                Some(load(work)),
                start,
            );
        }
        let key = pick(&mut router, &[], start + age);
        router
            .instance(key)
            .is_some_and(|picked| picked.as_str() == "caja-0")
    };
    assert!(is_used_after(false, 600 * MS));
    assert!(!is_used_after(true, 600 * MS));
    assert!(!is_used_after(true, 1_100 * MS));
    // It is tried again after a while.
    assert!(is_used_after(true, 4_000 * MS));
}

/// Guards against an instance that draws calls because it begins each answer at once and ends none.
#[test]
fn an_instance_whose_answers_turn_out_faulty_gets_fewer_calls() {
    let now = Instant::now();
    let mut router = router(now);
    let mut at_faulty = 0;
    for _ in 0..2_000 {
        let key = pick(&mut router, &[], now);
        let is_faulty = router
            .instance(key)
            .is_some_and(|id| id.as_str() == "caja-0");
        let latency = if is_faulty { MS } else { 30 * MS };
        router.report_run_time(key, latency);
        router.finish(key, CallOutcome::Answered, latency, None, now);
        if is_faulty {
            at_faulty += 1;
            router.record_faulty_answer(key, now);
        }
    }
    assert!(
        at_faulty < 100,
        "{at_faulty} of 2,000 calls to the faulty one"
    );
}
