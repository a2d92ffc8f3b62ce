//! Checks with random outcomes that the retry decisions never allow a second run.

use std::time::{Duration, Instant};

use client::{ClientConfig, NextStep, RetryMode, RetryState, SendOutcome};
use model::{Outcome, Refusal, RefusalReason};
use proptest::prelude::*;

fn outcome() -> impl Strategy<Value = SendOutcome> {
    let reason = prop_oneof![
        Just(RefusalReason::Overloaded),
        Just(RefusalReason::TicketForeign),
        Just(RefusalReason::Invalid),
    ];
    let refusal = (reason, 0_u64..8000).prop_map(|(reason, ms)| Refusal {
        reason,
        retry_after: Duration::from_millis(ms),
    });
    prop_oneof![
        Just(SendOutcome::Answered),
        Just(SendOutcome::NotSent),
        (0_u64..8000).prop_map(|ms| SendOutcome::Unknown(Duration::from_millis(ms))),
        refusal.clone().prop_map(SendOutcome::NotRun),
        refusal.prop_map(SendOutcome::TicketClosed),
    ]
}

proptest! {
    #[test]
    fn an_unresolved_call_keeps_its_ticket_and_is_never_reported_as_not_run(
        mode in prop_oneof![Just(RetryMode::Never), Just(RetryMode::WithTicket), Just(RetryMode::Always)],
        unresolved: bool,
        outcomes in proptest::collection::vec((outcome(), 0.0_f64..=1.0, 0_u64..2000), 1..12),
    ) {
        let mut now = Instant::now();
        let deadline = now + Duration::from_secs(10);
        let cfg = ClientConfig { max_sends: 6, ..ClientConfig::default() };
        let mut retry = RetryState::new(&cfg, mode, unresolved, deadline);
        let mut may_have_run = unresolved;
        for (outcome, jitter, ms) in outcomes {
            now += Duration::from_millis(ms);
            may_have_run = match outcome {
                SendOutcome::Unknown(_) => true,
                SendOutcome::Answered | SendOutcome::TicketClosed(_) => false,
                SendOutcome::NotRun(_) | SendOutcome::NotSent => may_have_run,
            };
            let next = retry.next_step(outcome, jitter, now);
            match next {
                NextStep::Resend(wait) | NextStep::ResendWithNewTicket(wait) => {
                    prop_assert!(now + wait < deadline && retry.sends() < 6);
                }
                _ => prop_assert!(next.outcome().is_some()),
            }
            if may_have_run {
                prop_assert!(!matches!(next, NextStep::ResendWithNewTicket(_)));
                prop_assert!(next.outcome() != Some(Outcome::NotRun));
            }
            if matches!(outcome, SendOutcome::Unknown(_)) && mode == RetryMode::Never {
                prop_assert_eq!(next, NextStep::ReportUnknown);
            }
            if next.outcome().is_some() {
                break;
            }
        }
    }
}
