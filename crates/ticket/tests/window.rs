//! The states of a ticket, one history at a time.

use std::sync::Arc;
use std::time::Instant;

use model::{Incarnation, InstanceId, Outcome};
use ticket::{
    Answer, CachedAnswer, KeyHash, OperationHash, RedeemDecision, RunPermit, Secret, Ticket,
    TicketWindow, WindowConfig,
};

struct Desk {
    window: TicketWindow,
    now: Instant,
}

impl Desk {
    fn new(cfg: WindowConfig) -> Self {
        let id = InstanceId::from("caja-a1");
        let window = TicketWindow::new(id, Incarnation::from(1), Secret::new([1; 16]), cfg);
        Desk {
            window,
            now: Instant::now(),
        }
    }

    fn issue(&mut self, key: &str) -> Ticket {
        self.window.issue(
            OperationHash::of("caja", "charge"),
            KeyHash::of(key),
            self.now,
        )
    }

    fn redeem(&mut self, ticket: &Ticket) -> RedeemDecision {
        self.window
            .redeem(ticket, ticket.operation(), ticket.key(), self.now)
    }

    fn run(&mut self, ticket: &Ticket) -> RunPermit {
        match self.redeem(ticket) {
            RedeemDecision::Run(slot) => slot,
            other => panic!("expected a run, got {other:?}"),
        }
    }

    fn finish(&mut self, key: &str, answer: Answer) -> Ticket {
        let ticket = self.issue(key);
        let slot = self.run(&ticket);
        self.window.finish(slot, answer, self.now);
        ticket
    }
}

#[test]
fn a_ticket_is_bound_to_its_operation_and_key() {
    let mut desk = Desk::new(WindowConfig::default());
    let ticket = desk.issue("k");
    let (operation, key) = (ticket.operation(), ticket.key());
    let other_key = desk
        .window
        .redeem(&ticket, operation, KeyHash::of("l"), desk.now);
    let refund = OperationHash::of("caja", "refund");
    let other_operation = desk.window.redeem(&ticket, refund, key, desk.now);
    assert!(matches!(
        (other_key, other_operation),
        (RedeemDecision::Invalid, RedeemDecision::Invalid)
    ));
    let _slot = desk.run(&ticket);
}

#[test]
fn a_refused_ticket_is_closed_and_its_successor_runs() {
    let mut desk = Desk::new(WindowConfig::default());
    let first = desk.issue("k");
    let slot = desk.run(&first);
    desk.window.not_run(slot);
    let second = desk.issue("k");
    assert!(matches!(desk.redeem(&first), RedeemDecision::Expired));
    let _slot = desk.run(&second);
    // The closed ticket now answers for the call, not for itself.
    assert!(matches!(desk.redeem(&first), RedeemDecision::Running));
}

#[test]
fn a_ticket_expires_once_and_for_all_even_for_a_late_clock() {
    let mut desk = Desk::new(WindowConfig::default());
    let (ticket, start) = (desk.issue("k"), desk.now);
    desk.now += WindowConfig::default().ticket_ttl;
    assert!(matches!(desk.redeem(&ticket), RedeemDecision::Expired));
    desk.now = start;
    assert!(matches!(desk.redeem(&ticket), RedeemDecision::Expired));
}

#[test]
fn being_handed_out_again_renews_the_life() {
    let mut desk = Desk::new(WindowConfig::default());
    let ticket = desk.issue("k");
    for _ in 0..3 {
        desk.now += WindowConfig::default().ticket_ttl / 2;
        assert_eq!(desk.issue("k"), ticket);
    }
    let _slot = desk.run(&ticket);
}

#[test]
fn answers_drop_before_calls_and_calls_are_never_not_run() {
    let cfg = WindowConfig {
        max_finished: 2,
        max_cached_bytes: 80,
        ..WindowConfig::default()
    };
    let mut desk = Desk::new(cfg);
    let kept = Answer::Cached(Arc::new(CachedAnswer::default()));
    let tickets = ["a", "b", "c"].map(|key| desk.finish(key, kept.clone()));
    let fates = tickets.each_ref().map(|ticket| match desk.redeem(ticket) {
        RedeemDecision::Cached(_) => "kept",
        RedeemDecision::AnswerGone => "answer gone",
        other => panic!("{other:?}"),
    });
    assert_eq!(fates, ["answer gone", "answer gone", "kept"]);
    let key = |text| KeyHash::of(text);
    let recalled = ["a", "b"].map(|k| desk.window.lookup(tickets[0].operation(), key(k)).is_some());
    assert_eq!(recalled, [false, true]);
}

#[test]
fn below_the_lower_edge_nothing_is_certain() {
    let cfg = WindowConfig {
        max_open: 1,
        max_sequences: 64,
        ..WindowConfig::default()
    };
    let mut desk = Desk::new(cfg);
    let tickets: Vec<_> = (0..65).map(|n: u32| desk.issue(&n.to_string())).collect();
    assert!(matches!(
        desk.redeem(&tickets[0]),
        RedeemDecision::BelowEdge
    ));
    assert!(matches!(desk.redeem(&tickets[1]), RedeemDecision::Expired));
    assert!(matches!(desk.redeem(&tickets[64]), RedeemDecision::Run(_)));
}

#[test]
fn an_abandoned_call_is_not_run_only_before_it_starts() {
    let mut desk = Desk::new(WindowConfig::default());
    let early = desk.issue("early");
    let slot = desk.run(&early);
    assert_eq!(desk.window.abandon(slot, desk.now), Outcome::NotRun);
    let late = desk.issue("late");
    let slot = desk.run(&late);
    desk.window.start(&slot);
    assert_eq!(desk.window.abandon(slot, desk.now), Outcome::Unknown);
    assert!(matches!(desk.redeem(&early), RedeemDecision::Expired));
    assert!(matches!(desk.redeem(&late), RedeemDecision::AnswerGone));
}
