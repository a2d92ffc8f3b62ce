//! Comparison of experiment variants as text and as an HTML page.

use insta::assert_snapshot;
use report::{Comparison, Interval, Metric, Unit, Variant};

fn comparison() -> Comparison {
    let variant = |name: &str, worth_in_time| Variant {
        name: name.to_owned(),
        intervals: (0..4)
            .map(|number| Interval {
                from_ms: number * 500,
                length_ms: 500,
                worth_asked: 100,
                worth_in_time,
                sends: 20,
            })
            .collect(),
    };
    let metric = |name: &str, unit, values: [Option<f64>; 2]| Metric {
        name: name.to_owned(),
        unit,
        values: values.into(),
    };
    Comparison {
        name: "storm <1>".to_owned(),
        about: "caja takes longer".to_owned(),
        seed: 7,
        trouble_ms: (1_000, 1_500),
        variants: vec![variant("baseline", 0), variant("berylhead", 99)],
        metrics: vec![
            metric("goodput", Unit::Share, [Some(0.0), Some(0.9949)]),
            metric("back after", Unit::Seconds, [None, Some(0.52)]),
            metric("sends", Unit::Number, [Some(1.0), Some(1.257)]),
        ],
    }
}

#[test]
fn metrics_are_a_table() {
    assert_snapshot!(comparison().to_text(), @r"
                    baseline     berylhead
    goodput            0.0 %        99.5 %
    back after         never         0.5 s
    sends                  1          1.26
    ");
}

#[test]
fn page_is_self_contained_and_escapes_names() {
    let html = comparison().to_html();
    assert!(html.contains("<h1>storm &lt;1&gt;</h1>") && !html.contains("storm <1>"));
    assert!(html.contains("from 1 s to 1.5 s. Seed 7."));
    assert_eq!(html.matches("<svg").count(), 2);
    for outside in ["<link", "src=", "@import", "url("] {
        assert!(!html.contains(outside), "the page holds {outside}");
    }
}

#[test]
fn comparison_without_variants_has_no_plot() {
    let mut empty = comparison();
    empty.variants.clear();
    empty.metrics.clear();
    assert_eq!(empty.to_html().matches("<svg").count(), 0);
}
