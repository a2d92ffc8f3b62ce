//! Dependencies between routes are inferred from calls that don't name their parent request.

use std::time::Duration;

use policy::RouteDependencies;
use smol_str::SmolStr;

const FULL: Duration = Duration::from_millis(700);

fn name(text: &str) -> SmolStr {
    text.into()
}

/// Records requests of a route, every second of them with shortened time; one in `one_in` of these
/// matches a run of `parent`. Returns whether the last one is classified as a call.
fn record_requests(
    dependencies: &mut RouteDependencies,
    route: &str,
    parent: &str,
    one_in: u32,
) -> bool {
    let mut is_call = false;
    for n in 0..200 {
        let shortened = n % 2 == 1;
        let left = if shortened { FULL / 2 } else { FULL };
        let parent = (shortened && n / 2 % one_in == 0).then(|| name(parent));
        is_call = dependencies
            .classify_request(&name(route), Some(left), parent.as_ref(), Vec::new)
            .is_call;
    }
    is_call
}

#[test]
fn a_route_whose_shortened_requests_match_runs_is_a_call() {
    assert!(record_requests(
        &mut RouteDependencies::default(),
        "peek",
        "index",
        1
    ));
}

#[test]
fn occasional_matches_do_not_make_a_route_a_call() {
    assert!(!record_requests(
        &mut RouteDependencies::default(),
        "invoice",
        "index",
        4
    ));
}

#[test]
fn a_request_with_clearly_less_time_left_is_shortened() {
    let mut dependencies = RouteDependencies::default();
    let route = name("listing");
    assert!(
        !dependencies
            .classify_request(&route, Some(FULL), None, Vec::new)
            .is_shortened
    );
    assert!(
        !dependencies
            .classify_request(&route, Some(Duration::from_millis(699)), None, Vec::new)
            .is_shortened
    );
    assert!(
        dependencies
            .classify_request(&route, Some(FULL / 2), None, Vec::new)
            .is_shortened
    );
}

#[test]
fn runs_depend_on_the_services_of_their_calls() {
    let mut dependencies = RouteDependencies::default();
    for _ in 0..50 {
        dependencies.record_run(&name("index"));
    }
    record_requests(&mut dependencies, "peek", "index", 1);
    record_requests(&mut dependencies, "stray", "index", 4);
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
            .classify_request(&peek, Some(FULL), None, Vec::new)
            .is_call
    );
    for _ in 0..50 {
        dependencies.record_run(&index);
        assert!(
            dependencies
                .classify_request(&peek, Some(FULL), None, || runs.to_vec())
                .is_call
        );
    }
    assert_eq!(dependencies.downstream_of_runs(&index), ["facturas".into()]);
}

#[test]
fn shortened_requests_that_match_no_run_override_the_report() {
    let mut dependencies = RouteDependencies::default();
    let route = name("invoice");
    dependencies.set_reported(&route, ["facturas".into()].into_iter(), true);
    let runs = [name("index")];
    for _ in 0..8 {
        dependencies.classify_request(&route, Some(FULL), None, || runs.to_vec());
        dependencies.classify_request(&route, Some(FULL / 2), None, || runs.to_vec());
    }
    assert!(
        !dependencies
            .classify_request(&route, Some(FULL), None, || runs.to_vec())
            .is_call
    );
}
