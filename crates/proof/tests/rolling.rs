//! Every instance is replaced, one after the other, while callers go on: nothing is lost.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::future::join_all;
use http::StatusCode;
use model::Outcome;
use proof::{NodeSpec, Rig, Signal};
use standin::{Call, Caller, Downstream, Plan, TargetConfig};

const DAEMON: &str = env!("CARGO_BIN_EXE_daemon-under-test");
const WORKERS: usize = 8;
const MOST_TRIES: u32 = 40;
const PAUSE_BETWEEN_TRIES: Duration = Duration::from_millis(20);

/// Callers that go on through a rolling replacement.
#[derive(Debug, Default)]
struct Desk {
    entries: Mutex<Vec<SocketAddr>>,
    closed: AtomicBool,
    lost: Mutex<Vec<String>>,
    answered: Mutex<usize>,
}

impl Desk {
    fn entry(&self, turn: usize) -> SocketAddr {
        let entries = self.entries.lock().unwrap();
        entries[turn % entries.len()]
    }

    async fn work(self: Arc<Self>, worker: usize) {
        let caller = Caller::new();
        let mut turn = worker;
        while !self.closed.load(Ordering::Relaxed) {
            turn += 1;
            let token = format!("w{worker}-{turn}");
            let call = match turn % 3 {
                0 => Call::new("reservas", "browse", &token),
                1 => Call::new("reservas", "quote", &token),
                _ => Call::new("reservas", "book", &token).key(&token),
            };
            match self.pursue(&caller, call.answer_bytes(3_000), turn).await {
                Ok(()) => *self.answered.lock().unwrap() += 1,
                Err(lost) => self.lost.lock().unwrap().push(format!("{token}: {lost}")),
            }
        }
    }

    /// Repeats what was not run; a call that may run twice also when its fate is unknown.
    async fn pursue(&self, caller: &Caller, mut call: Call, mut turn: usize) -> Result<(), String> {
        let mut told = Vec::new();
        let mut sends = 0;
        for _ in 0..MOST_TRIES {
            turn += 1;
            let entry = self.entry(turn);
            call.attempt = Some(sends);
            let reply = match caller.send(entry, &call).await {
                Ok(reply) => reply,
                Err(error) => {
                    told.push(error.to_string());
                    sends += u16::from(!error.is_unsent());
                    continue;
                }
            };
            if reply.answers(&call) {
                return Ok(());
            }
            told.push(reply.summary());
            if reply.status == StatusCode::FAILED_DEPENDENCY {
                told.push(format!("{:?}", reply.body));
            }
            sends += 1;
            match reply.outcome() {
                Some(Outcome::NotRun) if reply.status == StatusCode::PRECONDITION_REQUIRED => {
                    call.ticket = reply.ticket();
                    sends = 0;
                }
                Some(Outcome::NotRun) => {
                    call.ticket = None;
                    sends = 0;
                    tokio::time::sleep(PAUSE_BETWEEN_TRIES).await;
                }
                _ if call.key.is_none() && reply.status != StatusCode::FAILED_DEPENDENCY => {}
                _ => break,
            }
        }
        Err(told.join(", "))
    }
}

#[tokio::test]
async fn a_rolling_replacement_under_load_loses_nothing() {
    let calls = |operation: &str, repeatable| Plan {
        calls: vec![Downstream {
            service: "caja".into(),
            operation: operation.into(),
            answer_bytes: 300,
            repeatable,
        }],
        ..Plan::default()
    };
    let spec = |service: &str, letter: char, id: &str| {
        let target = TargetConfig::new(service, id, 160)
            .plan("book", calls("charge", false))
            .plan("quote", calls("balance", true));
        NodeSpec::new(service, &format!("norte-{letter}"), id).target(target)
    };
    let mut rig = Rig::booking(DAEMON, |old| {
        let letter = if old.id().contains("-a") { 'a' } else { 'b' };
        spec(old.service(), letter, old.id())
    })
    .await
    .unwrap();
    let desk = Arc::new(Desk::default());
    let entries = |rig: &Rig| {
        rig.nodes()
            .iter()
            .map(proof::Node::callers)
            .collect::<Vec<_>>()
    };
    *desk.entries.lock().unwrap() = entries(&rig);
    let workers: Vec<_> = (0..WORKERS)
        .map(|worker| tokio::spawn(Arc::clone(&desk).work(worker)))
        .collect();
    let old: Vec<String> = rig
        .nodes()
        .iter()
        .map(|node| node.spec.id().to_owned())
        .collect();
    for old in &old {
        let (service, place) = old.split_once('-').unwrap();
        let new = format!("{old}-new");
        rig.add(spec(service, place.chars().next().unwrap(), &new))
            .await
            .unwrap();
        rig.until_ready(&new).await;
        *desk.entries.lock().unwrap() = entries(&rig);
        rig.node(old).daemon.signal(Signal::Terminate).await;
        let status = rig.node_mut(old).daemon.ended().await.unwrap();
        assert_eq!(status.code(), Some(0));
        drop(rig.remove(old));
        *desk.entries.lock().unwrap() = entries(&rig);
    }
    desk.closed.store(true, Ordering::Relaxed);
    join_all(workers).await;
    assert!(*desk.answered.lock().unwrap() > 0);
    assert_eq!(*desk.lost.lock().unwrap(), Vec::<String>::new());
    assert!(rig.ledger.repeated().is_empty());
    assert!(rig.ledger.mismatches().is_empty());
}
