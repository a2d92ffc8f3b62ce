//! Clients that pause while they read an answer, on a machine whose daemon is stopped as planned.

use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use review_standins::client::{Ask, End, Pace, connect_small, exchange};
use review_standins::fleet::{Fleet, HOST, MachineSpec, RouteSpec};
use review_standins::record::Record;
use review_standins::{has_trouble, run_case};

/// The largest answer of a proof pack on the sheet of the deployment, and the mean of its uploads.
const ANSWER_BYTES: usize = 36_000;
const UPLOAD_BYTES: usize = 60_000;
const WORK_MS: u64 = 420;
const DEADLINE: Duration = Duration::from_secs(6);
/// Pause of a slow client, once; it ends well before its deadline and the end of the grace period.
const PAUSE: Duration = Duration::from_millis(2_200);
const FIRST_BYTES: usize = 1_000;
const CLIENTS: usize = 8;
/// Time between the two requests of a connection; the SIGTERM falls into it.
const KEPT_IDLE: Duration = Duration::from_millis(1_200);
/// Longer than `contact`, so that all machines are in touch.
const CALM: Duration = Duration::from_secs(4);

fn main() -> ExitCode {
    run_case(play)
}

fn machine(service: &'static str, zone: &'static str) -> MachineSpec {
    MachineSpec {
        service,
        zone,
        slots: 16,
        queue: 16,
        trouble: None,
    }
}

/// Plays the case; returns how many requests were lost.
fn play(record: &Record) -> Result<usize, String> {
    let specs = [
        machine("catalogo", "a"),
        machine("galeria", "a"),
        machine("galeria", "b"),
        machine("catalogo", "b"),
    ];
    let routes = [RouteSpec {
        name: "pack",
        service: "galeria",
        kind: "upload",
        timeout_ms: 6_000,
        aim_ms: 1_500,
        priority: 0,
        attempts: 2,
    }];
    let fleet = Fleet::start(record.clone(), &specs, &routes)?;
    fleet.wait_until_served(0, "/pack/warm?bytes=200", 200)?;
    thread::sleep(CALM);
    let pace = has_trouble().then_some(Pace {
        first: FIRST_BYTES,
        pause: PAUSE,
    });
    let outbound = fleet.machines[0].outbound();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || {
                let ask = |name: &str, bytes: usize| Ask {
                    id: format!("{name}-{number}"),
                    method: "POST",
                    host: HOST.to_owned(),
                    target: format!("/pack/{number}?work={WORK_MS}&bytes={bytes}"),
                    deadline: DEADLINE,
                    body: vec![b'x'; UPLOAD_BYTES],
                };
                let (first, second) = (ask("first", 200), ask("pack", ANSWER_BYTES));
                let Some(mut wire) = connect_small(outbound) else {
                    return (second.id, End::NoConnection);
                };
                let (end, _) = exchange(&mut wire, &first, 200, None);
                record.line(&format!("client of {} got {end:?}", first.id));
                thread::sleep(KEPT_IDLE);
                record.line(&format!(
                    "client sends {} on the kept connection",
                    second.id
                ));
                let (end, _) = exchange(&mut wire, &second, ANSWER_BYTES, pace);
                record.line(&format!("client of {} got {end:?}", second.id));
                (second.id, end)
            })
        })
        .collect();
    thread::sleep(KEPT_IDLE * 2 / 3);
    record.line("SIGTERM to the daemon of machine 1");
    fleet.daemons[0].signal("TERM");
    let mut lost = 0;
    for client in clients {
        let (id, end) = client.join().map_err(|_| "a client panicked".to_owned())?;
        let runs = fleet.runs();
        let is_answered = runs.iter().any(|run| run.request == id && run.answered);
        if is_answered && matches!(end, End::Partial { .. } | End::NoAnswer(_)) {
            lost += 1;
            record.say(&format!(
                "LOST: {id}: its backend wrote the whole answer, its client got {end:?}"
            ));
        }
    }
    Ok(lost)
}
