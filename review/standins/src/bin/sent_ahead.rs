//! Clients that send further requests before the first is answered, on a machine whose daemon is
//! stopped as planned.

use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use review_standins::client::{Ask, End, connect_small, receive};
use review_standins::fleet::{Fleet, HOST, MachineSpec, RouteSpec};
use review_standins::record::Record;
use review_standins::{has_trouble, run_case};

/// The largest answer of a print browse on the sheet of the deployment.
const ANSWER_BYTES: usize = 9_000;
const DEADLINE: Duration = Duration::from_secs(5);
const CLIENTS: usize = 16;
/// Requests that a client sends without waiting, and the time between them.
const SENT_AHEAD: usize = 4;
const SEND_INTERVAL: Duration = Duration::from_millis(60);
/// When the SIGTERM comes: all requests are sent, and the backends work on the first ones.
const STOP_AFTER: Duration = Duration::from_millis(150);
/// Longer than `contact`, so that all machines are in touch.
const CALM: Duration = Duration::from_secs(4);

fn main() -> ExitCode {
    run_case(play)
}

fn machine(service: &'static str, zone: &'static str) -> MachineSpec {
    MachineSpec {
        service,
        zone,
        slots: 32,
        queue: 32,
        trouble: None,
    }
}

/// Plays the case; returns how many requests were lost.
fn play(record: &Record) -> Result<usize, String> {
    let specs = [
        machine("albums", "bilbao"),
        machine("catalogue", "bilbao"),
        machine("catalogue", "donosti"),
        machine("albums", "donosti"),
    ];
    let routes = [RouteSpec {
        name: "view",
        service: "catalogue",
        kind: "idempotent",
        timeout_ms: 2_500,
        aim_ms: 1_200,
        priority: 1,
        attempts: 2,
    }];
    let fleet = Fleet::start(record.clone(), &specs, &routes)?;
    fleet.wait_until_served(0, "/view/warm?bytes=200", 200)?;
    thread::sleep(CALM);
    let outbound = fleet.machines[0].outbound();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || send_ahead(&record, outbound, number))
        })
        .collect();
    thread::sleep(STOP_AFTER);
    if has_trouble() {
        record.line("SIGTERM to the daemon of machine 1");
        fleet.daemons[0].signal("TERM");
    }
    let mut lost = 0;
    for client in clients {
        let ends = client.join().map_err(|_| "a client panicked".to_owned())?;
        let runs = fleet.runs();
        for (id, end) in ends {
            // Requests behind another one that no backend got don't count.
            let is_answered = runs.iter().any(|run| run.request == id && run.answered);
            if is_answered && matches!(end, End::Partial { .. } | End::NoAnswer(_)) {
                lost += 1;
                record.say(&format!(
                    "LOST: {id}: its backend wrote the whole answer, its client got {end:?}"
                ));
            }
        }
    }
    Ok(lost)
}

/// Sends all requests, and reads the answers in their order.
fn send_ahead(record: &Record, outbound: SocketAddr, number: usize) -> Vec<(String, End)> {
    let ask = move |index: usize| Ask {
        id: format!("view-{number}-{index}"),
        method: "GET",
        host: HOST.to_owned(),
        target: format!("/view/{number}?work=340&bytes={ANSWER_BYTES}"),
        deadline: DEADLINE,
        body: Vec::new(),
    };
    let Some(mut wire) = connect_small(outbound) else {
        return Vec::new();
    };
    let Ok(mut sender) = wire.stream.try_clone() else {
        return Vec::new();
    };
    let sent = record.clone();
    let sending = thread::spawn(move || {
        for index in 0..SENT_AHEAD {
            sent.line(&format!("client sends {}", ask(index).id));
            // The connection may be closed behind an answer.
            if sender.write_all(&ask(index).bytes()).is_err() {
                break;
            }
            thread::sleep(SEND_INTERVAL);
        }
    });
    let mut ends = Vec::new();
    for index in 0..SENT_AHEAD {
        let id = ask(index).id;
        let end = receive(&mut wire, &ask(index), ANSWER_BYTES, None);
        record.line(&format!("client of {id} got {end:?}"));
        let is_over = !matches!(end, End::Answer { .. });
        ends.push((id, end));
        if is_over {
            break;
        }
    }
    // A thread that only sends can't panic.
    let _ = sending.join();
    ends
}
