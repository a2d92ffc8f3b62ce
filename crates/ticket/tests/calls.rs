//! Calls between daemons: replay detection at the receiver, ledger at the sender.

use std::collections::HashSet;
use std::sync::Arc;

use bytes::Bytes;
use model::{Incarnation, InstanceId};
use proptest::prelude::*;
use ticket::{
    AdmitDecision, Answer, BeginDecision, CachedAnswer, CallLedger, CallNumber,
    CallNumberGenerator, KeyHash, LedgerConfig, OperationHash, SendResult, SourceConfig,
    SourceWindow,
};

const CFG: SourceConfig = SourceConfig {
    window: 64,
    max_active: 2,
    max_sources: 4,
};

fn call(source: u64, sequence: u64) -> CallNumber {
    format!("c1.{source:016x}.{sequence:016x}.reservas-a1")
        .parse()
        .expect("well-formed")
}

proptest! {
    #[test]
    fn a_number_runs_at_most_once(
        arrivals in proptest::collection::vec(
            (prop_oneof![40 => 0_u64..2, 1 => 0_u64..6], 0_u64..4, 0_u64..40),
            0..500,
        ),
    ) {
        let mut window = SourceWindow::new(CFG);
        let (mut ran, mut known) = (HashSet::new(), HashSet::new());
        let mut clock = 0;
        for (source, ahead, back) in arrivals {
            clock += ahead;
            let sequence = u64::saturating_sub(clock, back);
            match window.admit(&call(source, sequence)) {
                AdmitDecision::Run => prop_assert!(ran.insert((source, sequence)), "ran twice"),
                AdmitDecision::Seen => prop_assert!(ran.contains(&(source, sequence))),
                AdmitDecision::BelowEdge => prop_assert!(known.contains(&source)),
                AdmitDecision::Full => prop_assert!(!known.contains(&source)),
            }
            if ran.iter().any(|(at, _)| *at == source) {
                known.insert(source);
            }
            prop_assert!(window.len() <= CFG.max_sources && window.active() <= CFG.max_active);
        }
    }
}

#[test]
fn late_calls_run_while_their_source_is_active() {
    let mut window = SourceWindow::new(CFG);
    let outcomes: Vec<_> = [
        (1, 100),
        (1, 40),
        (1, 100),
        (1, 300),
        (1, 40),
        (1, u64::MAX),
    ]
    .into_iter()
    .map(|(source, sequence)| window.admit(&call(source, sequence)))
    .collect();
    insta::assert_snapshot!(
        format!("{outcomes:?}"),
        @"[Run, Run, Seen, Run, BelowEdge, BelowEdge]"
    );
}

#[test]
fn an_idle_source_keeps_its_lower_edge() {
    let mut window = SourceWindow::new(CFG);
    let outcomes: Vec<_> = [
        (1, 9),
        (2, 0),
        (3, 0),
        (4, 0),
        (1, 8),
        (1, 9),
        (1, 10),
        (5, 0),
    ]
    .into_iter()
    .map(|(source, sequence)| window.admit(&call(source, sequence)))
    .collect();
    insta::assert_snapshot!(
        format!("{outcomes:?}"),
        @"[Run, Run, Run, Run, BelowEdge, BelowEdge, Run, Full]"
    );
}

#[test]
fn generated_numbers_are_unique() {
    let mut numbers =
        CallNumberGenerator::new(InstanceId::from("reservas-a1"), Incarnation::from(1));
    let taken: HashSet<_> = (0..1000).map(|_| numbers.next_number()).collect();
    assert_eq!(taken.len(), 1000);
}

#[test]
fn a_repeated_call_within_an_execution_gets_the_first_result() {
    let cfg = LedgerConfig {
        max_calls: 3,
        max_cached_bytes: 100,
    };
    let mut ledger = CallLedger::new(cfg);
    let operation = OperationHash::of("caja", "charge");
    let cached = |bytes| CachedAnswer {
        body: Bytes::from(vec![0; bytes]),
        ..CachedAnswer::default()
    };
    let ends = [
        (
            "small",
            SendResult::Answered(Answer::Cached(Arc::new(cached(10)))),
        ),
        (
            "large",
            SendResult::Answered(Answer::Cached(Arc::new(cached(90)))),
        ),
        ("lost", SendResult::Unknown),
    ];
    for (key, end) in ends {
        let BeginDecision::Send(permit) = ledger.begin(operation, KeyHash::of(key)) else {
            panic!("{key} is sent once");
        };
        assert!(matches!(
            ledger.begin(operation, KeyHash::of(key)),
            BeginDecision::Running
        ));
        ledger.finish(permit, end);
    }
    let repeats = ["small", "large", "lost", "fourth"].map(|key| {
        match ledger.begin(operation, KeyHash::of(key)) {
            BeginDecision::Send(_) => "send",
            BeginDecision::Running => "running",
            BeginDecision::Cached(_) => "cached",
            BeginDecision::AnswerGone => "gone",
            BeginDecision::Unknown => "unknown",
            BeginDecision::Full => "full",
        }
    });
    assert_eq!(repeats, ["cached", "gone", "unknown", "full"]);
}

#[test]
fn a_call_that_was_not_run_may_be_sent_again() {
    let mut ledger = CallLedger::new(LedgerConfig::default());
    let (operation, key) = (OperationHash::of("caja", "charge"), KeyHash::of("k"));
    for _ in 0..2 {
        let BeginDecision::Send(permit) = ledger.begin(operation, key) else {
            panic!("nothing has run");
        };
        ledger.not_run(permit);
    }
}
