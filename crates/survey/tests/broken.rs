//! Invalid answers files are rejected with one line per fault: place, problem and remedy.

use insta::assert_snapshot;
use model::Revision;
use proptest::prelude::*;
use survey::{Answers, Draft};

const VALID: &str = include_str!("../../../examples/arriaga.ini");

/// Reads and checks invalid answers; returns the error as text.
fn error_of(bytes: &[u8]) -> String {
    let checked = Answers::read("a.ini", bytes).and_then(|answers| answers.check("a.ini"));
    checked.expect_err("the answers are invalid").to_string()
}

/// Reads and checks the valid answers after replacing the first occurrence of each `old` text;
/// returns the error as text.
fn error_with(edits: &[(&str, &str)]) -> String {
    let mut text = VALID.to_owned();
    for (old, new) in edits {
        assert!(text.contains(old), "{old:?} is in the example");
        text = text.replacen(old, new, 1);
    }
    error_of(text.as_bytes())
}

#[test]
fn files_that_cannot_be_parsed_are_rejected() {
    let two_megabytes = VALID.repeat(2_000_000 / VALID.len() + 1);
    assert_snapshot!(error_of(&two_megabytes.as_bytes()[..2_000_000]), @"a.ini: file: it has 2000000 bytes; allowed: at most 1572864");
    assert_snapshot!(error_of(b"[fleet]\nname = caf\xe9\n"), @"a.ini: file: byte 18 is not UTF-8; save the file as UTF-8");
    assert_snapshot!(error_of(b""), @"a.ini: file: it holds no answers; begin one with berylctl survey new");
    assert_snapshot!(error_of(b"[fleet\n"), @"a.ini: file: line 2 is not a line of an INI file; write [section], key = value, or a comment after ';' on its own line");
    assert_snapshot!(error_of(b"name = early\n[fleet]\nname arriaga\ngoal = goodput\n"), @r#"
    a.ini: file: "name" stands before the first section; move it below its [section]
    a.ini: [fleet] name arriaga: the line has no '='; write key = value
    "#);
    let duplicates = "[fleet]\nname = a\nname = b\n[fleet]\nname = c\n";
    assert_snapshot!(error_of(duplicates.as_bytes()), @r"
    a.ini: [fleet] name: the key is there twice; remove one of them
    a.ini: [fleet]: the section is there twice; join the two into one
    ");
}

#[test]
fn file_truncated_anywhere_is_rejected() {
    let last_line_end = VALID.trim_end().len();
    for end in 0..last_line_end {
        error_of(&VALID.as_bytes()[..end]);
    }
    let position = |text| VALID.find(text).unwrap();
    assert_snapshot!(error_of(&VALID.as_bytes()[..position("deadline_ms = 10000") + 16]), @"a.ini: file: its last line is not ended, so that it may be cut off; restore the whole file, or end the last line if it is whole");
    assert_snapshot!(error_of(&VALID.as_bytes()[..position("[operation rutas/stages]")]), @"a.ini: [operation rutas/stages]: the section is missing; add it, with berylctl survey new if the file was cut off");
}

#[test]
fn unknown_keys_and_invalid_values_are_reported_together() {
    let edits = [
        ("goal = goodput", "goal = speed\ncolour = green"),
        ("retry_budget = 3", "retry_budget = 5000"),
        ("slots = 20\n", "slots = 0\n"),
        ("connections = 230", "connections = 1,000"),
        (
            "refusal_means_not_run = no",
            "refusal_means_not_run = maybe",
        ),
        ("class = critical", "class = urgent"),
        ("deadline_ms = 800\n", "deadline_s = 0.8\n"),
        ("deadline_ms = 1000\n", "deadline_ms = 1 s\n"),
        ("objective_percent = 97", "objective_percent = 99.95"),
        (
            "calls = caja/quote, fleet/machines",
            "calls = caja/quote, caja/quote",
        ),
        ("[operation rutas/stages]", "[operation rutas/etapas]"),
        ("worth = 30", "worth = 99999999999999999999999"),
    ];
    assert_snapshot!(error_with(&edits), @r#"
    a.ini: [fleet] colour: unknown key; allowed: name, goal, data_centres, retry_budget, retry_percent, services
    a.ini: [fleet] goal: "speed" is not a goal; allowed: goodput, recovery
    a.ini: [fleet] retry_budget: "5000" is out of range; allowed: 0 to 1000 retries
    a.ini: [service caja] slots: "0" is out of range; allowed: 1 to 100000 slots
    a.ini: [service caja] connections: "1,000" is not a whole number; write digits only, in connections, 1 to 1000000
    a.ini: [service caja] refusal_means_not_run: "maybe" is not yes or no; allowed: yes, no
    a.ini: [operation caja/charge] deadline_s: unknown key; did you mean deadline_ms? allowed: class, worth, repeatable, entry, calls, deadline_ms, usual_ms, rate_per_s, objective_percent
    a.ini: [operation caja/charge] class: "urgent" is not a class; allowed: critical, standard, browse, bulk
    a.ini: [operation caja/charge] deadline_ms: the key is missing; add it, or run berylctl survey new
    a.ini: [operation fleet/browse] deadline_ms: "1 s" is not a whole number; write digits only, in milliseconds, 1 to 3600000
    a.ini: [operation fleet/browse] objective_percent: "99.95" is not a percentage; write a number from 0.1 to 100 with at most one decimal, such as 99.5
    a.ini: [operation reservas/availability] calls: "caja/quote" is there twice; remove one of them
    a.ini: [operation reservas/deposit] worth: "99999999999999999999999" is out of range; allowed: 0 to 1000000 units
    a.ini: [operation rutas/stages]: the section is missing; add it, with berylctl survey new if the file was cut off
    "#);
}

#[test]
fn sections_that_no_list_names_are_rejected() {
    let with_extra_sections = format!("{VALID}\n[service taller]\nslots = 3\n\n[\u{1b}[31m]\n");
    assert_snapshot!(error_of(with_extra_sections.as_bytes()), @r"
    a.ini: [service taller]: the section is not announced; allowed: [fleet], [service NAME] for each of its services, and [operation SERVICE/NAME] for each operation of a service; list the name there or remove the section
    a.ini: [\u{1b}[31m]: the section is not announced; allowed: [fleet], [service NAME] for each of its services, and [operation SERVICE/NAME] for each operation of a service; list the name there or remove the section
    ");
}

#[test]
fn contradictions_between_answers_are_rejected() {
    let repeatable = [(
        "repeatable = no\nentry = yes",
        "repeatable = yes\nentry = yes",
    )];
    assert_snapshot!(error_with(&repeatable), @"a.ini: [operation reservas/book] repeatable: it may be repeated, but its chain holds caja/charge, which may not; make this operation non-repeatable as well, or remove the call");
    let cycle = [(
        "calls =\ndeadline_ms = 400",
        "calls = reservas/availability\ndeadline_ms = 400",
    )];
    assert_snapshot!(error_with(&cycle), @r"
    a.ini: [operation fleet/machines] calls: calls go round in a cycle: fleet/machines -> reservas/availability -> fleet/machines; remove one of these calls
    a.ini: [operation fleet/machines] deadline_ms: 400 is shorter than the 2000 of reservas/availability, which it calls; raise it to at least 2000, or shorten deadline_ms of reservas/availability
    a.ini: [operation fleet/machines] usual_ms: 10 is shorter than the 40 of reservas/availability, which it calls; raise it to at least 40, or shorten usual_ms of reservas/availability
    ");
    let unknown = [("calls = caja/charge\n", "calls = caja/refund\n")];
    assert_snapshot!(error_with(&unknown), @r#"a.ini: [operation reservas/deposit] calls: "caja/refund" names no operation; write service/operation of an operation in this document"#);
    let deadlines = [("deadline_ms = 800\n", "deadline_ms = 1800\n")];
    assert_snapshot!(error_with(&deadlines), @r"
    a.ini: [operation reservas/book] deadline_ms: 1500 is shorter than the 1800 of caja/charge, which it calls; raise it to at least 1800, or shorten deadline_ms of caja/charge
    a.ini: [operation reservas/deposit] deadline_ms: 1500 is shorter than the 1800 of caja/charge, which it calls; raise it to at least 1800, or shorten deadline_ms of caja/charge
    ");
    let connections = [("connections = 230", "connections = 19")];
    assert_snapshot!(error_with(&connections), @"a.ini: [service caja] connections: 19 connections cannot fill 20 slots; raise connections to at least 20, or lower slots");
    let times = [("usual_ms = 600", "usual_ms = 10001")];
    assert_snapshot!(error_with(&times), @"a.ini: [operation rutas/pack] deadline_ms: 10000 is shorter than its usual_ms of 10001, so that no objective can be met; raise it to more than 10001");
    let rate = [(
        "usual_ms = 60\nrate_per_s = 0",
        "usual_ms = 60\nrate_per_s = 5",
    )];
    assert_snapshot!(error_with(&rate), @"a.ini: [operation caja/charge] rate_per_s: requests are said to enter where none may; write 0, or entry = yes");
}

#[test]
fn classes_without_capacity_and_unreachable_objectives_are_rejected() {
    let busy = [("rate_per_s = 250", "rate_per_s = 2500")];
    assert_snapshot!(error_with(&busy), @r"
    a.ini: [service caja] slots: class standard has no capacity: more important requests take 159 of 80 slots; raise slots of caja to at least 45 a target, add targets, or lower rate_per_s
    a.ini: [operation reservas/book] objective_percent: 99.9 cannot be met: the 80 slots of caja serve 50.3 percent of class critical; raise slots of caja to at least 40 a target, add targets, or lower rate_per_s
    a.ini: [operation reservas/deposit] objective_percent: 99.9 cannot be met: the 80 slots of caja serve 50.3 percent of class critical; raise slots of caja to at least 40 a target, add targets, or lower rate_per_s
    ");
    let browsing = [("rate_per_s = 4000", "rate_per_s = 20000")];
    assert_snapshot!(error_with(&browsing), @"a.ini: [operation fleet/browse] objective_percent: 97 cannot be met: the 640 slots of fleet serve 77.1 percent of class browse; raise slots of fleet to at least 206 a target, add targets, or lower rate_per_s");
}

#[test]
fn document_over_the_size_limit_is_rejected() {
    let names: Vec<String> = (0..9_000).map(|at| format!("o{at:04}")).collect();
    let operation = "class = bulk\nworth = 1\nrepeatable = yes\nentry = no\ncalls =\n\
                     deadline_ms = 9\nusual_ms = 1\nrate_per_s = 0\nobjective_percent = 99\n";
    let mut text = format!(
        "[fleet]\nname = big\ngoal = goodput\ndata_centres = a\nretry_budget = 1\n\
         retry_percent = 1\nservices = s\n[service s]\ntargets_per_data_centre = 1\nslots = 1\n\
         connections = 1\nrefusal_means_not_run = no\noperations = {}\n",
        names.join(",")
    );
    let sections = names
        .iter()
        .map(|name| format!("[operation s/{name}]\n{operation}"));
    text.extend(sections);
    let text = text.replace(" = ", "=");
    assert_snapshot!(text.len(), @"1224183");
    let answers = Answers::read("big.ini", text.as_bytes());
    let result = answers.and_then(|answers| answers.generate("big.ini", Revision::from(1)));
    assert_snapshot!(result.unwrap_err(), @"big.ini: [fleet] services: the document would have 1134163 bytes; the platform holds 1048576; split the fleet, or shorten names and lists of calls");
}

#[test]
fn highest_revision_has_no_successor() {
    let answers = Answers::read("a.ini", VALID.as_bytes()).unwrap();
    let result = answers.generate("a.ini", Revision::from(u64::MAX));
    assert_snapshot!(result.unwrap_err(), @"a.ini: file: no revision follows 18446744073709551615; give the revision that is published");
}

proptest! {
    #[test]
    fn arbitrary_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..600)) {
        let _ = Answers::read("a.ini", &bytes);
    }

    #[test]
    fn damaged_answers_never_panic(at in 0..VALID.len(), patch in "[ -~\n]{0,12}", cut in 0..40_usize) {
        let end = (at + cut).min(VALID.len());
        if VALID.is_char_boundary(at) && VALID.is_char_boundary(end) {
            let text = format!("{}{patch}{}", &VALID[..at], &VALID[end..]);
            let _ = Answers::read("a.ini", text.as_bytes()).and_then(|a| a.check("a.ini"));
            let _ = Draft::read("a.ini", text.as_bytes());
        }
    }
}
