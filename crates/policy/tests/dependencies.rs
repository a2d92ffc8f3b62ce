//! Dependencies between routes are inferred from calls that don't name their parent request.

use std::time::Duration;

use policy::{MatchedRun, RouteDependencies};
use smol_str::SmolStr;

const FULL: Duration = Duration::from_millis(700);

fn name(text: &str) -> SmolStr {
    text.into()
}

fn matching(route: &str, by_chance: f64) -> MatchedRun {
    MatchedRun {
        route: Some(name(route)),
        by_chance,
    }
}

fn unmatched(by_chance: f64) -> MatchedRun {
    MatchedRun {
        route: None,
        by_chance,
    }
}

/// Records requests of a route with times left that differ by a seventh; one in `one_in` matches a
/// run of `parent`, of which `by_chance` is the probability by chance. Returns whether the last one is
/// classified as a call.
fn record_requests(
    dependencies: &mut RouteDependencies,
    route: &str,
    parent: &str,
    one_in: u32,
    by_chance: f64,
) -> bool {
    let mut is_call = false;
    for n in 0..200 {
        let left = FULL * (70 - n % 10) / 70;
        let matched = if n % one_in == 0 {
            matching(parent, by_chance)
        } else {
            unmatched(by_chance)
        };
        is_call = dependencies
            .classify_request(&name(route), Some(left), &matched, Vec::new)
            .is_call;
    }
    is_call
}

#[test]
fn a_route_whose_requests_match_runs_is_a_call() {
    let mut dependencies = RouteDependencies::default();
    assert!(record_requests(&mut dependencies, "peek", "index", 1, 0.1));
    // Half of the calls expire by themselves before their run.
    assert!(record_requests(&mut dependencies, "read", "index", 2, 0.1));
}

#[test]
fn occasional_matches_do_not_make_a_route_a_call() {
    let mut dependencies = RouteDependencies::default();
    assert!(!record_requests(
        &mut dependencies,
        "invoice",
        "index",
        8,
        0.01
    ));
}

#[test]
fn matches_by_chance_among_many_runs_do_not_make_a_route_a_call() {
    let mut dependencies = RouteDependencies::default();
    assert!(!record_requests(
        &mut dependencies,
        "invoice",
        "index",
        2,
        0.5
    ));
}

#[test]
fn a_request_with_clearly_less_time_left_is_shortened() {
    let mut dependencies = RouteDependencies::default();
    let route = name("listing");
    for (left, is_shortened) in [
        (FULL, false),
        (FULL * 6 / 7, false),
        (FULL / 2, true),
        (FULL * 9 / 10, false),
    ] {
        let kind =
            dependencies.classify_request(&route, Some(left), &MatchedRun::default(), Vec::new);
        assert_eq!(kind.is_shortened, is_shortened, "{left:?}");
    }
}

#[test]
fn runs_depend_on_the_services_of_their_calls() {
    let mut dependencies = RouteDependencies::default();
    for _ in 0..50 {
        dependencies.record_run(&name("index"));
    }
    record_requests(&mut dependencies, "peek", "index", 1, 0.0);
    record_requests(&mut dependencies, "stray", "index", 8, 0.0);
    dependencies.set_reported(
        &name("peek"),
        ["facturas".into(), "banco".into()].into_iter(),
        false,
    );
    dependencies.set_reported(&name("stray"), ["galeria".into()].into_iter(), false);
    let services: Vec<String> = dependencies
        .downstream_of_runs(&name("index"))
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(services, ["facturas", "banco"]);
    assert!(dependencies.downstream_of_runs(&name("peek")).is_empty());
}

#[test]
fn removed_routes_are_forgotten() {
    let mut dependencies = RouteDependencies::default();
    dependencies.set_reported(&name("old"), ["caja".into()].into_iter(), false);
    dependencies.retain(|route| route != "old");
    assert!(dependencies.downstream_services(&name("old")).is_empty());
}

#[test]
fn a_route_reported_as_called_is_a_call_only_while_a_run_may_have_made_it() {
    let mut dependencies = RouteDependencies::default();
    let (peek, index) = (name("peek"), name("index"));
    dependencies.set_reported(&peek, ["facturas".into()].into_iter(), true);
    let runs = [index.clone()];
    assert!(
        !dependencies
            .classify_request(&peek, Some(FULL), &MatchedRun::default(), Vec::new)
            .is_call
    );
    for _ in 0..50 {
        dependencies.record_run(&index);
        assert!(
            dependencies
                .classify_request(&peek, Some(FULL), &MatchedRun::default(), || runs.to_vec())
                .is_call
        );
    }
    assert_eq!(dependencies.downstream_of_runs(&index), ["facturas".into()]);
}

/// Pattern: calls that expire by themselves, with times that differ, of runs that expire later.
#[test]
fn calls_with_their_own_differing_deadlines_stay_calls() {
    let mut dependencies = RouteDependencies::default();
    let route = name("ledger");
    dependencies.set_reported(&route, ["returns".into()].into_iter(), true);
    let runs = [name("index")];
    for n in 0..300 {
        let left = FULL * (70 - n % 10) / 70;
        let kind =
            dependencies.classify_request(&route, Some(left), &unmatched(0.05), || runs.to_vec());
        assert!(kind.is_call, "request {n}");
    }
}

#[test]
fn requests_that_no_run_can_have_made_override_the_report() {
    let mut dependencies = RouteDependencies::default();
    let route = name("invoice");
    dependencies.set_reported(&route, ["facturas".into()].into_iter(), true);
    let runs = [name("index")];
    let mut classify = |parents: &[SmolStr]| {
        dependencies
            .classify_request(&route, Some(FULL), &MatchedRun::default(), || {
                parents.to_vec()
            })
            .is_call
    };
    for _ in 0..8 {
        classify(&runs);
        assert!(!classify(&[]));
    }
    assert!(!classify(&runs));
}
