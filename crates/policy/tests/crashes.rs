//! What daemons conclude from ended targets and the requests that ran in them.

use std::time::{Duration, Instant};

use policy::{CrashNews, Crashes, EndKey, EndReport, Fingerprint, Treatment};
use proptest::collection::vec;
use proptest::prelude::{any, prop_assert, prop_assert_eq, proptest};

const SECOND: Duration = Duration::from_secs(1);
const GUILTY: Fingerprint = Fingerprint(1);
const INNOCENT: Fingerprint = Fingerprint(2);

fn end(key: u64, suspects: &[Fingerprint]) -> CrashNews {
    CrashNews {
        ends: vec![EndReport {
            key: EndKey(key),
            target: format!("i-{key}").into(),
            daemon: "machine-1".into(),
            age: Duration::ZERO,
            suspects: suspects.to_vec(),
        }],
        cleared: Vec::new(),
    }
}

fn after_ends(ends: &[&[Fingerprint]], now: Instant) -> Crashes {
    let mut crashes = Crashes::default();
    for (key, suspects) in ends.iter().enumerate() {
        crashes.merge(&end(key as u64, suspects), now);
    }
    crashes
}

fn is_held(crashes: &Crashes, fingerprint: Fingerprint, now: Instant) -> bool {
    matches!(
        crashes.treatment(fingerprint, now),
        Treatment::HeldBack { .. }
    )
}

