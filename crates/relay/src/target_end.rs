//! Detection of the end of the local target, and of the requests that were in flight then.

use std::cell::{Cell, RefCell};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use model::InstanceId;
use policy::{EndKey, Fingerprint};
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
    /// The end that requests which break off now count towards.
    current: Cell<Option<EndKey>>,
    /// Requests that were in flight at that end, so far.
    in_flight: RefCell<Vec<Fingerprint>>,
}

/// Records that the connection to the local target broke while it ran a request, and finds out
/// whether the target has ended.
pub(crate) async fn record_broken_run(relay: &Rc<Relay>, fingerprint: Fingerprint) {
    let detector = &relay.target_end;
    let probe = Rc::clone(detector.probe.borrow_mut().get_or_insert_default());
    let has_ended = *probe
        .get_or_init(|| refuses_connections(relay.cfg.target))
        .await;
    detector
        .probe
        .borrow_mut()
        .take_if(|current| Rc::ptr_eq(current, &probe));
    if !has_ended {
        return;
    }
    detector.in_flight.borrow_mut().push(fingerprint);
    let end = detector.current.get().unwrap_or_else(|| {
        let end = EndKey(rand::random());
        detector.current.set(Some(end));
        tokio::task::spawn_local(log_end(Rc::clone(relay), end));
        end
    });
    let target_id = local_target_id(relay);
    let now = Instant::now().into_std();
    let mut crashes = relay.crashes.borrow_mut();
    crashes.record_suspect(end, &target_id, &relay.cfg.name, fingerprint, now);
    relay.crash_exchange.notify();
}

fn local_target_id(relay: &Relay) -> InstanceId {
    let target = relay.view.borrow().local_target.clone();
    target.map(|target| target.id).unwrap_or_default()
}

/// Logs an end once all requests that were in flight are known.
async fn log_end(relay: Rc<Relay>, end: EndKey) {
    sleep(COLLECTION_TIME).await;
    relay.target_end.current.set(None);
    let in_flight = relay.target_end.in_flight.take();
    let target_id = local_target_id(&relay);
    let fingerprints: Vec<String> = in_flight.iter().map(ToString::to_string).collect();
    log::warn!(
        target_id = target_id.as_str(),
        end:%,
        fingerprints = fingerprints.join(" ").as_str();
        "target ended"
    );
}

async fn refuses_connections(target: SocketAddr) -> bool {
    match timeout(PROBE_TIMEOUT, TcpStream::connect(target)).await {
        Ok(Err(error)) => error.kind() == ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}
