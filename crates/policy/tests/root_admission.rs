//! Which root requests may start when a service can bear a share of its demand.

use std::time::Instant;

use model::{Class, ServiceName};
use policy::{AdmissionShare, AdmissionShares, RootAdmission, RootRequest};

/// Requests of each class in a hundred, as in a mix of bookings and look-ups.
const MIX: [(Class, u32); 3] = [
    (Class::Critical, 25),
    (Class::Standard, 13),
    (Class::Browse, 62),
];

/// Shares of each class that are admitted at a share of the service.
fn admitted(share: u16) -> Vec<(Class, f64)> {
    let now = Instant::now();
    let service = ServiceName::from("deep");
    let mut shares = AdmissionShares::default();
    shares.record_report(&service, AdmissionShare::from(share), now);
    let mut admission = RootAdmission::default();
    let mut counts = MIX.map(|(class, _)| (class, 0_u32, 0_u32));
    for n in 0_u64..20_000 {
        let at = u32::try_from(n * 37 % 100).expect("below 100");
        let class = match at {
            0..25 => 0,
            25..38 => 1,
            _ => 2,
        };
        let root = RootRequest {
            class: MIX[class].0,
            shed_hash: n.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            is_retry: false,
        };
        let services = std::iter::once(&service);
        let is_admitted = admission.admit(&root, services, &shares, now).is_ok();
        counts[class].1 += u32::from(is_admitted);
        counts[class].2 += 1;
    }
    let ratio =
        |(class, admitted, all): (Class, u32, u32)| (class, f64::from(admitted) / f64::from(all));
    counts.into_iter().map(ratio).collect()
}

#[test]
fn a_less_important_class_is_never_admitted_more() {
    for share in [20, 70, 150, 300, 500, 700, 900, 1_000] {
        let admitted = admitted(share);
        for pair in admitted.windows(2) {
            assert!(pair[0].1 >= pair[1].1 - 0.02, "{share}: {admitted:?}");
        }
    }
}

#[test]
fn half_of_the_demand_goes_to_the_important_classes_first() {
    let admitted = admitted(500);
    assert!(admitted[0].1 > 0.98, "{admitted:?}");
    assert!((0.1..0.5).contains(&admitted[2].1), "{admitted:?}");
}

#[test]
fn each_class_is_admitted_at_a_quarter_of_the_share_at_least() {
    for share in [70, 150, 300, 500] {
        let admitted = admitted(share);
        let least = f64::from(share) / 1_000.0 / 4.0;
        for (class, admitted) in &admitted {
            assert!(*admitted >= 0.9 * least, "{share}, {class}: {admitted}");
        }
    }
}
