//! What a daemon tells of sends whose answer was lost on the way.

use std::time::{Duration, Instant};

use policy::{Fates, SendKey};
use proptest::collection::vec;
use proptest::prelude::{any, proptest};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn what_has_not_begun_never_will_once_that_was_said() {
    let now = Instant::now();
    let mut fates = Fates::default();
    assert!(fates.forbid(SendKey(1), now + SECOND, now));
    assert!(!fates.begin(SendKey(1), now + SECOND, now));
    assert!(fates.forbid(SendKey(1), now + SECOND, now), "asked again");
}

#[test]
fn what_has_begun_is_not_denied() {
    let now = Instant::now();
    let mut fates = Fates::default();
    assert!(fates.begin(SendKey(1), now + SECOND, now));
    assert!(!fates.forbid(SendKey(1), now + SECOND, now));
}

#[test]
fn what_the_target_refused_has_not_run() {
    let now = Instant::now();
    let mut fates = Fates::default();
    assert!(fates.begin(SendKey(1), now + SECOND, now));
    fates.refused(SendKey(1));
    assert!(fates.forbid(SendKey(1), now + SECOND, now));
}

#[test]
fn a_long_one_in_front_keeps_later_ones_no_longer_than_they_are_of_use() {
    let now = Instant::now();
    let mut fates = Fates::default();
    assert!(fates.begin(SendKey(1), now + 10 * SECOND, now));
    assert!(fates.begin(SendKey(2), now + SECOND, now));
    let later = now + 2 * SECOND;
    assert!(fates.begin(SendKey(3), later + SECOND, later));
    assert!(!fates.forbid(SendKey(1), later + SECOND, later));
}

#[test]
fn too_many_to_remember_make_it_unsure_and_never_wrong() {
    let now = Instant::now();
    let mut fates = Fates::default();
    for number in 0..40_000 {
        assert!(fates.begin(SendKey(number), now + SECOND, now));
    }
    assert!(!fates.forbid(SendKey(0), now + SECOND, now));
    assert!(!fates.forbid(SendKey(50_000), now + SECOND, now), "unsure");
    let later = now + 2 * SECOND;
    assert!(fates.forbid(SendKey(50_000), later + SECOND, later));
}

proptest! {
    /// In any order of events, no send both runs and is said never to run.
    #[test]
    fn no_send_runs_that_was_said_not_to(steps in vec((any::<bool>(), 0_u64..8, 0_u64..300), 1..200)) {
        let mut now = Instant::now();
        let mut fates = Fates::default();
        let (mut ran, mut denied) = ([None; 8], [None; 8]);
        for (begins, send, pause) in steps {
            now += Duration::from_millis(pause);
            let index = usize::try_from(send).expect("below 8");
            let until = now + SECOND;
            let in_use = |at: Option<Instant>| at.is_some_and(|at| now < at + SECOND);
            if begins {
                let begun = fates.begin(SendKey(send), until, now);
                assert!(!(begun && in_use(denied[index])));
                if begun {
                    ran[index] = ran[index].filter(|at: &Instant| now < *at + SECOND).or(Some(now));
                }
            } else {
                let forbidden = fates.forbid(SendKey(send), until, now);
                assert!(!(forbidden && in_use(ran[index])));
                if forbidden {
                    denied[index] = denied[index].filter(|at: &Instant| now < *at + SECOND).or(Some(now));
                }
            }
        }
    }
}
