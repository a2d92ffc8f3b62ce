//! Calls that cannot meet their deadline are refused early, and headroom is kept free.

use std::time::{Duration, Instant};

use model::{Class, OperationKey, RefusalReason};
use policy::{Decision, Gate, GateConfig, Headroom, Permit, QueueEvent, RunOutcome, Work};

const RUN_TIME: Duration = Duration::from_millis(50);

fn work(class: Class, left: Duration, now: Instant) -> Work {
    Work {
        class,
        worth: 1,
        shed_hash: 1,
        attempt: 0,
        arrived: now,
        deadline: now + left,
        operation: OperationKey(0),
    }
}

fn run(gate: &mut Gate, class: Class, now: Instant) -> Permit {
    match gate.offer(work(class, Duration::from_mins(1), now), now) {
        Decision::Run(permit) => permit,
        other => panic!("expected a free slot, got {other:?}"),
    }
}

/// Creates a gate that has measured a run time of 50 ms.
fn measured_gate(cfg: GateConfig, mut now: Instant) -> (Gate, Instant) {
    let mut gate = Gate::new(cfg.with_slow_start(false), now);
    for _ in 0..20 {
        let permit = run(&mut gate, Class::Standard, now);
        now += RUN_TIME;
        gate.finish(permit, RunOutcome::Answered, now);
    }
    (gate, now)
}

#[test]
fn a_call_with_too_little_time_is_refused_while_the_estimate_is_fresh() {
    let (mut gate, now) = measured_gate(GateConfig::new(2), Instant::now());
    let late = work(Class::Critical, Duration::from_millis(20), now);
    let Decision::Refuse(refusal) = gate.offer(late, now) else {
        panic!("a call with 20 ms left was not refused although a run takes 50 ms");
    };
    insta::assert_debug_snapshot!(refusal, @r"
    Refusal {
        reason: Deadline,
        retry_after: 27.929ms,
    }
    ");
    let later = now + Duration::from_secs(2);
    let late = work(Class::Critical, Duration::from_millis(20), later);
    assert!(matches!(gate.offer(late, later), Decision::Run(_)));
}

#[test]
fn a_waiter_is_refused_when_it_can_no_longer_meet_its_deadline() {
    let (mut gate, now) = measured_gate(GateConfig::new(1), Instant::now());
    let _running = run(&mut gate, Class::Bulk, now);
    let waiting = work(Class::Critical, Duration::from_millis(200), now);
    let Decision::Wait { key, .. } = gate.offer(waiting, now) else {
        panic!("a call with 200 ms left did not wait");
    };
    let wakeup = gate.next_wakeup(now).expect("a call waits");
    assert!(
        wakeup
            <= waiting
                .deadline
                .checked_sub(Duration::from_millis(40))
                .unwrap()
    );
    let mut events = Vec::new();
    gate.poll(wakeup, &mut events);
    assert!(matches!(
        events[..],
        [QueueEvent::Refuse(refused, refusal)] if refused == key && refusal.reason == RefusalReason::Deadline
    ));
}

#[test]
fn less_important_work_leaves_the_headroom_free() {
    let cfg = GateConfig::new(8)
        .with_headroom(Headroom::Percent(25))
        .with_slow_start(false);
    let now = Instant::now();
    let mut gate = Gate::new(cfg, now);
    for _ in 0..6 {
        let _ = run(&mut gate, Class::Bulk, now);
    }
    let bulk = work(Class::Bulk, RUN_TIME, now);
    assert!(matches!(gate.offer(bulk, now), Decision::Wait { .. }));
    let _ = run(&mut gate, Class::Critical, now);
    let _ = run(&mut gate, Class::Standard, now);
}