#[test]
fn a_request_is_held_back_from_its_third_end_on() {
    let now = Instant::now();
    let mut crashes = Crashes::default();
    let mut seen = Vec::new();
    for key in 0..3 {
        crashes.merge(&end(key, &[GUILTY]), now);
        seen.push(crashes.treatment(GUILTY, now));
    }
    insta::assert_debug_snapshot!(seen, @"
    [
        Normal,
        Alone,
        HeldBack {
            retry_after: 60s,
        },
    ]
    ");
}

/// Guards against a verdict on all requests that happened to be in flight beside the guilty one.
#[test]
fn requests_that_share_all_ends_are_told_apart_by_the_next_one() {
    let now = Instant::now();
    let both = &[GUILTY, INNOCENT][..];
    let mut crashes = after_ends(&[both, both, both], now);
    assert_eq!(crashes.treatment(GUILTY, now), Treatment::Alone);
    assert_eq!(crashes.treatment(INNOCENT, now), Treatment::Alone);
    crashes.merge(&end(10, &[GUILTY]), now);
    assert!(is_held(&crashes, GUILTY, now));
    assert!(!is_held(&crashes, INNOCENT, now));
    crashes.record_whole_run(INNOCENT, now);
    assert_eq!(crashes.treatment(INNOCENT, now), Treatment::Normal);
}

#[test]
fn two_guilty_requests_with_the_same_ends_are_both_held_back_after_one_more_each() {
    let now = Instant::now();
    let both = &[GUILTY, INNOCENT][..];
    let crashes = after_ends(&[both, both, both, &[GUILTY], &[INNOCENT]], now);
    assert!(is_held(&crashes, GUILTY, now));
    assert!(is_held(&crashes, INNOCENT, now));
}

/// Guards against a request that is sent all the time being held back because it is in flight at
/// each crash.
#[test]
fn a_request_that_comes_back_whole_elsewhere_is_no_suspect() {
    let now = Instant::now();
    let mut crashes = Crashes::default();
    crashes.record_whole_run(INNOCENT, now);
    for key in 0..8 {
        crashes.record_end(end(key, &[INNOCENT]).ends.remove(0), now);
        crashes.merge(&end(100 + key, &[INNOCENT]), now);
        assert!(!is_held(&crashes, INNOCENT, now));
    }
    assert_eq!(crashes.treatment(INNOCENT, now), Treatment::Normal);
}

/// Guards against a verdict that lasts although the request has been mended.
#[test]
fn a_trial_that_comes_back_whole_lifts_the_verdict_everywhere() {
    let now = Instant::now();
    let guilty = &[GUILTY][..];
    let mut here = after_ends(&[guilty, guilty, guilty], now);
    let mut elsewhere = after_ends(&[guilty, guilty, guilty], now);
    let later = now + 60 * SECOND;
    assert_eq!(here.treatment(GUILTY, later), Treatment::Trial);
    here.record_trial(GUILTY, later);
    assert!(is_held(&here, GUILTY, later), "one trial at a time");
    here.take_unsent(later);
    here.record_whole_run(GUILTY, later + SECOND);
    elsewhere.merge(&here.take_unsent(later), later);
    for crashes in [here, elsewhere] {
        assert_eq!(crashes.treatment(GUILTY, later), Treatment::Normal);
    }
}

/// Guards against trials without end: three may follow the verdict.
#[test]
fn failed_trials_become_rare_and_end() {
    let mut now = Instant::now();
    let guilty = &[GUILTY][..];
    let mut crashes = after_ends(&[guilty, guilty, guilty], now);
    let mut waits = Vec::new();
    while let Treatment::HeldBack { retry_after } = crashes.treatment(GUILTY, now) {
        waits.push(retry_after.as_secs());
        if waits.len() == 4 {
            break;
        }
        now += retry_after;
        crashes.prune(now);
        crashes.merge(&end(10 + waits.len() as u64, guilty), now);
    }
    assert_eq!(waits, [60, 240, 960, 86_400]);
}

/// Guards against memory without bounds, and against forgetting the guilty ones in a flood of
/// different requests.
#[test]
fn a_flood_of_suspects_pushes_out_no_guilty_request() {
    let now = Instant::now();
    let guilty = &[GUILTY][..];
    let mut crashes = after_ends(&[guilty, guilty, guilty], now);
    for key in 0..600 {
        let first = 1_000 + key * 200;
        let flood: Vec<_> = (first..first + 200).map(Fingerprint).collect();
        crashes.merge(&end(1_000 + key, &flood), now + SECOND);
    }
    let known = crashes.all(now + SECOND);
    let suspects: usize = known.ends.iter().map(|end| end.suspects.len()).sum();
    assert!(suspects <= 32_768 && known.ends.len() <= 512, "{suspects}");
    assert!(is_held(&crashes, GUILTY, now + SECOND));
}

#[test]
fn old_suspects_are_forgotten_and_those_held_back_are_kept() {
    let now = Instant::now();
    let (guilty, both) = (&[GUILTY][..], &[GUILTY, INNOCENT][..]);
    let mut crashes = after_ends(&[guilty, guilty, both], now);
    let later = now + 601 * SECOND;
    crashes.prune(later);
    let known = crashes.all(later);
    assert_eq!(known.ends.len(), 3);
    assert!(known.ends.iter().all(|end| end.suspects == [GUILTY]));
    crashes.prune(now + 25 * 3_600 * SECOND);
    assert_eq!((crashes.end_count(), crashes.digest()), (0, 0));
}

#[test]
fn malformed_news_are_refused() {
    for text in [
        "end",
        "end x i-1 m 5 1",
        "end 1 i-1 m five 1",
        "end 1 i-1 m 5 1,,z",
        "cleared 1",
        "other 1 2",
        "\u{7f}",
    ] {
        assert!(text.parse::<CrashNews>().is_err(), "{text}");
    }
    assert!("".parse::<CrashNews>().is_ok_and(|news| news.is_empty()));
}

proptest! {
    #[test]
    fn news_survive_their_text_form(
        ends in vec((any::<u64>(), "[a-z0-9-]{1,20}", 0..100_000_u64, vec(any::<u64>(), 1..5)), 0..4),
        cleared in vec((any::<u64>(), any::<u64>()), 0..4),
    ) {
        let news = CrashNews {
            ends: ends.into_iter().map(|(key, name, age, suspects)| EndReport {
                key: EndKey(key),
                target: name.as_str().into(),
                daemon: name.into(),
                age: Duration::from_millis(age),
                suspects: suspects.into_iter().map(Fingerprint).collect(),
            }).collect(),
            cleared: cleared.into_iter().map(|(f, e)| (Fingerprint(f), EndKey(e))).collect(),
        };
        prop_assert_eq!(news.to_string().parse::<CrashNews>(), Ok(news));
    }

    /// A name with separators in it must not be taken for another report.
    #[test]
    fn names_of_any_form_can_be_reported(target in any::<String>(), daemon in any::<String>()) {
        let mut news = end(1, &[GUILTY]);
        news.ends[0].target = target.as_str().into();
        news.ends[0].daemon = daemon.into();
        let parsed = news.to_string().parse::<CrashNews>();
        prop_assert!(parsed.is_ok_and(|parsed| parsed.ends.len() == 1));
    }

    #[test]
    fn the_order_of_news_does_not_matter(
        reports in vec((0..6_u64, 0..4_u64), 1..30),
        seed in any::<u64>(),
    ) {
        let now = Instant::now();
        let mut shuffled = reports.clone();
        shuffled.sort_by_key(|(end, suspect)| (end ^ suspect ^ seed).wrapping_mul(seed | 1));
        let learn = |reports: &[(u64, u64)]| {
            let mut crashes = Crashes::default();
            for (key, suspect) in reports {
                crashes.merge(&end(*key, &[Fingerprint(*suspect)]), now);
            }
            crashes
        };
        let (a, b) = (learn(&reports), learn(&shuffled));
        prop_assert_eq!(a.digest(), b.digest());
        for suspect in 0..4 {
            let fingerprint = Fingerprint(suspect);
            prop_assert_eq!(a.treatment(fingerprint, now), b.treatment(fingerprint, now));
        }
    }
}

/// Guards against holding back a request because the reports of another daemon name it alone among
/// those that were in flight.
#[test]
fn a_request_that_another_daemon_does_not_hold_back_is_not_held_back_by_its_record() {
    let now = Instant::now();
    let both = &[GUILTY, INNOCENT][..];
    let elsewhere = after_ends(&[both, both, both], now);
    assert_eq!(elsewhere.treatment(INNOCENT, now), Treatment::Alone);
    let mut here = Crashes::default();
    here.merge(&elsewhere.verdict(INNOCENT, now), now);
    assert!(!is_held(&here, INNOCENT, now));
    let guilty = &[GUILTY][..];
    let elsewhere = after_ends(&[guilty, guilty, guilty], now);
    here.merge(&elsewhere.verdict(GUILTY, now), now);
    assert!(is_held(&here, GUILTY, now));
}

/// Guards against a daemon that stands still for longer than others wait for its word when a busy
/// target ends, which costs the more the more is known.
#[test]
fn the_end_of_a_busy_target_is_recorded_at_once() {
    const MAX_TIME: Duration = Duration::from_millis(300);
    let now = Instant::now();
    let mut crashes = Crashes::default();
    for key in 0..150 {
        let first = 10_000 + key * 200;
        let known: Vec<_> = (first..first + 200).map(Fingerprint).collect();
        crashes.merge(&end(key, &known), now);
    }
    let in_flight: Vec<_> = (1_000_000..1_000_400).map(Fingerprint).collect();
    let began = Instant::now();
    crashes.record_end(end(1_000, &in_flight).ends.remove(0), now);
    let took = began.elapsed();
    assert!(took < MAX_TIME, "{took:?}");
}
