//! `berylctl explain` on logs of daemons.

mod common;

use common::small_fleet::ANSWERS;
use common::{Scratch, berylctl};
use insta::assert_snapshot;

/// Log lines of the daemons of a demo, and one line that is not a log line.
const LOG: &str = r#"
{"instance":"caja-norte-a-1","level":"debug","listener":"mesh","message":"decided","outcome":"answered","reason":"","request_id":"d84a7a3218f8f3e24dfb93f5e08d444a","status":200,"time_ms":1796354636369,"took_us":8258}
2 daemons on loopback at 100 % of the sizes in the answers
{"instance":"reservas-norte-a-1","level":"debug","listener":"local","message":"decided","outcome":"answered","reason":"","request_id":"d84a7a3218f8f3e24dfb93f5e08d444a","status":200,"time_ms":1796354636369,"took_us":9212}
{"instance":"reservas-norte-a-1","level":"debug","listener":"callers","message":"decided","outcome":"answered","reason":"","request_id":"d84a7a3218f8f3e24dfb93f5e08d444a","status":200,"time_ms":1796354636369,"took_us":16338}
{"instance":"reservas-norte-a-1","level":"debug","listener":"mesh","message":"decided","outcome":"not-run","reason":"overloaded","request_id":"129d71671b4fed1420bc173f4d0eb0bf","status":429,"time_ms":1796354637004,"took_us":40}
{"instance":"caja-norte-a-1","level":"debug","listener":"callers","message":"decided","outcome":"not-run","reason":"overloaded","request_id":"129d71671b4fed1420bc173f4d0eb0bf","status":429,"time_ms":1796354637005,"took_us":2412}
"#;

const ANSWERED: &str = "d84a7a3218f8f3e24dfb93f5e08d444a";
const SHED: &str = "129d71671b4fed1420bc173f4d0eb0bf";

