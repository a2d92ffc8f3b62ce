//! Daemons on the platform as real processes: what their logs tell, and what callers see while
//! they are killed, restarted, stopped and cut off from the store.

#[allow(dead_code, reason = "shared with the platform's own tests")]
#[path = "../../../platform/tests/support/mod.rs"]
mod support;

use std::io::Write;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use serde_json::Value;
use standin::scripted_target::{complete_response, response_bytes};
use standin::{Action, ReceivedRequest, ScriptedTarget, Store, StoreMode};
use support::{Machine, config, count_with_id, entry, request_head, send_raw, wait_until};

const DAEMON: &str = env!("CARGO_BIN_EXE_daemon-under-test");

/// A daemon as a process of its own; killed when dropped.
struct Process {
    machine: Machine,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

impl Process {
    fn start(machine: Machine, service: &str, store: &Store) -> Self {
        let (settings, log) = files(machine, service, store);
        let output = std::fs::File::create(&log).expect("a file for the log");
        let child = spawn(&settings, output.into());
        Process {
            machine,
            settings,
            log,
            child,
        }
    }

    fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("/bin/kill").arg(signal).arg(pid).status();
        assert!(sent.is_ok_and(|status| status.success()), "{signal}");
    }

    /// Kills the process and starts another one in its place.
    fn restart(&mut self) {
        self.child.kill().expect("a child");
        self.child.wait().expect("a child");
        let log = std::fs::File::options().append(true).open(&self.log);
        self.child = spawn(&self.settings, log.expect("the log").into());
    }

    /// True if a line with this message was logged.
    fn logged(&self, message: &str) -> bool {
        let log = std::fs::read_to_string(&self.log).expect("the log");
        log.contains(&format!(r#""message":"{message}""#))
    }

    /// Messages that were logged about a request so far.
    fn messages(&self, id: &str) -> Vec<String> {
        let log = std::fs::read_to_string(&self.log).expect("the log");
        let lines = log
            .lines()
            .filter_map(|line| serde_json::from_str(line).ok());
        lines
            .filter(|line: &Value| line["id"] == id)
            .filter_map(|line| line["message"].as_str().map(str::to_owned))
            .collect()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
        let _ = std::fs::remove_file(&self.log);
    }
}

fn spawn(settings: &PathBuf, output: Stdio) -> Child {
    Command::new(DAEMON)
        .arg("--platform")
        .env(platform::settings::PATH_VARIABLE, settings)
        .stdin(Stdio::null())
        .stdout(output)
        .spawn()
        .expect("a daemon that starts")
}

/// Paths of the settings, which are written, and of the log.
fn files(machine: Machine, service: &str, store: &Store) -> (PathBuf, PathBuf) {
    let (target, mesh) = (machine.target(), machine.mesh());
    let stem = format!("berylhead-{}-{}", std::process::id(), target.ip());
    let path = |end: &str| std::env::temp_dir().join(format!("{stem}{end}"));
    let text = format!(
        "self: {{ node: \"{stem}\", ip: \"{}\", zone: \"a\", appAddr: \"{target}\", service: \"{service}\" }}\n\
         network:\n  listen: {{ outbound: \"{}\", ready: \"{}\" }}\n  portRange: [{}, {}]\n\
         platform:\n  platform: {{ address: \"{}\" }}\n\
         terms:\n  bounds: {{ drain: \"2s\", grace: \"6s\", configApply: \"2s\", retryBudgetRatio: 0.2, \
         budgetWindow: \"10s\", retryBudgetSlack: 48 }}\n",
        target.ip(),
        machine.outbound(),
        machine.ready(),
        mesh.port(),
        mesh.port() + 15,
        store.address(),
    );
    let settings = path(".yaml");
    std::fs::write(&settings, text).expect("settings");
    (settings, path(".log"))
}

/// An origin and a daemon beside a target.
struct Fleet {
    store: Store,
    origin: Process,
    beside: Process,
    target: ScriptedTarget,
}

async fn fleet(act: impl Fn(&ReceivedRequest) -> Action + Send + Sync + 'static) -> Fleet {
    let (here, there) = (Machine::new(), Machine::new());
    let store = Store::start().await.expect("a port");
    let target = ScriptedTarget::start(there.target(), act)
        .await
        .expect("a port");
    store.put("servers/i-1", entry(there, "ready"));
    store.put("op/config", config(1));
    let fleet = Fleet {
        origin: Process::start(here, "desk", &store),
        beside: Process::start(there, "s1", &store),
        store,
        target,
    };
    wait_until("the path is served", || fleet.serves("warm")).await;
    fleet
}

impl Fleet {
    async fn ask(&self, route: &str, id: &str) -> String {
        let request = format!("{}\r\n", request_head(route, id));
        send_raw(self.origin.machine.outbound(), &request).await
    }

    async fn serves(&self, id: &str) -> bool {
        self.ask("read", id).await.starts_with("HTTP/1.1 200 ")
    }
}

/// Breaks off, refuses, holds or answers by the id of the request.
fn by_id(seen: &ReceivedRequest) -> Action {
    let id = seen.header("berylhead-request-id");
    match id {
        "broken" => {
            let mut bytes = response_bytes(id, "200 OK", "the answer");
            bytes.truncate(bytes.len() - 3);
            Action::WriteAndClose(bytes)
        }
        "refused" => {
            let text = format!(
                "HTTP/1.1 503 Busy\r\nberylhead-request-id: {id}\r\nberylhead-not-executed: 1\r\n\
                 content-length: 0\r\n\r\n"
            );
            Action::Write(text.into_bytes())
        }
        "held" => Action::Hang,
        _ => complete_response(seen, "200 OK", "x"),
    }
}

#[tokio::test]
async fn the_logs_alone_tell_why_a_request_failed() {
    let fleet = fleet(by_id).await;
    for (id, status, at_origin, at_target) in [
        ("refused", "503", "request refused", None),
        (
            "broken",
            "502",
            "outcome unknown",
            Some("outcome unknown beside the target"),
        ),
        ("held", "504", "request timed out", None),
    ] {
        let answer = fleet.ask("book", id).await;
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status} ")),
            "{answer}"
        );
        wait_until("the origin's line is written", || async {
            fleet.origin.messages(id) == [at_origin]
        })
        .await;
        let at_target: Vec<&str> = at_target.into_iter().collect();
        wait_until("the other line is written", || async {
            fleet.beside.messages(id) == at_target
        })
        .await;
    }
}

