//! `status`, `call` and `report` against stub daemons with fixed responses.

mod common;

use std::io::{BufRead, BufReader, Write};
use std::process::Command;
use std::time::{Duration, Instant};

use common::{Scratch, berylctl, http_response, serve_responses};
use insta::assert_snapshot;
use model::Class;
use report::{Ending, History, Series};

const TICKET_REQUIRED: &str = "berylhead-ticket: t1\r\nberylhead-outcome: not-run\r\n\
                      berylhead-reason: ticket-required\r\n";

fn status_response(instance: &str, revision: u32, leaving: bool) -> String {
    let body = format!(
        r#"{{"instance":"{instance}","service":"caja","data_centre":"norte-a","region":"norte",
            "ready":true,"leaving":{leaving},"revision":{revision},"limit":20,"in_flight":7,
            "queued":2,"queue_delay_us":1350,"peers":15,"shed":{{"bulk":12,"browse":3}}}}"#
    );
    http_response("200 OK", "", &body)
}

#[test]
fn status_prints_a_table_and_lists_daemons_that_fail_to_answer() {
    let (first, _served) = serve_responses(vec![status_response("caja-b", 41, true)]);
    let (second, _served) = serve_responses(vec![status_response(r"caja-\u001b[31m", 42, false)]);
    let (broken, _served) = serve_responses(vec![http_response("200 OK", "", "{")]);
    let admins = [first, second, broken].map(|address| address.to_string());
    let printed = berylctl(&["status", &admins[0], &admins[1], &admins[2]]);
    assert_snapshot!(printed.replace(&admins[2], "ADMIN"), @r"
    INSTANCE         SERVICE  DATA CENTRE  STATE    REVISION  IN FLIGHT  LIMIT  QUEUED  DELAY MS  PEERS  SHED BULK/BROWSE/STANDARD/CRITICAL
    caja-\u{1b}[31m  caja     norte-a      ready    42        7          20     2       1.3       15     12/3/-/-
    caja-b           caja     norte-a      leaving  41        7          20     2       1.3       15     12/3/-/-
    ADMIN: the status is not understood: EOF while parsing an object at line 1 column 1
    1 of 3 daemons did not answer
    exit 1
    ");
}

#[test]
fn held_lists_each_request_once_and_releases_one() {
    let list = |ages: [u32; 2]| {
        let [first, second] = ages;
        let body = format!(
            "00000000000000ff crashed i-1 by till-1 {first} s ago, i-2 by till-2 {second} s ago\n"
        );
        http_response("200 OK", "", &body)
    };
    let (first, _served) = serve_responses(vec![list([9, 7])]);
    let (second, _served) = serve_responses(vec![list([10, 7])]);
    let admins = [first, second].map(|address| address.to_string());
    assert_snapshot!(berylctl(&["held", &admins[0], &admins[1]]), @r"
    00000000000000ff crashed i-1 by till-1 10 s ago, i-2 by till-2 7 s ago
    exit 0
    ");
    let (other, _served) = serve_responses(vec![http_response("404 Not Found", "", "")]);
    let (knows, _served) = serve_responses(vec![http_response("204 No Content", "", "")]);
    let admins = [other, knows].map(|address| address.to_string());
    let release = [
        "held",
        "--release",
        "00000000000000ff",
        &admins[0],
        &admins[1],
    ];
    assert_snapshot!(berylctl(&release).replace(&admins[1], "ADMIN"), @r"
    ADMIN released 00000000000000ff and tells the others
    exit 0
    ");
    assert_snapshot!(berylctl(&["held", "--release", "x", "127.0.0.1:1"]), @r"
    Error: `x`: not a fingerprint; allowed: 16 hexadecimal digits
    exit 2
    ");
}

#[test]
fn status_filters_json_by_data_centre() {
    let (daemon, _served) = serve_responses(vec![
        status_response("caja-a", 42, false),
        status_response("caja-a", 42, false),
    ]);
    let daemon = daemon.to_string();
    let printed = berylctl(&["status", "--json", "--data-centre", "norte-a", &daemon]);
    assert_snapshot!(printed.replace(&daemon, "ADMIN"), @r#"
    [
      {
        "admin": "ADMIN",
        "status": {
          "instance": "caja-a",
          "service": "caja",
          "data_centre": "norte-a",
          "ready": true,
          "leaving": false,
          "revision": 42,
          "limit": 20,
          "in_flight": 7,
          "queued": 2,
          "queue_delay_us": 1350,
          "peers": 15,
          "shed": {
            "browse": 3,
            "bulk": 12
          }
        }
      }
    ]
    exit 0
    "#);
    assert_snapshot!(berylctl(&["status", "--json", "--data-centre", "sur", &daemon]), @r"
    []
    exit 0
    ");
}

#[test]
fn call_fetches_a_ticket_and_uses_it_once() {
    let answered = "berylhead-outcome: answered\r\nberylhead-instance: caja-a\r\n";
    let (daemon, served) = serve_responses(vec![
        http_response("428 Precondition Required", TICKET_REQUIRED, ""),
        http_response("200 OK", answered, "charged"),
    ]);
    let daemon = daemon.to_string();
    let printed = berylctl(&[
        "call",
        "--key",
        "k1",
        "--deadline-ms",
        "60000",
        &daemon,
        "caja/charge",
    ]);
    assert_snapshot!(printed, @r"
    charged
    status: 200
    outcome: answered
    instance: caja-a
    ticket: t1
    exit 0
    ");
    let sent = served.join().unwrap().join("\n\n");
    // Each send states the time left until the deadline, which varies between runs.
    let deadline_ms = |line: &str| {
        line.strip_prefix("berylhead-deadline-ms: ")?
            .parse::<u64>()
            .ok()
    };
    let deadlines: Vec<u64> = sent.lines().filter_map(deadline_ms).collect();
    assert!(
        deadlines.len() == 2
            && deadlines[0] <= 60_000
            && deadlines[1] <= deadlines[0]
            && deadlines[1] > 0,
        "{deadlines:?}"
    );
    let masked: Vec<String> = sent
        .lines()
        .map(|line| match deadline_ms(line) {
            Some(_) => "berylhead-deadline-ms: LEFT".to_owned(),
            None => line.replace(&daemon, "DAEMON"),
        })
        .collect();
    assert_snapshot!(masked.join("\n"), @r"
    POST /caja/charge HTTP/1.1
    berylhead-deadline-ms: LEFT
    berylhead-attempt: 0
    idempotency-key: k1
    host: DAEMON

    POST /caja/charge HTTP/1.1
    berylhead-deadline-ms: LEFT
    berylhead-attempt: 0
    idempotency-key: k1
    berylhead-ticket: t1
    host: DAEMON
    ");
}

#[test]
fn call_explains_each_outcome() {
    let refused = "berylhead-outcome: not-run\r\nberylhead-reason: overloaded\r\n\
                   retry-after-ms: 730\r\n";
    let invalid = "berylhead-outcome: not-run\r\nberylhead-reason: invalid\r\n";
    let unknown = "berylhead-outcome: unknown\r\n";
    let (daemon, _served) = serve_responses(vec![
        http_response("429 Too Many Requests", refused, ""),
        http_response("404 Not Found", invalid, ""),
        http_response("504 Gateway Timeout", unknown, ""),
        http_response("200 OK", "", "hello"),
        "HTTP/1.1 200 OK\r\nberylhead-outcome: answered\r\ncontent-length: 10\r\n\r\ncut".into(),
    ]);
    let daemon = daemon.to_string();
    let printed: Vec<String> = (0..5)
        .map(|_| berylctl(&["call", &daemon, "fleet/browse"]).replace(&daemon, "DAEMON"))
        .collect();
    assert_snapshot!(printed.join("\n\n"), @r"
    status: 429
    outcome: not-run
    reason: overloaded
    retry_after_ms: 730
    the call was not run; it is safe to send it again
    exit 1

    status: 404
    outcome: not-run
    reason: invalid
    the call was not run, and will not be until it is corrected
    exit 1

    status: 504
    outcome: unknown
    it is not known whether the call ran; a non-repeatable call must not be sent again under another key
    exit 1

    status: 200
    outcome: unknown
    the answer says no outcome: is this the callers listener of a daemon?
    exit 1

    status: 200
    outcome: unknown
    it is not known whether the call ran; a non-repeatable call must not be sent again under another key
    exit 1
    ");
}

#[test]
fn call_prints_the_body_byte_for_byte() {
    let body = [0xff, 0x00, 0x1b, b'\n', 0xc3];
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let daemon = listener.local_addr().unwrap().to_string();
    let served = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let head = BufReader::new(stream.try_clone().unwrap()).lines();
        assert!(head.map(Result::unwrap).any(|line| line.is_empty()));
        let head = b"HTTP/1.1 200 OK\r\nberylhead-outcome: answered\r\nconnection: close\r\n\
            content-length: 5\r\n\r\n";
        stream.write_all(&[&head[..], &body].concat()).unwrap();
    });
    let output = Command::new(env!("CARGO_BIN_EXE_berylctl"))
        .args(["call", &daemon, "rutas/pack"])
        .output()
        .unwrap();
    served.join().unwrap();
    assert_eq!(output.stdout, body);
}

#[test]
fn call_reports_an_invalid_path_and_an_unreachable_daemon() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let daemon = listener.local_addr().unwrap().to_string();
    drop(listener);
    let printed = berylctl(&["call", &daemon, "fleet/browse"]).replace(&daemon, "DAEMON");
    assert_snapshot!(printed, @r"
    outcome: not-run
    reason: no-instance
    DAEMON could not be reached; nothing was run
    exit 1
    ");
    let printed: Vec<String> = ["fleet", "/fleet/", "fleet/bro wse"]
        .iter()
        .map(|path| berylctl(&["call", &daemon, path]))
        .collect();
    assert_snapshot!(printed.join("\n"), @r"
    fleet: not SERVICE/OPERATION
    exit 2
    fleet/: not SERVICE/OPERATION
    exit 2
    the path cannot be part of a request: invalid uri character
    exit 2
    ");
}

#[test]
fn report_reads_daemons_and_files_and_writes_pages() {
    let start = Instant::now();
    let mut history = History::new(start);
    let book = history.register(Series {
        class: Class::Critical,
        service: "reservas".into(),
        operation: "book".into(),
        objective_permille: 990,
    });
    for second in 0..20 {
        history.record(
            book,
            40,
            Ending::InTime,
            start + Duration::from_secs(second),
        );
    }
    let export = history.export(start + Duration::from_secs(20));
    let json = serde_json::to_string(&export).unwrap();
    let dir = Scratch::new("report");
    let saved = dir.write("history.json", json.as_bytes());
    let (daemon, _served) = serve_responses(vec![
        http_response("200 OK", "", &json),
        http_response("404 Not Found", "", ""),
    ]);
    let (daemon, html) = (daemon.to_string(), dir.path("burn.html"));
    let args = [
        "report",
        "--html",
        &html,
        "--history",
        &saved,
        &daemon,
        &daemon,
    ];
    assert_snapshot!(berylctl(&args).replace(&daemon, "ADMIN"), @r"
    2 daemons read; they remember 20 s
    not read: ADMIN: /history is answered with status 404
    5 min is covered for 20 s only: 2 of 2 daemons remember less
    1 h is covered for 20 s only: 2 of 2 daemons remember less
    6 h is covered for 20 s only: 2 of 2 daemons remember less
    3 d is covered for 20 s only: 2 of 2 daemons remember less

                    requests  goodput  budget left  burn 5 min  burn 1 h  burn 6 h  burn 3 d
    all requests          40  100.0 %      100.0 %        0.00      0.00      0.00      0.00
    class critical        40  100.0 %      100.0 %        0.00      0.00      0.00      0.00
    reservas/book         40  100.0 %      100.0 %        0.00      0.00      0.00      0.00

    No overload in the last hour.
    exit 0
    ");
    assert!(
        std::fs::read_to_string(&html)
            .unwrap()
            .contains("reservas/book")
    );
    assert_eq!(dir.file_names(), ["burn.html", "history.json"]);
}
