//! Tests of the proxy's faults as the caller and the target observe them.

use std::net::SocketAddr;
use std::time::Duration;

use standin::{Call, Caller, Direction, FaultProxy, Faults, Ledger, RunEnd, Target, TargetConfig};

const TIMEOUT: Duration = Duration::from_secs(20);

async fn start_target_and_proxy() -> (Target, Ledger, FaultProxy) {
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
        Ok(reply) if reply.answers(call) => "complete".to_owned(),
        Ok(reply) => format!("{} {}", reply.status, reply.body.is_ok()),
        Err(_) => "no answer".to_owned(),
    }
}

#[tokio::test]
async fn slow_connection_delivers_a_complete_answer() {
    let (_target, _, proxy) = start_target_and_proxy().await;
    let faults = Faults {
        latency: Duration::from_millis(2),
        jitter: Duration::from_millis(2),
        throttle: Some(2_000_000),
        ..Faults::default()
    };
    proxy.set_both(faults);
    let call = pack("a").answer_bytes(100_000);
    assert_eq!(outcome(proxy.address(), &call).await, "complete");
}

#[tokio::test]
async fn truncated_answer_has_a_body_error() {
    let (_target, _, proxy) = start_target_and_proxy().await;
    let truncate = Faults {
        truncate_after: Some(50_000),
        ..Faults::default()
    };
    proxy.set(Direction::Response, truncate);
    let call = pack("a").answer_bytes(100_000);
    assert_eq!(outcome(proxy.address(), &call).await, "200 OK false");
    proxy.heal();
    assert_eq!(outcome(proxy.address(), &call).await, "complete");
}

#[tokio::test]
async fn refuses_connections_and_listens_again() {
    let (_target, _, proxy) = start_target_and_proxy().await;
    let call = pack("a").answer_bytes(10);
    proxy.set_refusing(true);
    let refused = async { while outcome(proxy.address(), &call).await != "no answer" {} };
    tokio::time::timeout(TIMEOUT, refused).await.unwrap();
    proxy.set_refusing(false);
    let answered = async { while outcome(proxy.address(), &call).await != "complete" {} };
    tokio::time::timeout(TIMEOUT, answered).await.unwrap();
}

#[tokio::test]
async fn reset_cancels_the_run_and_a_lost_answer_does_not() {
    let (target, ledger, proxy) = start_target_and_proxy().await;
    target.hold();
    let call = pack("a").answer_bytes(10);
    let to = proxy.address();
    let sent = tokio::spawn(async move { outcome(to, &call).await });
    wait_until(|| ledger.runs().len() == 1).await;
    proxy.reset_connections();
    assert_eq!(sent.await.unwrap(), "no answer");
    wait_until(|| ledger.runs()[0].ended.is_some()).await;
    assert_eq!(ledger.runs()[0].ended.unwrap().1, RunEnd::Cancelled);
    assert_eq!(target.in_flight(), 0);

    let black_hole = Faults {
        black_hole: true,
        ..Faults::default()
    };
    proxy.set(Direction::Response, black_hole);
    let call = pack("b").answer_bytes(10);
    let sent = tokio::spawn(async move { outcome(to, &call).await });
    wait_until(|| ledger.runs().len() == 2).await;
    target.release();
    wait_until(|| ledger.runs()[1].ended.is_some()).await;
    proxy.heal();
    assert_eq!(sent.await.unwrap(), "no answer");
    assert_eq!(ledger.runs()[1].ended.unwrap().1, RunEnd::Finished);
}

async fn wait_until(condition: impl Fn() -> bool) {
    let poll = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, poll).await.unwrap();
}