#[tokio::test]
async fn a_target_that_fails_is_named_once_until_it_answers_again() {
    let fleet = fleet(by_id).await;
    for _ in 0..8 {
        fleet.ask("book", "refused").await;
    }
    wait_until("it is named", || async {
        fleet.origin.logged("target failing")
    })
    .await;
    assert!(!fleet.origin.logged("target answers again"));
    wait_until("it answers again", || async {
        fleet.ask("book", "fine").await;
        fleet.origin.logged("target answers again")
    })
    .await;
    let log = std::fs::read_to_string(&fleet.origin.log).expect("the log");
    assert_eq!(log.matches("target failing").count(), 1, "{log}");
}

#[tokio::test]
async fn nobody_who_reads_the_log_holds_up_no_request() {
    let mut fleet = fleet(by_id).await;
    // A pipe that is full already, so that no line at all gets through.
    let (_reader, mut writer) = std::io::pipe().expect("a pipe");
    let full = writer.try_clone().expect("a pipe");
    let filling = std::thread::spawn(move || while writer.write_all(&[b'x'; 4_096]).is_ok() {});
    std::thread::sleep(Duration::from_millis(200));
    assert!(!filling.is_finished(), "it blocks on the full pipe");
    fleet.origin.child.kill().expect("a child");
    fleet.origin.child.wait().expect("a child");
    fleet.origin.child = spawn(&fleet.origin.settings, full.into());
    wait_until("the path is served", || fleet.serves("again")).await;
    for n in 0..50 {
        let answer = fleet.ask("book", "refused").await;
        assert!(answer.starts_with("HTTP/1.1 503 "), "{n}: {answer}");
    }
    assert!(fleet.serves("after").await);
}

