//! Model test: random duplicates, pauses, expiry and restarts. No ticket may run twice, and none may
//! run after it was reported as not run.

use std::sync::Arc;
use std::time::{Duration, Instant};

use model::{Incarnation, InstanceId, Outcome};
use proptest::prelude::*;
use ticket::{
    Answer, CachedAnswer, KeyHash, OperationHash, RedeemDecision, RunPermit, Secret, Ticket,
    TicketWindow, WindowConfig,
};

const CFG: WindowConfig = WindowConfig {
    ticket_ttl: Duration::from_millis(40),
    max_open: 3,
    max_finished: 3,
    max_cached_bytes: 256,
    max_answer_bytes: 160,
    max_sequences: 64,
};

const INSTANCES: [&str; 2] = ["caja-a1", "caja-b1"];

#[derive(Clone, Copy, Debug)]
enum Step {
    Issue {
        instance: usize,
        key: u8,
    },
    /// Issues many tickets that are never used.
    Flood {
        instance: usize,
        tickets: u8,
    },
    /// Presents a ticket with a clock value that is `late_ms` old, as after a pause.
    Send {
        instance: usize,
        ticket: usize,
        late_ms: u64,
    },
    End {
        pending: usize,
        ending: Ending,
    },
    AdvanceTime {
        ms: u64,
    },
    Restart {
        instance: usize,
    },
}

#[derive(Clone, Copy, Debug)]
enum Ending {
    NotRun,
    Answered { body_bytes: usize },
    Gone,
    AbandonedEarly,
    AbandonedLate,
}

fn step() -> impl Strategy<Value = Step> {
    let instance = 0..INSTANCES.len();
    let ending = prop_oneof![
        2 => Just(Ending::NotRun),
        4 => (0_usize..150).prop_map(|body_bytes| Ending::Answered { body_bytes }),
        1 => Just(Ending::Gone),
        1 => Just(Ending::AbandonedEarly),
        1 => Just(Ending::AbandonedLate),
    ];
    prop_oneof![
        30 => (instance.clone(), 0_u8..8).prop_map(|(instance, key)| Step::Issue { instance, key }),
        40 => (instance.clone(), 0_usize..200, prop_oneof![Just(0), 0_u64..120])
            .prop_map(|(instance, ticket, late_ms)| Step::Send { instance, ticket, late_ms }),
        30 => (0_usize..8, ending).prop_map(|(pending, ending)| Step::End { pending, ending }),
        2 => (instance.clone(), 0_u8..80)
            .prop_map(|(instance, tickets)| Step::Flood { instance, tickets }),
        5 => (0_u64..80).prop_map(|ms| Step::AdvanceTime { ms }),
        1 => instance.prop_map(|instance| Step::Restart { instance }),
    ]
}

/// What callers and target have observed about one ticket.
struct Record {
    ticket: Ticket,
    key: u8,
    granted: bool,
    ran: bool,
    told_not_run: bool,
}

struct Simulation {
    now: Instant,
    incarnations: u64,
    windows: Vec<TicketWindow>,
    /// Keys whose calls ran on each current incarnation, in the order in which they ended.
    ended: Vec<Vec<u8>>,
    records: Vec<Record>,
    /// Instance, index in `records` and permit of each call that has not ended.
    pending: Vec<(usize, usize, RunPermit)>,
}

fn operation() -> OperationHash {
    OperationHash::of("caja", "charge")
}

fn key_hash(key: u8) -> KeyHash {
    KeyHash::of(&key.to_string())
}

impl Simulation {
    fn new() -> Self {
        let mut sim = Simulation {
            now: Instant::now() + Duration::from_secs(1),
            incarnations: 0,
            windows: Vec::new(),
            ended: vec![Vec::new(); INSTANCES.len()],
            records: Vec::new(),
            pending: Vec::new(),
        };
        for instance in 0..INSTANCES.len() {
            let window = sim.new_incarnation(instance);
            sim.windows.push(window);
        }
        sim
    }

    fn new_incarnation(&mut self, instance: usize) -> TicketWindow {
        self.incarnations += 1;
        let id = InstanceId::from(INSTANCES[instance]);
        TicketWindow::new(
            id,
            Incarnation::from(self.incarnations),
            Secret::new([3; 16]),
            CFG,
        )
    }

    fn apply(&mut self, step: Step) {
        self.now += Duration::from_millis(1);
        match step {
            Step::Issue { instance, key } => self.issue(instance, key),
            Step::Flood { instance, tickets } => self.flood(instance, tickets),
            Step::Send {
                instance,
                ticket,
                late_ms,
            } => self.send(instance, ticket, late_ms),
            Step::End { pending, ending } => self.end(pending, ending),
            Step::AdvanceTime { ms } => self.now += Duration::from_millis(ms),
            Step::Restart { instance } => self.restart(instance),
        }
        for window in &self.windows {
            let usage = window.usage(self.now);
            assert!(usage.open <= CFG.max_open && usage.finished <= CFG.max_finished);
            assert!(usage.cached_bytes <= CFG.max_cached_bytes);
        }
    }

