//! Invalid states from peers: patches that don't match their stamps and malformed documents.

mod simulation;

use std::time::Instant;

use fleet::{Action, Alarm, Node, NodeConfig, Outbox, PlatformAnswer, ReadResult};
use simulation::document;
use wire::control::{Body, Delta, Envelope, Kind, Pull, Stamp, Stamps, Step, Whole};

fn node_at_revision_1(now: Instant) -> Node {
    let cfg = NodeConfig {
        id: "own".into(),
        data_centre: "dc0".into(),
        control: simulation::address(0),
        seeds: Vec::new(),
        expected_members: 2,
        generation: 1,
        seed: 1,
    };
    let mut node = Node::new(cfg, now);
    let content = document(1, 10).to_bytes().into();
    let answer = PlatformAnswer {
        kind: Kind::Document,
        result: ReadResult::Content(content),
    };
    node.on_platform(answer, now, &mut Outbox::default());
    node
}

fn message(document: Option<Stamp>, body: Option<Body>) -> Envelope {
    Envelope {
        from: "peer".to_owned(),
        reply_to: simulation::address(1).to_string(),
        stamps: Stamps {
            document,
            instances: None,
        },
        body,
        ..Envelope::default()
    }
}

fn pulls(out: &mut Outbox) -> Vec<Pull> {
    let pull = |action| match action {
        Action::Send { message, .. } => match message.body {
            Some(Body::Pull(pull)) => Some(pull),
            _ => None,
        },
        _ => None,
    };
    out.drain().filter_map(pull).collect()
}

#[test]
fn patch_with_a_wrong_result_leads_to_a_pull_of_the_whole_state() {
    let now = Instant::now();
    let mut node = node_at_revision_1(now);
    let held = node.document_stamp().unwrap();
    let patch = br#"{"revision":2,"goal":"goodput","retry_budget":9,"retry_percent":1,"changed":[],"removed":[]}"#;
    let to = Stamp {
        revision: 2,
        digest: 7,
    };
    let step = Step {
        from: held.into(),
        to,
        patch: (&patch[..]).into(),
    };
    let delta = Delta {
        kind: Kind::Document.into(),
        steps: vec![step],
    };
    let mut out = Outbox::default();
    node.on_message(message(None, Some(Body::Delta(delta))), now, &mut out);
    assert_eq!(node.document_stamp(), Some(held));
    let bases: Vec<_> = pulls(&mut out).iter().map(|pull| pull.base).collect();
    assert_eq!(bases, [None]);
}

#[test]
fn refused_state_is_not_pulled_again() {
    let now = Instant::now();
    let mut node = node_at_revision_1(now);
    let stamp = Stamp {
        revision: 2,
        digest: 7,
    };
    let whole = Whole {
        kind: Kind::Document.into(),
        stamp,
        content: (&b"{}"[..]).into(),
    };
    let mut out = Outbox::default();
    node.on_message(message(None, Some(Body::Whole(whole))), now, &mut out);
    let refused = |action| matches!(action, Action::Alarm(Alarm::Refused { .. }));
    assert!(out.drain().any(refused));
    node.on_message(message(Some(stamp), None), now, &mut out);
    assert_eq!(pulls(&mut out), []);
    let next = Stamp {
        revision: 3,
        ..stamp
    };
    node.on_message(message(Some(next), None), now, &mut out);
    assert_eq!(pulls(&mut out).len(), 1);
}
