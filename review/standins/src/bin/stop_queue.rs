//! Requests that wait beside their backend for a slot when the daemon of their client is stopped
//! as planned.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

use review_standins::client::{Ask, End, connect, exchange};
use review_standins::fleet::{Fleet, HOST, MachineSpec, RouteSpec};
use review_standins::record::Record;
use review_standins::{has_trouble, run_case};

const DEADLINE: Duration = Duration::from_secs(8);
/// Work of each pack: half of the longest on the sheet, 2,400 ms.
const WORK_MS: u64 = 1_200;
/// The mean of the uploads on the sheet.
const UPLOAD_BYTES: usize = 60_000;
/// Clients of the machine; each sends its next request once it has its answer.
const CLIENTS: u64 = 80;
/// Time over which the clients begin.
const RAMP_MS: u64 = 4_000;
/// When the daemon of the machine is told to stop.
const STOP_AT: Duration = Duration::from_secs(7);
/// The clients of a machine learn within this time that its daemon is not ready.
const NOT_READY_AFTER: Duration = Duration::from_millis(2_400);
const LOSS_SLACK: Duration = Duration::from_millis(200);
const GRACE: Duration = Duration::from_secs(6);

fn main() -> ExitCode {
    run_case(play)
}

fn machine(service: &'static str, zone: &'static str) -> MachineSpec {
    MachineSpec {
        service,
        zone,
        slots: 8,
        queue: 8,
        trouble: None,
    }
}

/// A request and how it ended for its client.
struct Outcome {
    id: String,
    sent: Instant,
    ended: Instant,
    end: End,
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
        timeout_ms: 8_000,
        aim_ms: 1_500,
        priority: 0,
        attempts: 2,
    }];
    let fleet = Fleet::start(record.clone(), &specs, &routes)?;
    fleet.wait_until_served(0, "/pack/warm?bytes=200", 200)?;
    let began = Instant::now();
    let last_send = began + STOP_AT + NOT_READY_AFTER;
    let outbound = fleet.machines[0].outbound();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(number * RAMP_MS / CLIENTS));
                send_until(&record, outbound, number, last_send)
            })
        })
        .collect();
    thread::sleep(STOP_AT);
    let stopped_at = Instant::now();
    if has_trouble() {
        record.line("SIGTERM to the daemon of machine 1");
        fleet.daemons[0].signal("TERM");
    }
    let mut lost = 0;
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for client in clients {
        let outcomes = client.join().map_err(|_| "a client panicked".to_owned())?;
        for outcome in outcomes {
            *counts.entry(format!("{:?}", outcome.end)).or_default() += 1;
            if is_lost(&outcome, &fleet, stopped_at) {
                lost += 1;
                let after = |at: Instant| at.saturating_duration_since(stopped_at).as_millis();
                record.say(&format!(
                    "LOST: {} sent {} ms after the SIGTERM, ended {} ms after it with {:?}; no \
                     backend was at work on it",
                    outcome.id,
                    after(outcome.sent),
                    after(outcome.ended),
                    outcome.end
                ));
            }
        }
    }
    for (outcome, count) in counts {
        record.line(&format!("{count} x {outcome}"));
    }
    Ok(lost)
}

/// True if the connection ended without a complete answer around the planned stop, for none of the
/// reasons that the rule excuses.
fn is_lost(outcome: &Outcome, fleet: &Fleet, stopped_at: Instant) -> bool {
    // The end of the stream, and not a reset, shows that the daemon had read all bytes.
    let is_cut = matches!(&outcome.end, End::NoAnswer(why) if why == "closed");
    let held = outcome.ended.saturating_duration_since(outcome.sent);
    let within =
        outcome.ended >= stopped_at && outcome.ended <= stopped_at + GRACE + Duration::from_secs(1);
    // "Still at work in the last sixth of grace" excuses.
    let last_sixth = stopped_at + GRACE * 5 / 6;
    let runs = fleet.runs();
    let at_work = runs
        .iter()
        .any(|run| run.request == outcome.id && run.ended.is_none_or(|ended| ended >= last_sixth));
    is_cut && within && held > LOSS_SLACK && held < DEADLINE && !at_work
}

fn send_until(
    record: &Record,
    outbound: std::net::SocketAddr,
    number: u64,
    last_send: Instant,
) -> Vec<Outcome> {
    /// Longest wait before a client comes back after a refusal.
    const RETRY_AFTER: Duration = Duration::from_millis(300);
    let mut outcomes = Vec::new();
    while Instant::now() < last_send {
        let ask = Ask {
            id: format!("pack-{number}-{}", outcomes.len()),
            method: "POST",
            host: HOST.to_owned(),
            target: format!("/pack/{number}?work={WORK_MS}"),
            deadline: DEADLINE,
            body: vec![b'x'; UPLOAD_BYTES],
        };
        let Some(mut wire) = connect(outbound) else {
            break;
        };
        record.line(&format!("client sends {}", ask.id));
        let (end, sent) = exchange(&mut wire, &ask, 200, None);
        record.line(&format!("client of {} got {end:?}", ask.id));
        if matches!(end, End::Answer { status: 503, .. }) {
            thread::sleep(RETRY_AFTER);
        }
        outcomes.push(Outcome {
            id: ask.id,
            sent,
            ended: Instant::now(),
            end,
        });
    }
    outcomes
}
