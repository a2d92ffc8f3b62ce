//! What a daemon reports about sends whose answer was lost in transit.

use std::time::{Duration, Instant};

use policy::{Fates, SendKey};
use proptest::collection::vec;
use proptest::prelude::{any, proptest};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn a_send_reported_as_not_started_never_starts() {
    let now = Instant::now();
    let mut fates = Fates::default();
    assert!(fates.forbid(SendKey(1), now + SECOND, now));
    assert!(!fates.begin(SendKey(1), now + SECOND, now));
    assert!(
        fates.forbid(SendKey(1), now + SECOND, now),
        "the answer changed when asked again"
    );
}

#[test]
fn a_started_send_is_not_reported_as_not_started() {
    let now = Instant::now();
    let mut fates = Fates::default();
    assert!(fates.begin(SendKey(1), now + SECOND, now));
    assert!(!fates.forbid(SendKey(1), now + SECOND, now));
}

#[test]
fn a_send_refused_by_the_target_has_not_run() {
    let now = Instant::now();
    let mut fates = Fates::default();
    assert!(fates.begin(SendKey(1), now + SECOND, now));
    fates.refused(SendKey(1));
    assert!(fates.forbid(SendKey(1), now + SECOND, now));
}

#[test]
fn a_long_lived_record_at_the_front_does_not_extend_later_ones() {
    let now = Instant::now();
    let mut fates = Fates::default();
    assert!(fates.begin(SendKey(1), now + 10 * SECOND, now));
    assert!(fates.begin(SendKey(2), now + SECOND, now));
    let later = now + 2 * SECOND;
    assert!(fates.begin(SendKey(3), later + SECOND, later));
    assert!(!fates.forbid(SendKey(1), later + SECOND, later));
}

#[test]
fn after_eviction_unknown_sends_are_not_reported_as_not_started() {
    let now = Instant::now();
    let mut fates = Fates::default();
    for number in 0..40_000 {
        assert!(fates.begin(SendKey(number), now + SECOND, now));
    }
    assert!(!fates.forbid(SendKey(0), now + SECOND, now));
    assert!(
        !fates.forbid(SendKey(50_000), now + SECOND, now),
        "it may have been evicted"
    );
    let later = now + 2 * SECOND;
    assert!(fates.forbid(SendKey(50_000), later + SECOND, later));
}

proptest! {
    /// In any order of events, no send runs that was reported never to run.
    #[test]
    fn no_send_runs_that_was_reported_never_to_run(steps in vec((any::<bool>(), 0_u64..8, 0_u64..300), 1..200)) {
        let mut now = Instant::now();
        let mut fates = Fates::default();
        let (mut started_at, mut forbidden_at) = ([None; 8], [None; 8]);
        for (starts, send, pause) in steps {
            now += Duration::from_millis(pause);
            let index = usize::try_from(send).expect("below 8");
            let until = now + SECOND;
            let in_use = |at: Option<Instant>| at.is_some_and(|at| now < at + SECOND);
            if starts {
                let started = fates.begin(SendKey(send), until, now);
                assert!(!(started && in_use(forbidden_at[index])));
                if started {
                    started_at[index] = started_at[index].filter(|at: &Instant| now < *at + SECOND).or(Some(now));
                }
            } else {
                let forbidden = fates.forbid(SendKey(send), until, now);
                assert!(!(forbidden && in_use(started_at[index])));
                if forbidden {
                    forbidden_at[index] = forbidden_at[index].filter(|at: &Instant| now < *at + SECOND).or(Some(now));
                }
            }
        }
    }
}
