//! Tests of what readers of the platform receive in its modes.

use std::time::Duration;

use config::Document;
use model::{Goal, Revision};
use standin::{Caller, Platform, PlatformMode, Serving};

fn document(revision: u64) -> Document {
    Document {
        revision: Revision::from(revision),
        goal: Goal::Goodput,
        retry_budget: 1,
        retry_percent: 10,
        services: Vec::new(),
    }
}

/// Reads a path and returns the status, followed by the revision of the document or
/// else the body.
async fn read(platform: &Platform, path: &str) -> String {
    let uri = format!("http://{}/v1/{path}", platform.address());
    match Caller::unpooled().get(&uri).await {
        Ok((status, body)) => match Document::parse(&body) {
            Ok(document) => format!("{} revision {}", status.as_u16(), document.revision),
            Err(_) => format!("{} {}", status.as_u16(), String::from_utf8_lossy(&body))
                .trim_end()
                .to_owned(),
        },
        Err(_) => "no answer".to_owned(),
    }
}

#[tokio::test]
async fn readers_receive_the_revision_being_served() {
    let platform = Platform::start().await.unwrap();
    let mut seen = vec![read(&platform, "document").await];
    for revision in 1..=3 {
        platform.publish(&document(revision));
    }
    let cases = [
        Serving::Latest,
        Serving::Stale(Revision::from(1)),
        Serving::Reverted(Revision::from(1)),
    ];
    for serving in cases {
        platform.serve(serving);
        for path in [
            "document",
            "document?after=2&wait_ms=1",
            "document?after=3&wait_ms=1",
        ] {
            seen.push(format!(
                "{serving:?} {path}: {}",
                read(&platform, path).await
            ));
        }
    }
    platform.set_mode(PlatformMode::Closing);
    seen.push(read(&platform, "document").await);
    insta::assert_snapshot!(seen.join("\n"), @r"
    404
    Latest document: 200 revision 3
    Latest document?after=2&wait_ms=1: 200 revision 3
    Latest document?after=3&wait_ms=1: 304
    Stale(Revision(1)) document: 200 revision 1
    Stale(Revision(1)) document?after=2&wait_ms=1: 304
    Stale(Revision(1)) document?after=3&wait_ms=1: 304
    Reverted(Revision(1)) document: 200 revision 1
    Reverted(Revision(1)) document?after=2&wait_ms=1: 200 revision 1
    Reverted(Revision(1)) document?after=3&wait_ms=1: 200 revision 1
    no answer
    ");
    assert_eq!(platform.calls(), 11);
}

#[tokio::test]
async fn watch_waits_for_a_newer_revision() {
    let platform = Platform::start().await.unwrap();
    platform.publish(&document(1));
    let (seen, ()) = tokio::join!(read(&platform, "document?after=1&wait_ms=20000"), async {
        while platform.waiting() == 0 {
            tokio::task::yield_now().await;
        }
        platform.publish(&document(2));
    });
    assert_eq!(seen, "200 revision 2");
    assert_eq!(platform.waiting(), 0);
}

#[tokio::test]
async fn list_change_is_visible_after_the_lag() {
    let platform = Platform::start().await.unwrap();
    platform.set_list_lag(Duration::from_millis(30));
    platform.set_instances(&[]);
    let mut seen = vec![read(&platform, "instances").await];
    seen.push(read(&platform, "instances?after=0&wait_ms=20000").await);
    insta::assert_snapshot!(seen.join("\n"), @r#"
    200 {"version":0,"instances":[]}
    200 {"version":1,"instances":[]}
    "#);
}
