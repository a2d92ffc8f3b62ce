//! Exchange of stamps between daemons: a later read of the same list counts, and daemons do not
//! keep an old list fresh by confirming it to each other.

use std::time::{Duration, Instant};

use routes::{Freshness, StampDiff};

const MS: Duration = Duration::from_millis(1);

/// States of a daemon that read the list and checked the configuration at `at`.
fn read(revision: u64, digest: u64, at: Instant) -> Freshness {
    let mut freshness = Freshness::default();
    freshness.set_targets(revision, digest, at);
    freshness.confirm_table(at);
    freshness
}

#[test]
fn a_later_read_of_the_same_list_counts() {
    let start = Instant::now();
    let mut own = read(20, 7, start);
    let other = read(20, 7, start + 500 * MS);
    let now = start + 600 * MS;
    let diff = own.merge(other.stamp(now), now);
    assert!(diff.newer_read);
    assert_eq!(own.targets_read_at(), Some(start + 460 * MS));
}

#[test]
fn two_daemons_do_not_keep_an_old_list_fresh() {
    let start = Instant::now();
    let latency = 2 * MS;
    let mut daemons = [read(20, 7, start), read(20, 7, start)];
    let mut now = start;
    for turn in 0..2_000 {
        let stamp = daemons[turn % 2].stamp(now);
        now += latency;
        daemons[(turn + 1) % 2].merge(stamp, now);
    }
    for daemon in &daemons {
        assert_eq!(daemon.targets_read_at(), Some(start));
    }
}

#[test]
fn newer_states_are_asked_for() {
    let now = Instant::now();
    let mut own = read(20, 7, now);
    own.set_table_version(3);
    let mut other = read(21, 8, now);
    other.set_table_version(4);
    let expected = StampDiff {
        newer_table: true,
        newer_targets: true,
        newer_read: false,
    };
    assert_eq!(own.merge(other.stamp(now), now), expected);
    assert_eq!(other.merge(own.stamp(now), now), StampDiff::default());
}

#[test]
fn a_daemon_without_a_list_asks_for_one() {
    let now = Instant::now();
    let mut own = Freshness::default();
    let other = read(20, 7, now);
    assert!(own.merge(other.stamp(now), now).newer_targets);
    assert_eq!(own.targets_read_at(), None);
}

/// Guards against a young target list that hides that nothing is heard of the configuration.
#[test]
fn a_young_list_does_not_vouch_for_an_old_configuration() {
    let start = Instant::now();
    let now = start + 900 * MS;
    let mut own = read(20, 7, start);
    let mut other = read(20, 7, start);
    other.set_targets(20, 7, now);
    assert_eq!(other.confirmed_at(), Some(start));
    own.merge(other.stamp(now), now);
    assert_eq!(own.confirmed_at(), Some(start));
    other.confirm_table(now);
    own.merge(other.stamp(now), now);
    assert_eq!(own.confirmed_at(), Some(start + 860 * MS));
}

#[test]
fn a_daemon_with_a_newer_configuration_does_not_confirm_the_own_one() {
    let start = Instant::now();
    let now = start + 900 * MS;
    let mut own = read(20, 7, start);
    let mut other = read(20, 7, now);
    other.set_table_version(4);
    own.merge(other.stamp(now), now);
    assert_eq!(own.table_confirmed_at(), Some(start));
    own.set_table_version(4);
    own.merge(other.stamp(now), now);
    assert_eq!(own.table_confirmed_at(), Some(start + 860 * MS));
}

#[test]
fn a_daemon_without_a_list_confirms_nothing() {
    let start = Instant::now();
    let mut own = read(20, 7, start);
    let stamp = Freshness::default().stamp(start);
    assert!(stamp.age > Duration::from_hours(24));
    own.merge(stamp, start + 900 * MS);
    assert_eq!(own.confirmed_at(), Some(start));
}
