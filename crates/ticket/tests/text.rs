//! Text forms of tickets and call numbers.

use std::time::Instant;

use model::{Incarnation, InstanceId};
use proptest::prelude::*;
use ticket::{
    CallNumber, CallNumberGenerator, KeyHash, MAX_TICKET_BYTES, OperationHash, RedeemDecision,
    Secret, Ticket, TicketWindow, WindowConfig,
};

fn window() -> TicketWindow {
    TicketWindow::new(
        InstanceId::from("caja-a1.norte"),
        Incarnation::from(0xbeef),
        Secret::new([9; 16]),
        WindowConfig::default(),
    )
}

#[test]
fn text_forms_are_stable() {
    let ticket = window().issue(
        OperationHash::of("caja", "charge"),
        KeyHash::of("k"),
        Instant::now(),
    );
    let call = CallNumberGenerator::new(InstanceId::from("reservas-a1"), Incarnation::from(5))
        .next_number();
    insta::assert_snapshot!(ticket, @"t1.000000000000beef.0000000000000000.fed9913af59101f8.04c37d9993e28be6a921e3704fda881d.c11cc4a58732e0e8.caja-a1.norte");
    insta::assert_snapshot!(call, @"c1.0000000000000005.0000000000000000.reservas-a1");
    assert_eq!(ticket.to_string().parse(), Ok(ticket));
    assert_eq!(call.to_string().parse(), Ok(call));
}

proptest! {
    #[test]
    fn arbitrary_text_is_rejected_or_parsed_exactly(text in "\\PC*|t1\\.[0-9a-f.]{0,300}|c1\\.[0-9a-f.]{0,300}") {
        if let Ok(ticket) = text.parse::<Ticket>() {
            prop_assert!(text.len() <= MAX_TICKET_BYTES);
            prop_assert_eq!(ticket.to_string(), text.clone());
        }
        if let Ok(call) = text.parse::<CallNumber>() {
            prop_assert_eq!(call.to_string(), text);
        }
    }

    #[test]
    fn an_altered_ticket_never_runs(at in 0_usize..110, digit in 0_u8..16) {
        let (operation, key, now) = (OperationHash::of("caja", "charge"), KeyHash::of("k"), Instant::now());
        let mut window = window();
        let text = window.issue(operation, key, now).to_string();
        let mut bytes = text.clone().into_bytes();
        bytes[at] = b"0123456789abcdef"[usize::from(digit)];
        let altered = String::from_utf8(bytes).expect("digits are text");
        if let Some(ticket) = altered.parse::<Ticket>().ok().filter(|_| altered != text) {
            let (operation, key) = (ticket.operation(), ticket.key());
            prop_assert!(!matches!(window.redeem(&ticket, operation, key, now), RedeemDecision::Run(_)));
        }
    }
}
