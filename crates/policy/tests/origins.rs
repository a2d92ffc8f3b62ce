//! Routes that targets call are inferred from the origins of their requests.

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

/// True if a route is inferred to be called by targets when its requests come from these locations
/// in turn.
fn is_called(from: &[Location], requests: usize) -> bool {
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
fn a_route_with_requests_from_all_locations_is_not_called() {
    assert!(!is_called(&locations(4, &SERVICES), 10_000));
}

#[test]
fn a_route_with_requests_from_one_service_only_is_called() {
    assert!(is_called(&locations(4, &["rutas"]), 64));
}

#[test]
fn a_route_with_requests_from_two_services_only_is_called() {
    assert!(is_called(&locations(4, &["rutas", "fleet"]), 128));
}

#[test]
fn a_few_requests_are_not_enough() {
    assert!(!is_called(&locations(4, &["rutas"]), 32));
}

#[test]
fn a_route_with_requests_from_one_data_centre_only_is_not_called() {
    assert!(!is_called(&locations(1, &SERVICES), 10_000));
}

#[test]
fn unreachable_machines_do_not_make_a_route_called() {
    let mut from = locations(4, &SERVICES);
    from.retain(|location| {
        *location != self::location(0, "caja") && *location != self::location(1, "rutas")
    });
    assert!(!is_called(&from, 10_000));
}

#[test]
fn the_result_follows_changes() {
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
