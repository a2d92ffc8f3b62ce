//! A backend in trouble that sends additional bytes behind a few of its answers, late: a refusal
//! without an id, which belongs to no request.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use review_standins::backend::Trouble;
use review_standins::client::{Ask, End, connect, exchange};
use review_standins::fleet::{Fleet, HOST, MachineSpec, RouteSpec};
use review_standins::record::Record;
use review_standins::{has_trouble, run_case};

const DEADLINE: Duration = Duration::from_secs(5);
const CLIENTS: usize = 10;
const REQUESTS: usize = 400;
const WORK_MS: u64 = 120;
/// One of the two backends spoils so many of its answers: less than a part of 0.03.
const ONE_IN: usize = 34;
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

/// Plays the case; returns how many requests ran twice, or were refused though they ran.
fn play(record: &Record) -> Result<usize, String> {
    let mut specs = [
        machine("fleet", "bilbao"),
        machine("reservas", "bilbao"),
        machine("reservas", "donosti"),
        machine("fleet", "donosti"),
    ];
    specs[1].trouble = has_trouble().then_some(Trouble::LateRefusal { one_in: ONE_IN });
    let routes = [RouteSpec {
        name: "booking",
        service: "reservas",
        kind: "non_idempotent",
        timeout_ms: 800,
        aim_ms: 1_500,
        priority: 0,
        attempts: 2,
    }];
    let fleet = Fleet::start(record.clone(), &specs, &routes)?;
    fleet.wait_until_served(0, "/booking/warm?bytes=200", 200)?;
    thread::sleep(CALM);
    let outbound = fleet.machines[0].outbound();
    let next = Arc::new(AtomicUsize::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (next, record) = (Arc::clone(&next), record.clone());
            thread::spawn(move || send_requests(&record, outbound, &next))
        })
        .collect();
    let mut ends = Vec::new();
    for client in clients {
        ends.extend(client.join().map_err(|_| "a client panicked".to_owned())?);
    }
    thread::sleep(Duration::from_secs(1));
    let runs = fleet.runs();
    let mut broken = 0;
    for (id, end) in ends {
        let ran_at: Vec<&str> = runs
            .iter()
            .filter(|run| run.request == id)
            .map(|run| run.backend.as_str())
            .collect();
        if ran_at.len() > 1 {
            broken += 1;
            let text = ran_at.join(" and ");
            record.say(&format!(
                "TWICE: {id} ran at {text}; its client got {end:?}"
            ));
        }
        if !ran_at.is_empty() && matches!(end, End::Answer { status: 503, .. }) {
            broken += 1;
            record.say(&format!(
                "REFUSED: {id} ran at {}, and was answered 503",
                ran_at[0]
            ));
        }
    }
    Ok(broken)
}

fn send_requests(record: &Record, outbound: SocketAddr, next: &AtomicUsize) -> Vec<(String, End)> {
    let mut ends = Vec::new();
    loop {
        let number = next.fetch_add(1, Ordering::Relaxed);
        if number >= REQUESTS {
            return ends;
        }
        let ask = Ask {
            id: format!("booking-{number}"),
            method: "POST",
            host: HOST.to_owned(),
            target: format!("/booking/{number}?work={WORK_MS}"),
            deadline: DEADLINE,
            body: vec![b'x'; 300],
        };
        let Some(mut wire) = connect(outbound) else {
            continue;
        };
        record.line(&format!("client sends {}", ask.id));
        let (end, _) = exchange(&mut wire, &ask, 200, None);
        record.line(&format!("client of {} got {end:?}", ask.id));
        ends.push((ask.id, end));
    }
}
