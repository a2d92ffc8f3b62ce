//! Burn rates, error budgets and overloads in the report.

use std::time::{Duration, Instant};

use insta::assert_snapshot;
use model::Class;
use proptest::prelude::*;
use report::{Ending, History, HistoryExport, Report, Scope, Series, SeriesKey};

fn series(class: Class, service: &str, operation: &str, objective_permille: u16) -> Series {
    Series {
        class,
        service: service.into(),
        operation: operation.into(),
        objective_permille,
    }
}

/// A history with one critical and one bulk operation.
struct Recorder {
    start: Instant,
    history: History,
    book: SeriesKey,
    pack: SeriesKey,
}

impl Recorder {
    fn new() -> Self {
        let start = Instant::now();
        let mut history = History::new(start);
        Recorder {
            start,
            book: history.register(series(Class::Critical, "reservas", "book", 999)),
            pack: history.register(series(Class::Bulk, "rutas", "pack", 950)),
            history,
        }
    }

    /// Records the given numbers of endings for both operations in one second.
    fn record_second(&mut self, at_s: u64, book: &[(u32, Ending)], pack: &[(u32, Ending)]) {
        let now = self.start + Duration::from_secs(at_s);
        for (key, worth, endings) in [(self.book, 40, book), (self.pack, 3, pack)] {
            for &(count, ending) in endings {
                for _ in 0..count {
                    self.history.record(key, worth, ending, now);
                }
            }
        }
    }

    fn export(&self, at_s: u64) -> HistoryExport {
        self.history.export(self.start + Duration::from_secs(at_s))
    }
}

/// Returns a history of five minutes with a surge from 100 s to 120 s and recovery at 130 s.
fn with_surge() -> HistoryExport {
    let mut recorder = Recorder::new();
    for at_s in 0..300 {
        match at_s {
            100..120 => recorder.record_second(
                at_s,
                &[(9, Ending::InTime), (1, Ending::Unknown)],
                &[(5, Ending::InTime), (200, Ending::NotRun)],
            ),
            120..130 => recorder.record_second(
                at_s,
                &[(10, Ending::InTime)],
                &[(5, Ending::InTime), (10, Ending::NotRun), (5, Ending::Late)],
            ),
            _ => recorder.record_second(at_s, &[(10, Ending::InTime)], &[(20, Ending::InTime)]),
        }
    }
    recorder.export(300)
}

