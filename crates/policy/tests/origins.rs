//! Which routes targets call is learned from where requests come from.

use policy::{DaemonCounts, Location, RouteOrigins};
use smol_str::SmolStr;

const SERVICES: [&str; 4] = ["fleet", "reservas", "rutas", "caja"];

fn location(data_centre: usize, service: &str) -> Location {
    Location {
        data_centre: format!("norte-{data_centre}").into(),
        service: service.into(),
    }
}

/// One daemon of each service in each of four data centres.
fn daemons() -> DaemonCounts {
    (0..4)
        .flat_map(|dc| SERVICES.map(|service| location(dc, service)))
        .collect()
}

/// Tells whether a route counts as called when its requests come in turn from these.
fn called(from: &[Location], requests: usize) -> bool {
    let daemons = daemons();
    let mut origins = RouteOrigins::default();
    let route = SmolStr::new("peek");
    for n in 0..requests {
        origins.record(&route, &from[n % from.len()], &daemons);
    }
    origins.is_called_by_targets(&route)
}

fn locations(data_centres: usize, services: &[&str]) -> Vec<Location> {
    (0..data_centres)
        .flat_map(|dc| services.iter().map(move |service| location(dc, service)))
        .collect()
}

#[test]
fn a_route_that_comes_from_everywhere_is_one_of_callers() {
    assert!(!called(&locations(4, &SERVICES), 10_000));
}

#[test]
fn a_route_that_comes_from_the_machines_of_one_service_is_called_by_it() {
    assert!(called(&locations(4, &["rutas"]), 64));
}

#[test]
fn a_route_that_two_services_call_is_called() {
    assert!(called(&locations(4, &["rutas", "fleet"]), 128));
}

#[test]
fn a_few_requests_tell_nothing() {
    assert!(!called(&locations(4, &["rutas"]), 32));
}

#[test]
fn callers_in_one_data_centre_are_callers() {
    assert!(!called(&locations(1, &SERVICES), 10_000));
}

#[test]
fn machines_that_are_cut_off_do_not_make_it_called() {
    let mut from = locations(4, &SERVICES);
    from.retain(|location| {
        *location != self::location(0, "caja") && *location != self::location(1, "rutas")
    });
    assert!(!called(&from, 10_000));
}

#[test]
fn a_change_is_followed() {
    let daemons = daemons();
    let mut origins = RouteOrigins::default();
    let route = SmolStr::new("peek");
    let mut send = |from: &[Location]| {
        for n in 0..10_240 {
            origins.record(&route, &from[n % from.len()], &daemons);
        }
        origins.is_called_by_targets(&route)
    };
    assert!(!send(&locations(4, &SERVICES)));
    assert!(send(&locations(4, &["rutas"])));
    assert!(!send(&locations(4, &SERVICES)));
}
