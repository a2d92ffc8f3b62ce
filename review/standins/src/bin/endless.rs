//! A backend in trouble whose answers, a few of them, have a body without end.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use review_standins::backend::Trouble;
use review_standins::client::{Ask, connect, exchange};
use review_standins::fleet::{Fleet, HOST, MachineSpec, RouteSpec};
use review_standins::record::Record;
use review_standins::{has_trouble, run_case};

/// Timeout of the route.
const TIMEOUT: Duration = Duration::from_secs(1);
/// The clients would wait longer than the operator wants them to.
const DEADLINE: Duration = Duration::from_secs(5);
/// Time after the timeout within which a final answer is due.
const SLACK: Duration = Duration::from_millis(500);
/// The rule is broken by so many requests without an answer, and more.
const LEAST_UNANSWERED: usize = 8;
const CLIENTS: usize = 40;
const REQUESTS: usize = 1_600;
const WORK_MS: u64 = 140;
/// One of the two backends sends a body without end in less than 0.03 of its answers.
const ONE_IN: usize = 34;
/// Without the trouble, as many requests take longer than their route's timeout.
const LONG_WORK_MS: u64 = 3_000;
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

/// Plays the case; returns how many requests had no answer in time, if they break the rule.
fn play(record: &Record) -> Result<usize, String> {
    let mut specs = [
        machine("reservas", "bilbao"),
        machine("fleet", "bilbao"),
        machine("fleet", "donosti"),
        machine("reservas", "donosti"),
    ];
    specs[1].trouble = has_trouble().then_some(Trouble::EndlessBody { one_in: ONE_IN });
    let routes = [RouteSpec {
        name: "look",
        service: "fleet",
        kind: "idempotent",
        timeout_ms: 1_000,
        aim_ms: 1_200,
        priority: 1,
        attempts: 2,
    }];
    let fleet = Fleet::start(record.clone(), &specs, &routes)?;
    fleet.wait_until_served(0, "/look/warm?bytes=200", 200)?;
    thread::sleep(CALM);
    let outbound = fleet.machines[0].outbound();
    let next = Arc::new(AtomicUsize::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (next, record) = (Arc::clone(&next), record.clone());
            thread::spawn(move || send_requests(&record, outbound, &next))
        })
        .collect();
    let mut late = Vec::new();
    for client in clients {
        late.extend(client.join().map_err(|_| "a client panicked".to_owned())?);
    }
    let unanswered = late.iter().filter(|took| **took > TIMEOUT + SLACK).count();
    record.say(&format!(
        "{} requests lasted until their route's timeout; {unanswered} of them had no final answer \
         0.5 s after it",
        late.len()
    ));
    let is_broken = unanswered >= LEAST_UNANSWERED && unanswered * 2 > late.len();
    Ok(if is_broken { unanswered } else { 0 })
}

/// Sends requests one after the other; returns how long those took that lasted until the timeout.
fn send_requests(record: &Record, outbound: SocketAddr, next: &AtomicUsize) -> Vec<Duration> {
    let mut late = Vec::new();
    loop {
        let number = next.fetch_add(1, Ordering::Relaxed);
        if number >= REQUESTS {
            return late;
        }
        let is_long = !has_trouble() && number.is_multiple_of(ONE_IN);
        let work = if is_long { LONG_WORK_MS } else { WORK_MS };
        let ask = Ask {
            id: format!("look-{number}"),
            method: "GET",
            host: HOST.to_owned(),
            target: format!("/look/{number}?work={work}"),
            deadline: DEADLINE,
            body: Vec::new(),
        };
        let Some(mut wire) = connect(outbound) else {
            continue;
        };
        record.line(&format!("client sends {}", ask.id));
        let (end, sent) = exchange(&mut wire, &ask, 200, None);
        let took = sent.elapsed();
        let ms = took.as_millis();
        record.line(&format!("client of {} got {end:?} after {ms} ms", ask.id));
        if took >= TIMEOUT {
            late.push(took);
        }
    }
}
