//! The faults of the proxy, seen from both of its ends.

use std::net::SocketAddr;
use std::time::Duration;

use standin::{Call, Caller, Direction, FaultProxy, Faults, Ledger, RunEnd, Target, TargetConfig};

const CAP: Duration = Duration::from_secs(20);

async fn rig() -> (Target, Ledger, FaultProxy) {
    let ledger = Ledger::default();
    let cfg = TargetConfig::new("rutas", "rutas-a1", 4);
    let target = Target::start(cfg, ledger.clone()).await.unwrap();
    let proxy = FaultProxy::start(target.address(), 1).await.unwrap();
    (target, ledger, proxy)
}

fn pack(token: &str) -> Call {
    Call::new("rutas", "pack", token).direct()
}

async fn outcome(to: SocketAddr, call: &Call) -> String {
    match Caller::unpooled().send(to, call).await {
        Ok(reply) if reply.answers(call) => "whole".to_owned(),
        Ok(reply) => format!("{} {}", reply.status, reply.body.is_ok()),
        Err(_) => "no answer".to_owned(),
    }
}

#[tokio::test]
async fn passes_a_whole_answer_also_slowly() {
    let (_target, _, proxy) = rig().await;
    let faults = Faults {
        latency: Duration::from_millis(2),
        jitter: Duration::from_millis(2),
        throttle: Some(2_000_000),
        ..Faults::default()
    };
    proxy.set_both(faults);
    let call = pack("a").answer_bytes(100_000);
    assert_eq!(outcome(proxy.address(), &call).await, "whole");
}

#[tokio::test]
async fn a_truncated_answer_is_seen_as_broken() {
    let (_target, _, proxy) = rig().await;
    let truncate = Faults {
        truncate_after: Some(50_000),
        ..Faults::default()
    };
    proxy.set(Direction::Response, truncate);
    let call = pack("a").answer_bytes(100_000);
    assert_eq!(outcome(proxy.address(), &call).await, "200 OK false");
    proxy.heal();
    assert_eq!(outcome(proxy.address(), &call).await, "whole");
}

#[tokio::test]
async fn refuses_and_listens_again() {
    let (_target, _, proxy) = rig().await;
    let call = pack("a").answer_bytes(10);
    proxy.set_refusing(true);
    let refused = async { while outcome(proxy.address(), &call).await != "no answer" {} };
    tokio::time::timeout(CAP, refused).await.unwrap();
    proxy.set_refusing(false);
    let answered = async { while outcome(proxy.address(), &call).await != "whole" {} };
    tokio::time::timeout(CAP, answered).await.unwrap();
}

#[tokio::test]
async fn a_cut_cancels_the_run_and_a_lost_answer_does_not() {
    let (target, ledger, proxy) = rig().await;
    target.hold();
    let call = pack("a").answer_bytes(10);
    let to = proxy.address();
    let sent = tokio::spawn(async move { outcome(to, &call).await });
    until(|| ledger.runs().len() == 1).await;
    proxy.reset_connections();
    assert_eq!(sent.await.unwrap(), "no answer");
    until(|| ledger.runs()[0].ended.is_some()).await;
    assert_eq!(ledger.runs()[0].ended.unwrap().1, RunEnd::Cancelled);
    assert_eq!(target.in_flight(), 0);

    let swallow = Faults {
        black_hole: true,
        ..Faults::default()
    };
    proxy.set(Direction::Response, swallow);
    let call = pack("b").answer_bytes(10);
    let sent = tokio::spawn(async move { outcome(to, &call).await });
    until(|| ledger.runs().len() == 2).await;
    target.release();
    until(|| ledger.runs()[1].ended.is_some()).await;
    proxy.heal();
    assert_eq!(sent.await.unwrap(), "no answer");
    assert_eq!(ledger.runs()[1].ended.unwrap().1, RunEnd::Finished);
}

async fn until(seen: impl Fn() -> bool) {
    let poll = async {
        while !seen() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::time::timeout(CAP, poll).await.unwrap();
}
