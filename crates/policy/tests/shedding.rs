//! Order of shedding: no call is refused or delayed in favour of a less important one, and every
//! offered call has exactly one outcome.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use model::{Class, Goal, OperationKey, RefusalReason};
use policy::{
    Decision, Gate, GateConfig, Headroom, Order, Permit, QueueEvent, RunOutcome, WaiterKey, Work,
};
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Step {
    Offer {
        class: Class,
        worth: u32,
        hash: u64,
        attempt: u16,
        left_ms: u64,
    },
    Finish(usize, RunOutcome),
    Cancel(usize),
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let class = prop::sample::select(Class::ALL.to_vec());
    let outcome = prop::sample::select(vec![
        RunOutcome::Answered,
        RunOutcome::Answered,
        RunOutcome::TargetRefused,
        RunOutcome::Failed,
        RunOutcome::Cancelled,
    ]);
    let offer = (class, 0_u32..200, any::<u64>(), 0_u16..2, 0_u64..400);
    prop_oneof![
        6 => offer.prop_map(|(class, worth, hash, attempt, left_ms)| Step::Offer {
            class, worth, hash, attempt, left_ms
        }),
        4 => (any::<usize>(), outcome).prop_map(|(at, outcome)| Step::Finish(at, outcome)),
        1 => any::<usize>().prop_map(Step::Cancel),
        3 => (0_u64..60).prop_map(Step::Advance),
    ]
}

fn cfg() -> impl Strategy<Value = GateConfig> {
    let goal = prop::sample::select(vec![Goal::Goodput, Goal::Recovery]);
    let order = prop::sample::select(vec![Order::Fifo, Order::Adaptive]);
    let headroom = prop::sample::select(vec![
        Headroom::None,
        Headroom::Percent(25),
        Headroom::Measured,
    ]);
    (1_u32..12, 0_u32..12, goal, order, headroom, any::<bool>()).prop_map(
        |(slots, queue, goal, order, headroom, slow_start)| {
            GateConfig::new(slots)
                .with_queue(queue)
                .with_goal(goal)
                .with_order(order)
                .with_headroom(headroom)
                .with_slow_start(slow_start)
        },
    )
}

/// A gate together with the calls that wait and run in it, to check each decision against them.
struct Checked {
    gate: Gate,
    slots: u32,
    now: Instant,
    waiting: BTreeMap<WaiterKey, Work>,
    running: Vec<Permit>,
}

impl Checked {
    fn new(cfg: GateConfig) -> Self {
        let now = Instant::now();
        Checked {
            gate: Gate::new(cfg, now),
            slots: cfg.slots,
            now,
            waiting: BTreeMap::new(),
            running: Vec::new(),
        }
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Offer {
                class,
                worth,
                hash,
                attempt,
                left_ms,
            } => self.offer(Work {
                class,
                worth,
                shed_hash: hash,
                attempt,
                arrived: self.now,
                deadline: self.now + Duration::from_millis(left_ms),
                operation: OperationKey(class as u16),
            }),
            Step::Finish(at, outcome) => {
                if !self.running.is_empty() {
                    let permit = self.running.swap_remove(at % self.running.len());
                    self.gate.finish(permit, outcome, self.now);
                }
            }
            Step::Cancel(at) => {
                let key = self.waiting.keys().copied().nth(at % 16);
                if let Some(key) = key {
                    self.gate.cancel(key, self.now);
                    self.waiting.remove(&key);
                }
            }
            Step::Advance(ms) => self.now += Duration::from_millis(ms),
        }
        self.poll();
        self.check_counts();
    }

    fn offer(&mut self, work: Work) {
        match self.gate.offer(work, self.now) {
            Decision::Run(permit) => self.started(permit, &work),
            Decision::Wait { key, evicted } => {
                if let Some((evicted, refusal)) = evicted {
                    assert_eq!(refusal.reason, RefusalReason::Evicted);
                    let evicted = self
                        .waiting
                        .remove(&evicted)
                        .expect("an evicted call waited");
                    assert!(evicted.class <= work.class);
                    self.check_least_important(evicted.class);
                }
                assert!(self.waiting.insert(key, work).is_none());
            }
            Decision::Refuse(refusal) => {
                assert!(refusal.retry_after > Duration::ZERO);
                if refusal.reason != RefusalReason::Deadline {
                    assert_eq!(refusal.reason, RefusalReason::Overloaded);
                    self.check_least_important(work.class);
                }
            }
        }
    }

    fn poll(&mut self) {
        let mut events = Vec::new();
        self.gate.poll(self.now, &mut events);
        for event in events {
            match event {
                QueueEvent::Start(key, permit) => {
                    let work = self.waiting.remove(&key).expect("a started call waited");
                    self.started(permit, &work);
                }
                QueueEvent::Refuse(key, _) => {
                    assert!(self.waiting.remove(&key).is_some());
                }
            }
        }
    }

    fn started(&mut self, permit: Permit, work: &Work) {
        assert!(work.deadline > self.now);
        assert!(
            self.waiting.values().all(|other| other.class <= work.class),
            "{work:?} started before more important work",
        );
        self.running.push(permit);
    }

    /// Checks that no waiter is less important than the refused call.
    fn check_least_important(&self, refused: Class) {
        assert!(self.waiting.values().all(|other| other.class >= refused));
    }

    fn check_counts(&self) {
        let load = self.gate.load(self.now);
        assert_eq!(load.in_flight as usize, self.running.len());
        assert_eq!(load.queued as usize, self.waiting.len());
        assert!(load.limit >= 1 && load.limit <= self.slots);
        assert!(load.in_flight <= self.slots);
        let important = self.waiting.values().any(|work| work.class > Class::Browse);
        assert!(
            !important || load.in_flight >= load.limit,
            "a slot is idle while important work waits"
        );
    }
}

