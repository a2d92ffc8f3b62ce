//! Which daemons read the published states, at which ages of the target list, and whom they ask.

use std::net::IpAddr;
use std::time::Duration;

use model::DataCentre;
use routes::{READERS, Readers, Target, TargetState, Targets};

const DRAIN: Duration = Duration::from_secs(2);

fn ip(data_centre: u8, number: u8) -> IpAddr {
    [10, 1, data_centre, number].into()
}

fn name(data_centre: u8) -> DataCentre {
    format!("dc-{data_centre}").into()
}

/// A fleet with one target beside each daemon.
fn fleet(data_centres: u8, per_data_centre: u8) -> Targets {
    let daemons = (0..data_centres).flat_map(|d| (0..per_data_centre).map(move |n| (d, n)));
    let target = |(d, n): (u8, u8)| Target {
        id: format!("i-{d}-{n}").into(),
        service: "caja".into(),
        address: (ip(d, n), 8_300).into(),
        data_centre: name(d),
        slots: 25,
        state: TargetState::Ready,
        warm_up_left: Duration::ZERO,
        started_ms: 1_000,
        report_count: 1,
        revision: 1,
    };
    daemons.map(target).collect()
}

fn readers_of(targets: &Targets, data_centre: u8, number: u8) -> Readers {
    Readers::of(targets, &name(data_centre), ip(data_centre, number))
}

/// Pattern: many daemons before one store.
#[test]
fn the_number_of_readers_grows_with_data_centres_only() {
    for per_data_centre in [2, 33, 200] {
        let targets = fleet(6, per_data_centre);
        let daemons = (0..6).flat_map(|d| (0..per_data_centre).map(move |n| (d, n)));
        let all: Vec<Readers> = daemons.map(|(d, n)| readers_of(&targets, d, n)).collect();
        let readers: Vec<&Readers> = all.iter().filter(|own| own.is_reader()).collect();
        assert_eq!(readers.len(), 6 * READERS, "{per_data_centre}");
        // Those that have nobody to ask in other data centres read first.
        let ages = |own: &&Readers| own.ages(DRAIN, 0.0);
        let asking = readers.iter().filter(|own| ages(own).ask < ages(own).read);
        let earliest_ask = asking.map(|own| ages(own).ask).min().expect("some ask");
        let unasked = all
            .iter()
            .filter(|own| own.ages(DRAIN, 0.0).read < earliest_ask);
        assert_eq!(unasked.count(), 1, "{per_data_centre}");
    }
}

#[test]
fn daemons_ask_the_readers_of_their_data_centre_and_these_ask_the_first() {
    let targets = fleet(3, 10);
    for d in 0..3 {
        let local: Vec<IpAddr> = (0..10)
            .filter(|n| readers_of(&targets, d, *n).is_reader())
            .map(|n| ip(d, n))
            .collect();
        for n in 0..10 {
            let own = readers_of(&targets, d, n);
            let asked = own.to_ask();
            assert!(!asked.contains(&ip(d, n)), "a daemon does not ask itself");
            if own.is_reader() {
                continue;
            }
            assert_eq!(asked.len(), READERS);
            assert!(asked.iter().all(|ip| local.contains(ip)));
            let ages = own.ages(DRAIN, 1.0);
            assert!(ages.ask < ages.read && ages.read < DRAIN * 3 / 4);
        }
    }
}

#[test]
fn a_reader_that_leaves_is_replaced() {
    let all = fleet(1, 10);
    let is_reader = |targets: &Targets, n: u8| readers_of(targets, 0, n).is_reader();
    let gone = (0..10).find(|n| is_reader(&all, *n)).expect("a reader");
    let others = all.iter().filter(|t| t.address.ip() != ip(0, gone));
    let others: Targets = others.cloned().collect();
    let readers = (0..10).filter(|n| *n != gone && is_reader(&others, *n));
    assert_eq!(readers.count(), READERS);
}

#[test]
fn a_data_centre_without_targets_asks_the_first_readers() {
    let targets = fleet(2, 10);
    let own = readers_of(&targets, 7, 1);
    assert!(!own.is_unknown() && !own.is_reader());
    assert_eq!(own.to_ask().len(), READERS);
    assert!(readers_of(&Targets::default(), 0, 1).is_unknown());
}
