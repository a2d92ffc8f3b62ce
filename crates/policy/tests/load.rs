//! Text form of a load report.

use std::time::Duration;

use model::Class;
use policy::Load;
use proptest::prelude::*;

#[test]
fn a_load_has_five_fields() {
    let load = Load {
        in_flight: 3,
        limit: 20,
        queued: 1,
        queue_delay: Duration::from_micros(1_250),
        floor: Class::Standard,
    };
    insta::assert_snapshot!(load, @"3,20,1,1250,standard");
    assert_eq!("3,20,1,1250,standard".parse(), Ok(load));
}

#[test]
fn malformed_loads_are_rejected() {
    for text in [
        "",
        "1,2,3,4",
        "1,2,3,4,bulk,6",
        "-1,2,3,4,bulk",
        "1,2,3,4,vip",
        "1,2,3,99999999999999999999999,bulk",
    ] {
        assert!(text.parse::<Load>().is_err(), "{text}");
    }
}

proptest! {
    #[test]
    fn any_text_is_parsed_without_panic(text in ".{0,80}") {
        let _ = text.parse::<Load>();
    }

    #[test]
    fn parsing_inverts_formatting(
        in_flight in any::<u32>(),
        limit in any::<u32>(),
        queued in any::<u32>(),
        delay_us in any::<u64>(),
        class in 0_usize..4,
    ) {
        let load = Load {
            in_flight,
            limit,
            queued,
            queue_delay: Duration::from_micros(delay_us),
            floor: Class::ALL[class],
        };
        prop_assert_eq!(load.to_string().parse(), Ok(load));
    }
}
