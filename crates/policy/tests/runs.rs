//! Calls without trace headers are matched to the run that made them.

use std::time::{Duration, Instant};

use model::{Class, OperationKey};
use policy::{Run, Runs};

const MS: Duration = Duration::from_millis(1);

fn run(class: Class, deadline: Instant) -> Run {
    Run {
        operation: OperationKey(class as u16),
        class,
        worth: 1,
        shed_hash: 7,
        deadline,
        repeated: false,
    }
}

#[test]
fn a_call_belongs_to_the_run_with_its_deadline() {
    let now = Instant::now();
    let mut runs = Runs::default();
    runs.begin(run(Class::Browse, now + 800 * MS));
    runs.begin(run(Class::Critical, now + 900 * MS));
    let parent = runs.certain_parent(now + 899 * MS);
    assert_eq!(parent.map(|run| run.class), Some(Class::Critical));
    assert_eq!(runs.certain_parent(now + 850 * MS), None);
}

#[test]
fn a_run_that_ended_has_no_calls() {
    let now = Instant::now();
    let mut runs = Runs::default();
    let key = runs.begin(run(Class::Browse, now + 800 * MS));
    runs.end(key);
    runs.end(key);
    assert!(runs.is_empty());
    assert_eq!(runs.certain_parent(now + 800 * MS), None);
}

#[test]
fn a_delayed_call_is_still_matched_to_its_run() {
    let now = Instant::now();
    let mut runs = Runs::default();
    runs.begin(run(Class::Standard, now + 800 * MS));
    let late = now + 830 * MS;
    assert_eq!(runs.certain_parent(late), None);
    let parent = runs.likely_parent(late, false);
    assert_eq!(parent.map(|run| run.class), Some(Class::Standard));
}

#[test]
fn a_call_with_its_own_deadline_inherits_from_the_most_important_run_with_a_later_one() {
    let now = Instant::now();
    let mut runs = Runs::default();
    runs.begin(run(Class::Critical, now + 300 * MS));
    runs.begin(run(Class::Standard, now + 900 * MS));
    runs.begin(run(Class::Browse, now + 2_000 * MS));
    let parent = runs.likely_parent(now + 700 * MS, true);
    assert_eq!(parent.map(|run| run.class), Some(Class::Standard));
}

#[test]
fn a_match_by_chance_is_likelier_among_more_runs() {
    let now = Instant::now();
    let mut runs = Runs::default();
    assert!(runs.chance_match(now).abs() < f64::EPSILON);
    for n in 0..100 {
        runs.begin(run(Class::Browse, now + 20 * n * MS));
    }
    let few = runs.chance_match(now + 500 * MS);
    assert!((0.05..0.3).contains(&few), "{few}");
    for n in 0..1_000 {
        runs.begin(run(Class::Browse, now + 2 * n * MS));
    }
    let many = runs.chance_match(now + 500 * MS);
    assert!((0.7..0.95).contains(&many), "{many}");
    // No run expires after the last one.
    assert!(runs.chance_match(now + 3_000 * MS).abs() < f64::EPSILON);
}
