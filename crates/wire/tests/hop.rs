//! Headers between daemons parse back to the value that was formatted, and the errors of malformed
//! ones name the field.

use std::time::Duration;

use model::{Class, Outcome, RefusalReason};
use wire::{Hop, HopEnd, ServiceShare, ViewStamp};

fn hop() -> Hop {
    Hop {
        class: Class::Critical,
        worth: 40,
        shed_hash: 0xfeed,
        attempt: 1,
        send_id: 0xabcd,
        time_left: Duration::from_micros(1_234_567),
        target: "i-7f".into(),
        route: "bookings of clubs".into(),
    }
}

#[test]
fn hop_round_trips() {
    let text = hop().to_string();
    insta::assert_snapshot!(text, @"critical 40 000000000000feed 1 000000000000abcd 1234567 i-7f bookings of clubs");
    assert_eq!(text.parse(), Ok(hop()));
}

#[test]
fn hop_end_round_trips() {
    let refused = HopEnd {
        outcome: Outcome::NotRun,
        reached_target: true,
        reason: Some(RefusalReason::Overloaded),
        retry_after: Duration::from_millis(250),
        run_time: Duration::from_micros(15_200),
        pressure: 300,
        life: 0x11fe,
        load: Some("1,2,3,4,bulk".into()),
    };
    insta::assert_snapshot!(refused.to_string(), @"not-run target overloaded 250 15200 300 00000000000011fe 1,2,3,4,bulk");
    assert_eq!(refused.to_string().parse(), Ok(refused));
    let answered = HopEnd {
        outcome: Outcome::Answered,
        reached_target: false,
        reason: None,
        retry_after: Duration::ZERO,
        run_time: Duration::ZERO,
        pressure: 0,
        life: 0,
        load: None,
    };
    insta::assert_snapshot!(answered.to_string(), @"answered - - 0 0 0 0000000000000000 -");
    assert_eq!(answered.to_string().parse(), Ok(answered));
}

#[test]
fn errors_name_the_malformed_field() {
    let cases = [
        ("", "class"),
        ("urgent 1 0 0 0 0 i r", "class"),
        ("bulk -1 0 0 0 0 i r", "worth"),
        ("bulk 1 zz 0 0 0 i r", "hash"),
        ("bulk 1 0 0 zz 0 i r", "send"),
        ("bulk 1 0 0 0 x i r", "time left"),
        ("bulk 1 0 0 0 0 i", "route"),
    ];
    for (text, field) in cases {
        let error = text.parse::<Hop>().expect_err(text).to_string();
        assert!(error.ends_with(field), "{text:?}: {error}");
    }
}

#[test]
fn service_share_round_trips() {
    let share = ServiceShare {
        service: "caja".into(),
        share: 511,
        age: Duration::from_millis(40),
    };
    insta::assert_snapshot!(share, @"caja 511 40");
    assert_eq!(share.to_string().parse(), Ok(share));
    assert!("caja 511".parse::<ServiceShare>().is_err());
}

#[test]
fn view_stamp_round_trips() {
    let view = ViewStamp {
        table: 12,
        targets: 4_711,
        digest: 0xbeef,
        age: Duration::from_millis(700),
    };
    insta::assert_snapshot!(view, @"12 4711 000000000000beef 700");
    assert_eq!(view.to_string().parse(), Ok(view));
    assert!("12 4711 zz 700".parse::<ViewStamp>().is_err());
}
