//! Where routes lead is learned from calls that name no parent.

use std::time::Duration;

use policy::RouteDependencies;
use smol_str::SmolStr;

const FULL: Duration = Duration::from_millis(700);

fn name(text: &str) -> SmolStr {
    text.into()
}

/// Requests of a route of which every second has less than the full time, and of these every
/// `one_in` lies close to a run of `parent`.
fn learn(dependencies: &mut RouteDependencies, route: &str, parent: &str, one_in: u32) -> bool {
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
fn what_mostly_matches_a_run_is_a_call() {
    assert!(learn(&mut RouteDependencies::default(), "peek", "index", 1));
}

#[test]
fn what_matches_by_chance_is_no_call() {
    assert!(!learn(
        &mut RouteDependencies::default(),
        "invoice",
        "index",
        4
    ));
}

#[test]
fn a_caller_that_has_waited_before_is_told_from_one_that_has_not() {
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
fn runs_lead_to_what_their_calls_lead_to() {
    let mut dependencies = RouteDependencies::default();
    for _ in 0..50 {
        dependencies.record_run(&name("index"));
    }
    learn(&mut dependencies, "peek", "index", 1);
    learn(&mut dependencies, "stray", "index", 4);
    dependencies.set_reported(
        &name("peek"),
        ["facturas".into(), "banco".into()].into_iter(),
        false,
    );
    dependencies.set_reported(&name("stray"), ["galeria".into()].into_iter(), false);
    let led: Vec<String> = dependencies
        .downstream_of_runs(&name("index"))
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(led, ["facturas", "banco"]);
    assert!(dependencies.downstream_of_runs(&name("peek")).is_empty());
}

#[test]
fn routes_that_are_gone_are_forgotten() {
    let mut dependencies = RouteDependencies::default();
    dependencies.set_reported(&name("old"), ["caja".into()].into_iter(), false);
    dependencies.retain(|route| route != "old");
    assert!(dependencies.downstream_services(&name("old")).is_empty());
}

#[test]
fn what_is_told_to_be_called_is_a_call_while_something_runs() {
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
fn callers_that_came_back_outweigh_what_was_told() {
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
