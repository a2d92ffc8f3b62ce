//! Revisions with real daemons: in force everywhere, never going back, whatever the platform does.

use std::time::Duration;

use config::Document;
use model::Revision;
use proof::{Link, NodeSpec, Rig, Signal, fleets, until};
use standin::{PlatformMode, Serving};

const DAEMON: &str = env!("CARGO_BIN_EXE_daemon-under-test");

/// Two data centres, three readers in each, a watch for each of two states.
const WATCHES: u64 = 12;

fn document(revision: u64) -> Document {
    Document {
        revision: Revision::from(revision),
        ..fleets::arriaga()
    }
}

/// Control addresses that stay the same when a daemon is started anew.
fn with_fixed_control(spec: NodeSpec) -> NodeSpec {
    spec.through(Link::Control)
}

async fn revision(rig: &Rig, id: &str) -> Option<u64> {
    rig.status(id).await?["revision"].as_u64()
}

async fn until_at(rig: &Rig, id: &str, expected: u64) {
    let what = format!("{id} has revision {expected} in force");
    until(&what, async || revision(rig, id).await == Some(expected)).await;
}

async fn until_all_at(rig: &Rig, expected: u64) {
    for node in rig.nodes() {
        until_at(rig, node.spec.id(), expected).await;
    }
}

#[tokio::test]
async fn revision_reaches_all_by_a_few_readers() {
    let rig = Rig::booking(DAEMON, |spec| spec).await.unwrap();
    for number in [2, 3, 7] {
        rig.platform.publish(&document(number));
        until_all_at(&rig, number).await;
    }
    until("six readers watch two states", async || {
        rig.platform.waiting() == WATCHES
    })
    .await;
}

#[tokio::test]
async fn older_answer_changes_nothing() {
    let mut rig = Rig::booking(DAEMON, with_fixed_control).await.unwrap();
    rig.platform.publish(&document(5));
    until_all_at(&rig, 5).await;
    rig.platform.serve(Serving::Reverted(Revision::from(1)));
    let calls = rig.platform.calls();
    until("readers got the older answer", async || {
        rig.platform.calls() > calls + WATCHES
    })
    .await;
    rig.restart("reservas-a1").await.unwrap();
    // The new process reads revision 1 and hears of 5 from its peers.
    until_all_at(&rig, 5).await;
    let seen = |node: &proof::Node| node.daemon.logged("platform answered with an older");
    assert!(rig.nodes().iter().any(seen));
}

#[tokio::test]
async fn broken_document_is_refused_whole_and_visibly() {
    let rig = Rig::booking(DAEMON, |spec| spec).await.unwrap();
    rig.platform
        .publish_bytes(Revision::from(2), &b"{\"revision\":2}"[..]);
    let refused = |node: &proof::Node| node.daemon.logged("document refused");
    until("a reader says that it refused the document", async || {
        rig.nodes().iter().any(refused)
    })
    .await;
    for node in rig.nodes() {
        assert_eq!(revision(&rig, node.spec.id()).await, Some(1));
    }
    rig.platform.publish(&document(3));
    until_all_at(&rig, 3).await;
}

#[tokio::test]
async fn daemon_started_during_an_outage_takes_the_highest_from_its_peers() {
    let mut rig = Rig::booking(DAEMON, with_fixed_control).await.unwrap();
    rig.platform.publish(&document(4));
    until_all_at(&rig, 4).await;
    rig.platform.set_mode(PlatformMode::Closing);
    rig.restart("caja-b1").await.unwrap();
    rig.until_ready("caja-b1").await;
    until_all_at(&rig, 4).await;
    rig.platform.set_mode(PlatformMode::Up);
    rig.platform.publish(&document(5));
    until_all_at(&rig, 5).await;
}

#[tokio::test]
async fn frozen_daemons_hold_up_nobody_and_catch_up() {
    let rig = Rig::booking(DAEMON, |spec| spec).await.unwrap();
    let frozen = ["reservas-a1", "reservas-a2", "caja-a1"];
    for id in frozen {
        rig.node(id).daemon.signal(Signal::Stop).await;
    }
    for number in 2..5 {
        rig.platform.publish(&document(number));
    }
    for id in [
        "caja-a2",
        "reservas-b1",
        "reservas-b2",
        "caja-b1",
        "caja-b2",
    ] {
        until_at(&rig, id, 4).await;
    }
    for id in frozen {
        rig.node(id).daemon.signal(Signal::Continue).await;
    }
    until_all_at(&rig, 4).await;
}

#[tokio::test]
async fn slow_or_hanging_platform_delays_no_start_and_loses_nothing() {
    let mut rig = Rig::booking(DAEMON, with_fixed_control).await.unwrap();
    rig.platform.publish(&document(2));
    until_all_at(&rig, 2).await;
    rig.platform.set_mode(PlatformMode::Hanging);
    rig.platform.publish(&document(3));
    rig.restart("caja-b1").await.unwrap();
    rig.until_ready("caja-b1").await;
    until_all_at(&rig, 2).await;
    rig.platform
        .set_mode(PlatformMode::Slow(Duration::from_millis(700)));
    until_all_at(&rig, 3).await;
    rig.platform.publish(&document(4));
    until_all_at(&rig, 4).await;
}

async fn until_all_hold_digest(rig: &Rig, ids: &[&str], expected: &Document) {
    let expected = format!("{:016x}", expected.digest());
    for id in ids {
        let holds = async || {
            let status = rig.status(id).await.unwrap_or_default();
            status["digest"] == expected.as_str()
        };
        until(&format!("{id} holds {expected}"), holds).await;
    }
}

#[tokio::test]
async fn two_contents_of_one_revision_become_one_everywhere() {
    let links = |spec: NodeSpec| spec.through(Link::Control).through(Link::Platform);
    let rig = Rig::booking(DAEMON, links).await.unwrap();
    let in_a = ["reservas-a1", "reservas-a2", "caja-a1", "caja-a2"];
    let in_b = ["reservas-b1", "reservas-b2", "caja-b1", "caja-b2"];
    let (first, mut second) = (document(2), document(2));
    second.retry_percent += 1;
    for id in in_b {
        for link in [Link::Control, Link::Platform] {
            rig.proxy(id, link).set_refusing(true);
            rig.proxy(id, link).reset_connections();
        }
    }
    rig.platform.publish(&first);
    until_all_hold_digest(&rig, &in_a, &first).await;
    rig.platform.publish(&second);
    for id in in_b {
        rig.proxy(id, Link::Platform).heal();
    }
    until_all_hold_digest(&rig, &in_b, &second).await;
    for id in in_b {
        rig.proxy(id, Link::Control).heal();
    }
    let first_wins = first.digest() > second.digest();
    let (winner, losers) = if first_wins {
        (&first, in_b)
    } else {
        (&second, in_a)
    };
    until_all_hold_digest(&rig, &in_a, winner).await;
    until_all_hold_digest(&rig, &in_b, winner).await;
    for id in losers {
        let told = rig.node(id).daemon.logged("two contents of document");
        assert!(told, "{id} tells of the conflict");
    }
}
