//! State transitions of a ticket.

use std::sync::Arc;
use std::time::Instant;

use model::{Incarnation, InstanceId, Outcome};
use ticket::{
    Answer, CachedAnswer, KeyHash, OperationHash, RedeemDecision, RunPermit, Secret, Ticket,
    TicketWindow, WindowConfig,
};

struct Fixture {
    window: TicketWindow,
    now: Instant,
}

impl Fixture {
    fn new(cfg: WindowConfig) -> Self {
        let id = InstanceId::from("caja-a1");
        let window = TicketWindow::new(id, Incarnation::from(1), Secret::new([1; 16]), cfg);
        Fixture {
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
            RedeemDecision::Run(permit) => permit,
            other => panic!("expected a run, got {other:?}"),
        }
    }

    fn finish(&mut self, key: &str, answer: Answer) -> Ticket {
        let ticket = self.issue(key);
        let permit = self.run(&ticket);
        self.window.finish(permit, answer, self.now);
        ticket
    }
}

#[test]
fn a_ticket_is_bound_to_its_operation_and_key() {
    let mut fixture = Fixture::new(WindowConfig::default());
    let ticket = fixture.issue("k");
    let (operation, key) = (ticket.operation(), ticket.key());
    let other_key = fixture
        .window
        .redeem(&ticket, operation, KeyHash::of("l"), fixture.now);
    let refund = OperationHash::of("caja", "refund");
    let other_operation = fixture.window.redeem(&ticket, refund, key, fixture.now);
    assert!(matches!(
        (other_key, other_operation),
        (RedeemDecision::Invalid, RedeemDecision::Invalid)
    ));
    let _permit = fixture.run(&ticket);
}

#[test]
fn a_refused_ticket_is_closed_and_its_successor_runs() {
    let mut fixture = Fixture::new(WindowConfig::default());
    let first = fixture.issue("k");
    let permit = fixture.run(&first);
    fixture.window.not_run(permit);
    let second = fixture.issue("k");
    assert!(matches!(fixture.redeem(&first), RedeemDecision::Expired));
    let _permit = fixture.run(&second);
    // The closed ticket now gets the state of the call, which runs under the second ticket.
    assert!(matches!(fixture.redeem(&first), RedeemDecision::Running));
}

#[test]
fn an_expired_ticket_stays_expired_if_the_clock_goes_back() {
    let mut fixture = Fixture::new(WindowConfig::default());
    let (ticket, start) = (fixture.issue("k"), fixture.now);
    fixture.now += WindowConfig::default().ticket_ttl;
    assert!(matches!(fixture.redeem(&ticket), RedeemDecision::Expired));
    fixture.now = start;
    assert!(matches!(fixture.redeem(&ticket), RedeemDecision::Expired));
}

#[test]
fn issuing_a_ticket_again_renews_its_expiry() {
    let mut fixture = Fixture::new(WindowConfig::default());
    let ticket = fixture.issue("k");
    for _ in 0..3 {
        fixture.now += WindowConfig::default().ticket_ttl / 2;
        assert_eq!(fixture.issue("k"), ticket);
    }
    let _permit = fixture.run(&ticket);
}

#[test]
fn answers_are_dropped_before_calls_and_no_finished_call_is_reported_as_not_run() {
    let cfg = WindowConfig {
        max_finished: 2,
        max_cached_bytes: 80,
        ..WindowConfig::default()
    };
    let mut fixture = Fixture::new(cfg);
    let cached = Answer::Cached(Arc::new(CachedAnswer::default()));
    let tickets = ["a", "b", "c"].map(|key| fixture.finish(key, cached.clone()));
    let decisions = tickets
        .each_ref()
        .map(|ticket| match fixture.redeem(ticket) {
            RedeemDecision::Cached(_) => "cached",
            RedeemDecision::AnswerGone => "answer gone",
            other => panic!("{other:?}"),
        });
    assert_eq!(decisions, ["answer gone", "answer gone", "cached"]);
    let key = |text| KeyHash::of(text);
    let found = ["a", "b"].map(|k| {
        fixture
            .window
            .lookup(tickets[0].operation(), key(k))
            .is_some()
    });
    assert_eq!(found, [false, true]);
}

#[test]
fn below_the_lower_edge_the_outcome_is_unknown() {
    let cfg = WindowConfig {
        max_open: 1,
        max_sequences: 64,
        ..WindowConfig::default()
    };
    let mut fixture = Fixture::new(cfg);
    let tickets: Vec<_> = (0..65)
        .map(|n: u32| fixture.issue(&n.to_string()))
        .collect();
    assert!(matches!(
        fixture.redeem(&tickets[0]),
        RedeemDecision::BelowEdge
    ));
    assert!(matches!(
        fixture.redeem(&tickets[1]),
        RedeemDecision::Expired
    ));
    assert!(matches!(
        fixture.redeem(&tickets[64]),
        RedeemDecision::Run(_)
    ));
}

#[test]
fn an_abandoned_call_is_not_run_only_before_it_starts() {
    let mut fixture = Fixture::new(WindowConfig::default());
    let early = fixture.issue("early");
    let permit = fixture.run(&early);
    assert_eq!(fixture.window.abandon(permit, fixture.now), Outcome::NotRun);
    let late = fixture.issue("late");
    let permit = fixture.run(&late);
    fixture.window.start(&permit);
    assert_eq!(
        fixture.window.abandon(permit, fixture.now),
        Outcome::Unknown
    );
    assert!(matches!(fixture.redeem(&early), RedeemDecision::Expired));
    assert!(matches!(fixture.redeem(&late), RedeemDecision::AnswerGone));
}