proptest! {
    #[test]
    fn no_call_yields_to_a_less_important_one(
        cfg in cfg(),
        steps in prop::collection::vec(step(), 1..200),
    ) {
        let mut checked = Checked::new(cfg);
        for step in steps {
            checked.apply(&step);
        }
        while let Some(permit) = checked.running.pop() {
            checked.gate.finish(permit, RunOutcome::Answered, checked.now);
        }
        checked.apply(&Step::Advance(1_000));
        prop_assert!(checked.waiting.is_empty(), "a waiter was neither started nor refused");
        prop_assert_eq!(checked.gate.next_wakeup(checked.now), None);
    }
}

fn work(class: Class, worth: u32, now: Instant) -> Work {
    Work {
        class,
        worth,
        shed_hash: 0,
        attempt: 0,
        arrived: now,
        deadline: now + Duration::from_secs(1),
        operation: OperationKey(0),
    }
}

/// Offers calls to a full gate with room for `queue` waiters, drains it, and lists what was
/// started and refused, identified by worth.
fn outcomes(queue: u32, offers: &[Work], now: Instant) -> String {
    let cfg = GateConfig::new(1).with_queue(queue);
    let mut gate = Gate::new(cfg, now);
    let Decision::Run(mut permit) = gate.offer(work(Class::Critical, 0, now), now) else {
        panic!("an idle gate runs what it is offered");
    };
    let mut worths = BTreeMap::new();
    let mut lines = Vec::new();
    for work in offers {
        match gate.offer(*work, now) {
            Decision::Run(_) => panic!("the only slot is taken"),
            Decision::Wait { key, evicted } => {
                worths.insert(key, work.worth);
                if let Some((evicted, refusal)) = evicted {
                    lines.push(format!("{} {}", worths[&evicted], refusal.reason));
                }
            }
            Decision::Refuse(refusal) => lines.push(format!("{} {}", work.worth, refusal.reason)),
        }
    }
    let mut events = Vec::new();
    loop {
        gate.finish(permit, RunOutcome::Answered, now);
        gate.poll(now, &mut events);
        match events.pop() {
            Some(QueueEvent::Start(key, next)) => {
                lines.push(format!("{} started", worths[&key]));
                permit = next;
            }
            _ => return lines.join(", "),
        }
    }
}

#[test]
fn calls_rank_by_class_then_first_try_then_worth() {
    let now = Instant::now();
    let retry = Work {
        attempt: 1,
        ..work(Class::Browse, 90, now)
    };
    let offers = [
        work(Class::Bulk, 1, now),
        work(Class::Browse, 20, now),
        retry,
        work(Class::Browse, 40, now),
        work(Class::Critical, 3, now),
        work(Class::Bulk, 4, now),
    ];
    insta::assert_snapshot!(
        outcomes(3, &offers, now),
        @"1 evicted, 90 evicted, 4 overloaded, 3 started, 40 started, 20 started"
    );
}

#[test]
fn calls_of_equal_priority_start_in_order_of_arrival() {
    let now = Instant::now();
    let offers: Vec<Work> = (1..=4)
        .map(|worth| Work {
            shed_hash: u64::from(worth).wrapping_mul(0x5555_5555_5555_5555),
            operation: OperationKey(0),
            ..work(Class::Browse, 64 + worth, now)
        })
        .collect();
    insta::assert_snapshot!(
        outcomes(8, &offers, now),
        @"65 started, 66 started, 67 started, 68 started"
    );
}