#[test]
fn lists_decisions_by_start_time() {
    let dir = Scratch::new("explain");
    let path = dir.write("a.log", LOG.as_bytes());
    assert_snapshot!(berylctl(&["explain", "--log", &path, ANSWERED]), @r"
    +0.0 ms  reservas-norte-a-1  from a caller: answered (status 200 after 16.3 ms)
    +7.1 ms  reservas-norte-a-1  from its own target: answered (status 200 after 9.2 ms)
    +8.0 ms  caja-norte-a-1  from another daemon: answered (status 200 after 8.2 ms)
    exit 0
    ");
    assert_snapshot!(berylctl(&["explain", "--log", &path, SHED]), @r"
    +0.0 ms  caja-norte-a-1  from a caller: not run, overloaded: more important work fills the slots and the queue (status 429 after 2.4 ms)
    +1.3 ms  reservas-norte-a-1  from another daemon: not run, overloaded: more important work fills the slots and the queue (status 429 after 0.0 ms)
    exit 0
    ");
}

#[test]
fn prints_unknown_messages_and_the_count_of_suppressed_lines() {
    let dir = Scratch::new("explain-other");
    let log = format!(
        "{{\"time_ms\":1000,\"message\":\"routed\",\"instance\":\"a\\u001b[31m\",\"request_id\":\"{SHED}\",\
         \"to\":\"caja-a\"}}\n\
         {{\"level\":\"warn\",\"message\":\"lines suppressed\",\"count\":7}}\n{{\"time_ms\":"
    );
    let path = dir.write("a.log", log.as_bytes());
    assert_snapshot!(berylctl(&["explain", "--log", &path, SHED]), @r"
    +0.0 ms  a\u{1b}[31m  routed  to=caja-a
    7 lines were left out of these logs under load; a decision may be missing
    exit 0
    ");
    let other = "f".repeat(32);
    assert_snapshot!(berylctl(&["explain", "--log", &path, &other]), @r"
    7 lines were left out of these logs under load; a decision may be missing
    no line about ffffffffffffffffffffffffffffffff; daemons log decisions at level debug
    exit 1
    ");
    assert_snapshot!(berylctl(&["explain", "--log", &path, "a b"]), @r"
    Error: couldn't parse `a b`: not a request id; allowed: 1 to 256 printable ASCII characters without spaces
    exit 2
    ");
}

/// Log of a daemon on the platform in a file of its own.
const ORIGIN: &str = r#"{"level":"info","message":"started","name":"desk-1","service":"s1","time_ms":1000}
{"class":"critical","id":"5f1","is_call":"false","arrivals":0,"level":"info","message":"outcome unknown","route":"book","service":"till","target_id":"i-9","why":"the daemon beside the target doesn't know","time_ms":2040}
{"class":"browse","id":"77a","level":"info","message":"request shed","pressure_age_ms":12,"pressure_thousandths":"1510","retry_after_ms":180,"route":"look","short_of":"till","under_way":4,"window":"2.7956888","time_ms":2050}
{"asked":2,"arrivals":0,"class":"browse","held_ms":9,"id":"78b","level":"info","message":"request refused","reason":"evicted","retry_after_ms":180,"route":"look","time_ms":2050}
{"id":"80d","is_call":"false","level":"info","held":"00000000000000ff crashed i-1 by till-1 9 s ago, i-2 by till-2 7 s ago","may_have_run":"true","message":"request held back","retry_after_ms":53000,"route":"book","time_ms":2060}
{"held_ms":700,"id":"91e","is_call":"false","is_whole":"false","level":"info","message":"request refused before the exit","retry_after_ms":500,"route":"book","time_ms":2070}
{"held_ms":3100,"id":"92f","is_call":"false","level":"info","message":"request answered before the exit","route":"book","was_sent":"true","time_ms":2080}
"#;
/// Log of another daemon as a collector writes it: time and process name before each line.
const COLLECTED: &str = r#"not a line of a daemon
   2.0391 till-3 {"id":"5f1","level":"info","message":"outcome unknown beside the target","route":"book","why":"the answer broke off","time_ms":2039}
"#;

#[test]
fn marks_the_line_that_is_nearest_to_the_cause() {
    let dir = Scratch::new("explain-platform");
    let origin = dir.write("origin.log", ORIGIN.as_bytes());
    let collected = dir.write("collected.log", COLLECTED.as_bytes());
    let explain = |id: &str| berylctl(&["explain", "--log", &origin, "--log", &collected, id]);
    assert_snapshot!(explain("5f1"), @r"
    +0.0 ms  till-3  book: no whole answer of the target: the answer broke off  <- decisive
    +1.0 ms  desk-1  book: may have run in i-9: the daemon beside the target doesn't know
    exit 0
    ");
    assert_snapshot!(explain("77a"), @r"
    +0.0 ms  desk-1  look browse: shed before it began, as till has 1510 thousandths of the work that it can run (word of 12 ms ago) and 4 of 2.8 such requests are under way from here; may come back after 180 ms  <- decisive
    exit 0
    ");
    assert_snapshot!(explain("78b"), @r"
    +0.0 ms  desk-1  look browse: refused after 9 ms, evicted: a more important arrival took its place in the queue; 2 daemons asked, 0 targets reached; may come back after 180 ms  <- decisive
    exit 0
    ");
    assert_snapshot!(explain("80d"), @r"
    +0.0 ms  desk-1  book: not sent again, as 00000000000000ff crashed i-1 by till-1 9 s ago, i-2 by till-2 7 s ago; may come back after 53000 ms  <- decisive
    exit 0
    ");
    assert_snapshot!(explain("91e"), @r"
    +0.0 ms  desk-1  book: refused by a daemon that stops after 700 ms, before its body had ended; may come back after 500 ms  <- decisive
    exit 0
    ");
    assert_snapshot!(explain("92f"), @r"
    +0.0 ms  desk-1  book: the daemon stopped after 3100 ms, and it may have run  <- decisive
    exit 0
    ");
}

#[test]
fn skips_a_missing_log() {
    let dir = Scratch::new("explain-missing");
    let origin = dir.write("origin.log", ORIGIN.as_bytes());
    let printed = berylctl(&["explain", "--log", "no/such.log", "--log", &origin, "77a"]);
    assert!(
        printed.contains("left out: ") && printed.contains("no/such.log"),
        "{printed}"
    );
    assert!(printed.contains("shed before it began"), "{printed}");
}

/// Returns the id of a request whose target called another service with success.
fn forwarded_request_id(log: &str) -> &str {
    let line = log.lines().find(|line| {
        line.contains("\"listener\":\"local\"") && line.contains("\"outcome\":\"answered\"")
    });
    let (_, rest) = line.unwrap().split_once("\"request_id\":\"").unwrap();
    &rest[..32]
}

#[test]
fn follows_a_request_through_the_daemons_of_a_demo() {
    let dir = Scratch::new("explain-demo");
    let answers = dir.write("small.ini", ANSWERS.as_bytes());
    let log = berylctl(&[
        "demo",
        "--log",
        "--answers",
        &answers,
        "--scale",
        "100",
        "--calm",
        "1",
        "--seconds",
        "1",
        "--surge",
        "1",
    ]);
    let path = dir.write("demo.log", log.as_bytes());
    let printed = berylctl(&["explain", "--log", &path, forwarded_request_id(&log)]);
    let hops: Vec<String> = printed
        .lines()
        .filter_map(|line| line.split_once(" ms  "))
        .filter_map(|(_, hop)| Some(hop.split_once(": answered (status 200")?.0.to_owned()))
        .collect();
    assert_eq!(hops.len(), 3, "{printed}");
    for hop in [
        "reservas-norte-a-1  from a caller",
        "reservas-norte-a-1  from its own target",
        "caja-norte-a-1  from another daemon",
    ] {
        assert!(
            hops.iter().any(|found| found == hop),
            "{hop} in:\n{printed}"
        );
    }
    assert!(printed.ends_with("exit 0"), "{printed}");
}