#[test]
fn empty_fleet_has_a_report() {
    let report = Report::build(&[], vec!["127.0.0.1:9 (connection refused)".into()]);
    assert_snapshot!(report.to_text(), @r"
    no daemon read
    not read: 127.0.0.1:9 (connection refused)
    5 min is covered for 0 s only: 0 of 0 daemons remember less
    1 h is covered for 0 s only: 0 of 0 daemons remember less
    6 h is covered for 0 s only: 0 of 0 daemons remember less
    3 d is covered for 0 s only: 0 of 0 daemons remember less

                  requests  goodput  budget left  burn 5 min  burn 1 h  burn 6 h  burn 3 d
    all requests         0        -            -           -         -         -         -

    No overload in the last hour.
    ");
}

#[test]
fn surge_is_reported_with_its_recovery() {
    let report = Report::build(&[with_surge()], Vec::new());
    assert_snapshot!(report.to_text(), @r"
    1 daemon read; it remembers 5 min 0 s
    1 h is covered for 5 min 0 s only: 1 of 1 daemons remember less
    6 h is covered for 5 min 0 s only: 1 of 1 daemons remember less
    3 d is covered for 5 min 0 s only: 1 of 1 daemons remember less

                    requests  goodput  budget left  burn 5 min  burn 1 h  burn 6 h  burn 3 d
    all requests      12 700   91.1 %     -754.6 %        8.55      8.55      8.55      8.55
    class critical     3 000   99.3 %     -566.7 %        6.67      6.67      6.67      6.67
    class bulk         9 700   57.2 %     -755.7 %        8.56      8.56      8.56      8.56
    reservas/book      3 000   99.3 %     -566.7 %        6.67      6.67      6.67      6.67
    rutas/pack         9 700   57.2 %     -755.7 %        8.56      8.56      8.56      8.56

    overload of              began  lasted  recovery  least goodput  failed
    all requests    3 min 20 s ago    30 s      10 s         36.9 %   4 170
    class critical  3 min 20 s ago    20 s      20 s         90.0 %      20
    class bulk      3 min 20 s ago    30 s      10 s          2.4 %   4 150
    reservas/book   3 min 20 s ago    20 s      20 s         90.0 %      20
    rutas/pack      3 min 20 s ago    30 s      10 s          2.4 %   4 150
    ");
}

#[test]
fn daemons_are_summed_and_short_histories_reported() {
    let mut old = Recorder::new();
    for at_s in 0..4_000 {
        old.record_second(at_s, &[(1, Ending::InTime)], &[]);
    }
    old.record_second(3_999, &[(2, Ending::Late)], &[]);
    let mut young = Recorder::new();
    young.record_second(10, &[(6, Ending::InTime)], &[(1, Ending::NotRun)]);
    let report = Report::build(&[old.export(4_000), young.export(20)], Vec::new());
    assert_snapshot!(report.to_text(), @r"
    2 daemons read; they remember 20 s to 1 h 6 min
    6 h is covered for 1 h 6 min only: 2 of 2 daemons remember less
    3 d is covered for 1 h 6 min only: 2 of 2 daemons remember less

                    requests  goodput  budget left  burn 5 min  burn 1 h  burn 6 h  burn 3 d
    all requests       4 009   99.9 %       26.0 %        8.38      0.82      0.74      0.74
    class critical     4 008   99.9 %       50.0 %        6.49      0.55      0.50      0.50
    class bulk             1    0.0 %    -1900.0 %       20.00     20.00     20.00     20.00
    reservas/book      4 008   99.9 %       50.0 %        6.49      0.55      0.50      0.50
    rutas/pack             1    0.0 %    -1900.0 %       20.00     20.00     20.00     20.00

    No overload in the last hour.
    ");
}

#[test]
fn json_has_the_same_values() {
    let report = Report::build(&[with_surge()], Vec::new());
    let json: serde_json::Value = serde_json::from_str(&report.to_json()).unwrap();
    assert_snapshot!(json["rows"][1]["burns"][0], @r#"{"allowed":3.0,"counts":{"in_time":2980,"late":0,"not_run":0,"unknown":20,"worth_in_time":119200,"worth_offered":120000},"goodput_share":0.9933333333333332,"rate":6.666666666666667}"#);
    assert_snapshot!(json["overloads"][0], @r#"{"began_ms_ago":200000,"failed":4170,"lasted_ms":30000,"least_goodput_share":0.3694581280788177,"recovery_ms":10000,"scope":"all"}"#);
}

#[test]
fn page_is_self_contained_and_escapes_names() {
    let mut export = with_surge();
    export.series[1].operation = "<script>".into();
    let html = Report::build(&[export], Vec::new()).to_html();
    assert!(!html.contains("<script"));
    assert!(html.contains("rutas/&lt;script&gt;"));
    assert_eq!(html.matches("<svg").count(), 3);
    for outside in ["<link", "src=", "@import", "url("] {
        assert!(!html.contains(outside), "the page holds {outside}");
    }
}

#[test]
fn export_round_trips_through_json() {
    let export = with_surge();
    let text = serde_json::to_string(&export).unwrap();
    assert_eq!(
        serde_json::from_str::<HistoryExport>(&text).unwrap(),
        export
    );
}

proptest! {
    #[test]
    fn no_count_is_lost_within_the_finest_tier(
        seconds in proptest::collection::vec((0..20_u32, 0..5_u32), 1..120),
    ) {
        let mut recorder = Recorder::new();
        for (at_s, (good, bad)) in (0..).zip(&seconds) {
            recorder.record_second(at_s, &[(*good, Ending::InTime), (*bad, Ending::NotRun)], &[]);
        }
        let export = recorder.export(u64::try_from(seconds.len()).unwrap());
        let report = Report::build(&[export], Vec::new());
        let all = report.rows.iter().find(|row| row.scope == Scope::All).unwrap();
        let good: u32 = seconds.iter().map(|(good, _)| good).sum();
        let bad: u32 = seconds.iter().map(|(_, bad)| bad).sum();
        for burn in &all.burns {
            prop_assert_eq!(burn.counts.in_time, u64::from(good));
            prop_assert_eq!(burn.counts.not_run, u64::from(bad));
        }
    }

    #[test]
    fn memory_stays_bounded(gaps in proptest::collection::vec(1..400_u64, 1..300)) {
        let mut recorder = Recorder::new();
        let mut at_s = 0;
        for gap in gaps {
            at_s += gap;
            recorder.record_second(at_s, &[(1, Ending::InTime)], &[(1, Ending::NotRun)]);
        }
        let export = recorder.export(at_s);
        for (tier, max_buckets) in export.tiers.iter().zip([601, 361, 865]) {
            prop_assert!(tier.buckets.len() <= max_buckets);
            let oldest = tier.buckets.first().map_or(0, |bucket| bucket.began_ms_ago);
            prop_assert!(oldest <= tier.reach_ms);
        }
    }
}