#[tokio::test]
async fn a_killed_daemon_runs_nothing_twice_and_is_back_after_its_restart() {
    let mut fleet = fleet(by_id).await;
    for round in 0..3 {
        let ids: Vec<String> = (0..20).map(|n| format!("{round}-{n}")).collect();
        let asked = futures_util::future::join_all(ids.iter().map(|id| fleet.ask("book", id)));
        let killed = async {
            tokio::time::sleep(Duration::from_millis(5 * round)).await;
            fleet.beside.signal("-KILL");
        };
        let (answers, ()) = tokio::join!(asked, killed);
        for (id, answer) in ids.iter().zip(answers) {
            let runs = count_with_id(&fleet.target.requests(), id);
            assert!(runs <= 1, "{id} ran {runs} times");
            assert!(!answer.is_empty(), "{id} got no answer");
            assert!(
                runs == 0 || !answer.starts_with("HTTP/1.1 503 "),
                "{id} ran"
            );
            assert!(
                runs == 1 || !answer.starts_with("HTTP/1.1 200 "),
                "{id} did not run"
            );
        }
        fleet.beside.restart();
        wait_until("the path is served", || fleet.serves("again")).await;
    }
}

#[tokio::test]
async fn daemons_go_on_without_the_store_and_teach_one_that_starts() {
    let mut fleet = fleet(by_id).await;
    fleet.store.set_mode(StoreMode::Silent);
    assert!(fleet.serves("without").await);
    fleet.beside.restart();
    wait_until("the new process serves its target", || {
        fleet.serves("taught")
    })
    .await;
    fleet.store.set_mode(StoreMode::Serving);
    fleet
        .store
        .put("op/config", config(2).replace("/read/", "/moved/"));
    wait_until("what was published meanwhile is in force", || async {
        fleet
            .ask("moved", "later")
            .await
            .starts_with("HTTP/1.1 200 ")
    })
    .await;
}

/// Callers go on asking over new connections until the process is gone; their requests take a
/// while, so that some are in flight at any moment.
#[tokio::test(flavor = "multi_thread", worker_threads = 8)]
async fn a_daemon_that_is_told_to_stop_loses_no_request() {
    let mut fleet = fleet(|seen| {
        std::thread::sleep(Duration::from_millis(30));
        complete_response(seen, "200 OK", "x")
    })
    .await;
    let outbound = fleet.origin.machine.outbound();
    let ended = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(AtomicU32::new(0));
    let callers: Vec<_> = (0..4)
        .map(|caller| {
            let (ended, sent) = (Arc::clone(&ended), Arc::clone(&sent));
            tokio::spawn(async move {
                let mut lost = Vec::new();
                while !ended.load(Ordering::Relaxed) {
                    let id = format!("c{caller}-{}", sent.fetch_add(1, Ordering::Relaxed));
                    let answer =
                        send_raw(outbound, &format!("{}\r\n", request_head("book", &id))).await;
                    if answer.is_empty() {
                        lost.push(id);
                    }
                    tokio::time::sleep(Duration::from_millis(3)).await;
                }
                lost
            })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(100)).await;
    fleet.origin.signal("-TERM");
    let mut status = None;
    while status.is_none() {
        tokio::time::sleep(Duration::from_millis(5)).await;
        status = fleet.origin.child.try_wait().expect("a child");
    }
    ended.store(true, Ordering::Relaxed);
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
    let seen = fleet.target.requests();
    for caller in callers {
        let lost = caller.await.expect("no panic");
        let ran: Vec<&String> = lost
            .iter()
            .filter(|id| count_with_id(&seen, id) > 0)
            .collect();
        assert!(ran.is_empty(), "ran and got no answer: {ran:?}");
    }
    let log = std::fs::read_to_string(&fleet.origin.log).expect("the log");
    let stopped = log.lines().last().unwrap_or_default();
    assert!(
        stopped.contains(r#""emptied":"true""#) && stopped.contains(r#""flushed":"true""#),
        "{stopped}"
    );
}
