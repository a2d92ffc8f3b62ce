//! Runs `berylctl survey`, and other commands with invalid arguments, as a process and compares the
//! output with snapshots.

mod common;

use std::fs;

use common::{Scratch, berylctl, berylctl_with};
use insta::assert_snapshot;

const EXAMPLE_ANSWERS: &str = include_str!("../../../examples/arriaga.ini");

/// Answers to every question for a fleet of one service.
const COMPLETE_ANSWERS: &str = "norte\n\nnorte-a, norte-b\n\n\ncaja\n\n20\n230\n\ncharge\n\
                     critical\n40\n\n\n\n800\n60\n100\n99.9\n";

#[test]
fn new_asks_resumes_and_checks() {
    let dir = Scratch::new("new");
    let path = dir.path("answers.ini");
    let (first, rest) = COMPLETE_ANSWERS.split_once("norte-a").unwrap();
    let stopped = berylctl_with(&["survey", "new", &path], &format!("{first}?\na b\n"));
    assert_snapshot!(dir.strip_dir(&stopped), @r#"
    An empty line takes the answer in brackets, ? explains, and the end of input stops; the same command goes on later.

    fleet
    What is the fleet called? Which comes first under overload, goodput or recovery? [goodput] Which data centres are there?   Names separated by commas, as in the settings of the instances.
    Which data centres are there?   [fleet] data_centres: "a b" is not a name; allowed: 1 to 63 ASCII letters, digits, '-', '_' and '.', beginning with a letter or digit
    Which data centres are there? 
    answers.ini: questions are left; the same command goes on from here
    exit 1
    "#);
    let completed = berylctl_with(&["survey", "new", &path], &format!("norte-a{rest}"));
    assert_snapshot!(dir.strip_dir(&completed), @r"
    An empty line takes the answer in brackets, ? explains, and the end of input stops; the same command goes on later.

    fleet
    Which data centres are there? How many retries may one request cost over its whole call chain? [3] How many retries per hundred first tries may one service send to another? [10] Which services are there? 
    service caja
    How many targets does it have in each data centre? [1] How many requests does one target run at a time? How many connections does one target accept? [20] Does status 503 from the target itself always mean that nothing was run? [no] Which operations does it have? 
    operation caja/charge
    How important is a request that enters here? [standard] What is one whole answer in time worth? [1] May it be run twice for one request? [no] May callers outside the fleet call it? [yes] Which operations does it call? [none] In how many milliseconds is an answer still of use? [1000] For how many milliseconds does one run usually hold a slot? [20] How many requests a second enter here at the busiest usual time? What share of requests is promised a whole answer in time? [99] answers.ini: sound; services: 1, operations: 1
    exit 0
    ");
    assert_snapshot!(fs::read_to_string(&path).unwrap(), @r"
    [fleet]
    name = norte
    goal = goodput
    data_centres = norte-a, norte-b
    retry_budget = 3
    retry_percent = 10
    services = caja

    [service caja]
    targets_per_data_centre = 1
    slots = 20
    connections = 230
    refusal_means_not_run = no
    operations = charge

    [operation caja/charge]
    class = critical
    worth = 40
    repeatable = no
    entry = yes
    calls =
    deadline_ms = 800
    usual_ms = 60
    rate_per_s = 100
    objective_percent = 99.9
    ");
}

#[test]
fn check_reports_faults_and_exits_with_2() {
    let dir = Scratch::new("check");
    let broken = EXAMPLE_ANSWERS.replace("slots = 20\n", "slots = many\n");
    let cases = [
        dir.write("sound.ini", EXAMPLE_ANSWERS.as_bytes()),
        dir.write("broken.ini", broken.as_bytes()),
        dir.write("cut.ini", &EXAMPLE_ANSWERS.as_bytes()[..1_000]),
        dir.write("latin.ini", b"[fleet]\nname = caf\xe9\n"),
        dir.write("large.ini", &vec![b';'; 2_000_000]),
        dir.path("missing.ini"),
        dir.path(""),
    ];
    let outputs = cases.map(|path| dir.strip_dir(&berylctl(&["survey", "check", &path])));
    assert_snapshot!(outputs.join("\n"), @r#"
    sound.ini: sound; services: 4, operations: 9
    exit 0
    broken.ini: [service caja] slots: "many" is not a whole number; write digits only, in slots, 1 to 100000
    exit 2
    cut.ini: file: its last line is not ended, so that it may be cut off; restore the whole file, or end the last line if it is whole
    exit 2
    latin.ini: file: byte 18 is not UTF-8; save the file as UTF-8
    exit 2
    large.ini: it has 2000000 bytes; allowed: at most 1572864
    exit 2
    missing.ini: No such file or directory (os error 2)
    exit 2
    : Is a directory (os error 21)
    exit 2
    "#);
}

#[test]
fn generate_writes_the_whole_document_or_nothing() {
    let dir = Scratch::new("generate");
    let sound = dir.write("sound.ini", EXAMPLE_ANSWERS.as_bytes());
    let broken = dir.write(
        "broken.ini",
        EXAMPLE_ANSWERS
            .replace("caja/charge", "caja/refund")
            .as_bytes(),
    );
    let out = dir.path("document.json");
    let args = ["survey", "generate", "--base", "41", "--out", &out];
    assert_snapshot!(dir.strip_dir(&berylctl(&[&args[..], &[&sound]].concat())), @r"
    document.json: revision 42, 1742 bytes, digest a404e03b0bcbb8d4
    exit 0
    ");
    let document = fs::read(&out).unwrap();
    let printed = berylctl(&["survey", "generate", "--base", "41", &sound]);
    assert!(printed.contains(std::str::from_utf8(&document).unwrap()));
    assert_snapshot!(dir.strip_dir(&berylctl(&[&args[..], &[&broken]].concat())), @r"
    broken.ini: [operation caja/charge]: the section is missing; add it, with berylctl survey new if the file was cut off
    exit 2
    ");
    assert_eq!(fs::read(&out).unwrap(), document);
    assert_eq!(
        dir.file_names(),
        ["broken.ini", "document.json", "sound.ini"]
    );
}

#[test]
fn diff_lists_changes() {
    let dir = Scratch::new("diff");
    let old = dir.write("old.ini", EXAMPLE_ANSWERS.as_bytes());
    let new = dir.write(
        "new.ini",
        EXAMPLE_ANSWERS
            .replace("retry_budget = 3", "retry_budget = 0")
            .as_bytes(),
    );
    assert_snapshot!(berylctl(&["survey", "diff", &old, &new]), @r"
    fleet: one request may now cost 0 retries over its whole chain instead of 3
    exit 0
    ");
    assert_snapshot!(berylctl(&["survey", "diff", &old, &old]), @r"
    nothing changes
    exit 0
    ");
}

#[test]
fn invalid_command_lines_exit_with_2() {
    let cases: [&[&str]; 9] = [
        &[],
        &["surve"],
        &["survey", "generate", "answers.ini"],
        &["survey", "generate", "--base", "-1", "answers.ini"],
        &["status"],
        &["call", "localhost", "caja/charge"],
        &["report"],
        &["load", "--seconds", "0", "answers.ini", "127.0.0.1:1"],
        &["demo", "--scale", "200"],
    ];
    let outputs = cases.map(berylctl);
    assert_snapshot!(outputs.join("\n"), @r"
    Error: expected `COMMAND ...`, pass `--help` for usage information
    exit 2
    Error: no such command or positional: `surve`, did you mean `survey`?
    exit 2
    Error: expected `--base=REVISION`, pass `--help` for usage information
    exit 2
    Error: `--base` requires an argument `REVISION`, got a flag `-1`, try `--base=-1` to use it as an argument
    exit 2
    Error: name at least one admin listener, such as 127.0.0.1:7005
    exit 2
    Error: couldn't parse `localhost`: invalid socket address syntax
    exit 2
    Error: check failed: name at least one admin listener or --history file
    exit 2
    Error: couldn't parse `0`: allowed: 1 to 86400
    exit 2
    Error: couldn't parse `200`: allowed: 1 to 100
    exit 2
    ");
}
