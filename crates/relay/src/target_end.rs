//! Detection of the end of the local target, and of the requests that were in flight then.

use std::cell::RefCell;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use policy::{EndKey, EndReport, Fingerprint};
use tokio::net::TcpStream;
use tokio::sync::OnceCell;
use tokio::time::{Instant, sleep, timeout};

use crate::relay::Relay;

/// Time in which a target on the same machine accepts or refuses a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for which requests that break off count towards the same end: all connections of a process
/// are reset at once, but their tasks run one after the other.
const COLLECTION_TIME: Duration = Duration::from_millis(5);

/// Tells the end of the local target from the loss of single connections to it.
#[derive(Default)]
pub(crate) struct EndDetector {
    /// The probe in progress, which all requests that broke off share.
    probe: RefCell<Option<Rc<OnceCell<bool>>>>,
    /// Requests that were in flight at the end being recorded.
    in_flight: RefCell<Vec<Fingerprint>>,
    /// Set once that end is recorded.
    recorded: RefCell<Option<Rc<OnceCell<()>>>>,
}

/// Finds out whether the local target has ended, after the connection to it broke during a run.
/// Returns once the end is recorded with all requests that were in flight.
pub(crate) async fn record_broken_run(relay: &Rc<Relay>, fingerprint: Fingerprint) {
    let detector = &relay.target_end;
    let target = relay.cfg.target;
    if !share(&detector.probe, || refuses_connections(target)).await {
        return;
    }
    detector.in_flight.borrow_mut().push(fingerprint);
    // A task of its own, as the requests that wait for it may be cancelled.
    let recorded = || async {
        let task = tokio::task::spawn_local(record_end(Rc::clone(relay)));
        if let Err(error) = task.await {
            log::error!(error:%; "failed to record the end of the target");
        }
    };
    share(&detector.recorded, recorded).await;
}

/// Runs a task once for all that wait for it at the same time.
async fn share<T: Clone, F: Future<Output = T>>(
    slot: &RefCell<Option<Rc<OnceCell<T>>>>,
    task: impl FnOnce() -> F,
) -> T {
    let shared = Rc::clone(slot.borrow_mut().get_or_insert_default());
    let result = shared.get_or_init(task).await.clone();
    slot.borrow_mut()
        .take_if(|current| Rc::ptr_eq(current, &shared));
    result
}

/// Records and logs an end, once all requests that were in flight are known.
async fn record_end(relay: Rc<Relay>) {
    sleep(COLLECTION_TIME).await;
    let suspects = relay.target_end.in_flight.take();
    if suspects.is_empty() {
        return;
    }
    let target = relay.view.borrow().local_target.clone();
    let end = EndReport {
        key: EndKey(rand::random()),
        target: target.map(|target| target.id).unwrap_or_default(),
        daemon: relay.cfg.name.clone(),
        age: Duration::ZERO,
        suspects,
    };
    let fingerprints: Vec<String> = end.suspects.iter().map(ToString::to_string).collect();
    log::warn!(
        target_id = end.target.as_str(),
        end:% = end.key,
        fingerprints = fingerprints.join(" ").as_str();
        "target ended"
    );
    let now = Instant::now().into_std();
    relay.crashes.borrow_mut().record_end(end, now);
    relay.crash_exchange.notify();
}

async fn refuses_connections(target: SocketAddr) -> bool {
    match timeout(PROBE_TIMEOUT, TcpStream::connect(target)).await {
        Ok(Err(error)) => error.kind() == ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}
