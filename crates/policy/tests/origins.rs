//! Which routes targets call is learned from where requests come from.

use policy::{Census, Origins, Place};
use smol_str::SmolStr;

const SERVICES: [&str; 4] = ["fleet", "reservas", "rutas", "caja"];

fn place(data_centre: usize, service: &str) -> Place {
    Place {
        data_centre: format!("norte-{data_centre}").into(),
        service: service.into(),
    }
}

/// One daemon of each service in each of four data centres.
fn census() -> Census {
    (0..4)
        .flat_map(|dc| SERVICES.map(|service| place(dc, service)))
        .collect()
}

/// Tells whether a route counts as called when its requests come in turn from these.
fn called(from: &[Place], requests: usize) -> bool {
    let census = census();
    let mut origins = Origins::default();
    let route = SmolStr::new("peek");
    for n in 0..requests {
        origins.came(&route, &from[n % from.len()], &census);
    }
    origins.is_called(&route)
}

fn places(data_centres: usize, services: &[&str]) -> Vec<Place> {
    (0..data_centres)
        .flat_map(|dc| services.iter().map(move |service| place(dc, service)))
        .collect()
}

#[test]
fn a_route_that_comes_from_everywhere_is_one_of_callers() {
    assert!(!called(&places(4, &SERVICES), 10_000));
}

#[test]
fn a_route_that_comes_from_the_machines_of_one_service_is_called_by_it() {
    assert!(called(&places(4, &["rutas"]), 64));
}

#[test]
fn a_route_that_two_services_call_is_called() {
    assert!(called(&places(4, &["rutas", "fleet"]), 128));
}

#[test]
fn a_few_requests_tell_nothing() {
    assert!(!called(&places(4, &["rutas"]), 32));
}

#[test]
fn callers_in_one_data_centre_are_callers() {
    assert!(!called(&places(1, &SERVICES), 10_000));
}

#[test]
fn machines_that_are_cut_off_do_not_make_it_called() {
    let mut from = places(4, &SERVICES);
    from.retain(|place| *place != self::place(0, "caja") && *place != self::place(1, "rutas"));
    assert!(!called(&from, 10_000));
}

#[test]
fn a_change_is_followed() {
    let census = census();
    let mut origins = Origins::default();
    let route = SmolStr::new("peek");
    let mut send = |from: &[Place]| {
        for n in 0..10_240 {
            origins.came(&route, &from[n % from.len()], &census);
        }
        origins.is_called(&route)
    };
    assert!(!send(&places(4, &SERVICES)));
    assert!(send(&places(4, &["rutas"])));
    assert!(!send(&places(4, &SERVICES)));
}