    fn issue(&mut self, instance: usize, key: u8) {
        let ticket = self.windows[instance].issue(operation(), key_hash(key), self.now);
        let again = self.windows[instance].issue(operation(), key_hash(key), self.now);
        assert_eq!(ticket, again);
        if self.records.iter().all(|record| record.ticket != ticket) {
            self.records.push(Record {
                ticket,
                key,
                granted: false,
                ran: false,
                told_not_run: false,
            });
        }
    }

    fn flood(&mut self, instance: usize, tickets: u8) {
        for key in u8::MAX - tickets..u8::MAX {
            let _ = self.windows[instance].issue(operation(), key_hash(key), self.now);
        }
    }

    fn send(&mut self, instance: usize, ticket: usize, late_ms: u64) {
        if self.records.is_empty() {
            return;
        }
        let at = ticket % self.records.len();
        let record = &mut self.records[at];
        let late = self
            .now
            .checked_sub(Duration::from_millis(late_ms))
            .expect("starts late enough");
        let window = &mut self.windows[instance];
        match window.redeem(&record.ticket, operation(), key_hash(record.key), late) {
            RedeemDecision::Run(permit) => {
                assert!(!record.granted, "granted twice");
                assert!(
                    !record.told_not_run,
                    "granted after it was reported as not run"
                );
                let remembered = self.ended[instance].iter().rev().take(CFG.max_finished);
                assert!(
                    remembered.into_iter().all(|&key| key != record.key),
                    "the call of this key has run before"
                );
                record.granted = true;
                self.pending.push((instance, at, permit));
            }
            RedeemDecision::Expired => {
                assert!(
                    !record.granted || record.told_not_run,
                    "a granted ticket is reported as not run"
                );
                record.told_not_run = true;
            }
            RedeemDecision::Cached(hit) => assert_eq!(hit.headers["key"], record.key.to_string()),
            RedeemDecision::Invalid => panic!("a ticket of this incarnation is valid"),
            RedeemDecision::AnswerGone => assert!(self.ended[instance].contains(&record.key)),
            RedeemDecision::Running
            | RedeemDecision::Foreign
            | RedeemDecision::Superseded
            | RedeemDecision::BelowEdge => {}
        }
    }

    fn end(&mut self, pending: usize, ending: Ending) {
        if self.pending.is_empty() {
            return;
        }
        let at = pending % self.pending.len();
        let (instance, record, permit) = self.pending.swap_remove(at);
        let record = &mut self.records[record];
        let window = &mut self.windows[instance];
        let outcome = match ending {
            Ending::NotRun => {
                window.not_run(permit);
                Outcome::NotRun
            }
            Ending::Answered { body_bytes } => {
                let cached = answer(record.key, body_bytes);
                window.finish(permit, Answer::Cached(Arc::new(cached)), self.now);
                Outcome::Answered
            }
            Ending::Gone => {
                window.finish(permit, Answer::Gone, self.now);
                Outcome::Unknown
            }
            Ending::AbandonedEarly => window.abandon(permit, self.now),
            Ending::AbandonedLate => {
                window.start(&permit);
                window.abandon(permit, self.now)
            }
        };
        if outcome == Outcome::NotRun {
            record.told_not_run = true;
        } else {
            record.ran = true;
            self.ended[instance].push(record.key);
        }
        assert!(!(record.ran && record.told_not_run));
    }

    /// Replaces an incarnation. The pending calls of a killed process may have run.
    fn restart(&mut self, instance: usize) {
        let (lost, others) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition::<Vec<_>, _>(|(at, _, _)| *at == instance);
        self.pending = others;
        for (_, record, _) in lost {
            self.records[record].ran = true;
        }
        self.windows[instance] = self.new_incarnation(instance);
        self.ended[instance].clear();
    }
}

fn answer(key: u8, body_bytes: usize) -> CachedAnswer {
    let mut cached = CachedAnswer {
        body: vec![key; body_bytes].into(),
        ..CachedAnswer::default()
    };
    cached
        .headers
        .insert("key", http::HeaderValue::from(u16::from(key)));
    cached
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    #[test]
    fn a_ticket_runs_at_most_once_and_not_run_is_final(
        steps in proptest::collection::vec(step(), 0..600),
    ) {
        let mut sim = Simulation::new();
        for step in steps {
            sim.apply(step);
        }
    }
}
