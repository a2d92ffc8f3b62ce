//! Slots, health endpoint and draining of a target.

use std::time::Duration;

use standin::{Call, Caller, Health, Ledger, Target, TargetConfig};

async fn health(target: &Target) -> String {
    let uri = format!("http://{}/healthz", target.address());
    let (_, body) = Caller::unpooled().get(&uri).await.unwrap();
    String::from_utf8(body.to_vec()).unwrap()
}

async fn wait_until(condition: impl Fn() -> bool) {
    let poll = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(20), poll)
        .await
        .unwrap();
}

#[tokio::test]
async fn sheds_what_is_beyond_its_slots_and_backlog() {
    let ledger = Ledger::default();
    let cfg = TargetConfig::new("caja", "caja-a1", 2).backlog(1);
    let target = Target::start(cfg, ledger.clone()).await.unwrap();
    target.hold();
    let call = Call::new("caja", "charge", "t").answer_bytes(100).direct();
    let to = target.address();
    let send = || {
        let call = call.clone();
        tokio::spawn(async move { Caller::unpooled().send(to, &call).await.unwrap() })
    };
    let taken = [send(), send(), send()];
    wait_until(|| target.in_flight() == 3).await;
    assert_eq!(send().await.unwrap().summary(), "503 -");
    assert_eq!((ledger.runs().len(), target.shed_count()), (2, 1));
    target.release();
    for sent in taken {
        assert!(sent.await.unwrap().answers(&call));
    }
    assert_eq!(ledger.runs().len(), 3);
}

#[tokio::test]
async fn health_reports_the_actual_or_the_configured_state() {
    let cfg = TargetConfig::new("caja", "caja-a1", 2);
    let target = Target::start(cfg, Ledger::default()).await.unwrap();
    let mut seen = vec![health(&target).await];
    target.drain();
    seen.push(health(&target).await);
    target.set_health(Health::Claims {
        status: "ok",
        load: 0.1,
    });
    seen.push(health(&target).await);
    let cold = TargetConfig::new("caja", "caja-a2", 2).cold_start(Duration::from_mins(10), 2.0);
    let cold = Target::start(cold, Ledger::default()).await.unwrap();
    seen.push(health(&cold).await);
    insta::assert_snapshot!(seen.join("\n"), @r#"
    {"load":0.0,"status":"ok"}
    {"load":0.0,"status":"draining"}
    {"load":0.1,"status":"ok"}
    {"load":0.0,"status":"starting"}
    "#);
}
