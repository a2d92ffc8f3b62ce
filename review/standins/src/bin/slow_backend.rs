//! Backends that pause while they read an upload, when the daemon of its client is stopped as
//! planned.

use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use review_standins::client::{Ask, End, connect, exchange};
use review_standins::fleet::{Fleet, HOST, MachineSpec, RouteSpec};
use review_standins::record::Record;
use review_standins::{has_trouble, run_case};

/// The largest upload of a route pack on the sheet of the deployment.
const UPLOAD_BYTES: usize = 360_000;
const DEADLINE: Duration = Duration::from_secs(5);
/// Pause of a slow backend, once, in milliseconds.
const PAUSE_MS: u64 = 2_200;
const CLIENTS: usize = 8;
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
        small_window: true,
        endless_one_in: None,
    }
}

/// Plays the case; returns how many requests were lost.
fn play(record: &Record) -> Result<usize, String> {
    let specs = [
        machine("fleet", "bilbao"),
        machine("rutas", "bilbao"),
        machine("rutas", "donosti"),
        machine("fleet", "donosti"),
    ];
    let routes = [RouteSpec {
        name: "pack",
        service: "rutas",
        kind: "upload",
        timeout_ms: 5_000,
        aim_ms: 1_500,
        priority: 0,
        attempts: 2,
    }];
    let fleet = Fleet::start(record.clone(), &specs, &routes)?;
    fleet.wait_until_served(0, "/pack/warm?bytes=200", 200)?;
    thread::sleep(CALM);
    record.line("SIGTERM to the daemon of machine 1");
    fleet.daemons[0].signal("TERM");
    thread::sleep(Duration::from_millis(300));
    let pause = if has_trouble() { PAUSE_MS } else { 0 };
    let outbound = fleet.machines[0].outbound();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || {
                let ask = Ask {
                    id: format!("pack-{number}"),
                    method: "POST",
                    host: HOST.to_owned(),
                    target: format!("/pack/{number}?pause={pause}"),
                    deadline: DEADLINE,
                    body: vec![b'x'; UPLOAD_BYTES],
                };
                let Some(mut wire) = connect(outbound) else {
                    return (ask.id, End::NoConnection);
                };
                record.line(&format!("client sends {}", ask.id));
                let (end, sent) = exchange(&mut wire, &ask, 200, None);
                let took = sent.elapsed().as_millis();
                record.line(&format!("client of {} got {end:?} after {took} ms", ask.id));
                (ask.id, end)
            })
        })
        .collect();
    let mut lost = 0;
    for client in clients {
        let (id, end) = client.join().map_err(|_| "a client panicked".to_owned())?;
        let runs = fleet.runs();
        let has_run = runs.iter().any(|run| run.request == id);
        let is_lost = match end {
            End::Partial { .. } | End::NoAnswer(_) => true,
            // An answer of the system's own in place of the backend's.
            End::Answer { status, signed } => !signed && !matches!(status, 503 | 429),
            _ => false,
        };
        if has_run && is_lost {
            lost += 1;
            record.say(&format!(
                "LOST: {id}: broken off while its backend was at work, its client got {end:?}"
            ));
        }
    }
    Ok(lost)
}
