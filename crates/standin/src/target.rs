//! An instance of a service: runs operations in a bounded number of slots, calls
//! others through its daemon, and can be cold, slow, draining or report false health.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use futures_util::stream;
use http::header::CONTENT_LENGTH;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};

use crate::call::Call;
use crate::caller::Caller;
use crate::http_server::{Body, CloseConnection, HandlerResult, Server, respond};
use crate::ledger::{Ledger, Run, RunEnd, RunIndex};
use crate::plan::{Downstream, TargetConfig};
use crate::random::ServiceTime;
use crate::request_params::RequestParams;
use crate::response_body::BodyChunks;

/// What the health endpoint reports.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Health {
    /// The actual status and load.
    #[default]
    Honest,
    /// A fixed status and load, whatever the actual state.
    Claims {
        /// Reported status.
        status: &'static str,
        /// Reported load.
        load: f64,
    },
}

/// A running target; closes its connections when dropped.
#[derive(Debug)]
pub struct Target {
    server: Server,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    cfg: TargetConfig,
    ledger: Ledger,
    slots: Arc<Semaphore>,
    caller: Caller,
    started: Instant,
    held: watch::Sender<bool>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    rng: SmallRng,
    egress: Option<SocketAddr>,
    draining: bool,
    health: Health,
    slowdown: f64,
    in_flight: usize,
    shed_count: u64,
}

impl Target {
    /// Starts a target that records its runs in the ledger.
    ///
    /// # Errors
    ///
    /// If its address cannot be bound.
    pub async fn start(cfg: TargetConfig, ledger: Ledger) -> io::Result<Self> {
        let state = State {
            rng: SmallRng::seed_from_u64(cfg.seed),
            egress: None,
            draining: false,
            health: Health::Honest,
            slowdown: 1.0,
            in_flight: 0,
            shed_count: 0,
        };
        let listen = cfg.listen;
        let shared = Arc::new(Shared {
            slots: Arc::new(Semaphore::new(cfg.slots)),
            cfg,
            ledger,
            caller: Caller::new(),
            started: Instant::now(),
            held: watch::channel(false).0,
            state: Mutex::new(state),
        });
        let handler = Arc::clone(&shared);
        let server = Server::start(listen, move |req| handle(Arc::clone(&handler), req)).await?;
        Ok(Target { server, shared })
    }

    /// The address it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the local listener of its daemon, through which it calls others.
    pub fn set_egress(&self, egress: SocketAddr) {
        self.shared.lock().egress = Some(egress);
    }

    /// Multiplies all service times drawn from now on by `factor`.
    pub fn set_slowdown(&self, factor: f64) {
        self.shared.lock().slowdown = factor;
    }

    /// Sets what the health endpoint reports.
    pub fn set_health(&self, health: Health) {
        self.shared.lock().health = health;
    }

    /// Reports itself as draining. Later requests still run, and their runs are recorded
    /// with [`Run::while_draining`] set.
    pub fn drain(&self) {
        self.shared.lock().draining = true;
    }

    /// Pauses runs after their service time and before their downstream calls, until
    /// [`Target::release`].
    pub fn hold(&self) {
        self.shared.held.send_replace(true);
    }

    /// Lets the runs paused by [`Target::hold`] continue.
    pub fn release(&self) {
        self.shared.held.send_replace(false);
    }

    /// Number of requests in its slots and its backlog.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.shared.lock().in_flight
    }

    /// Number of requests that it shed.
    #[must_use]
    pub fn shed_count(&self) -> u64 {
        self.shared.lock().shed_count
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_cold(&self) -> bool {
        self.started.elapsed() < self.cfg.warm_up
    }

    fn draw_time(&self, time: ServiceTime) -> Duration {
        let cold_factor = if self.is_cold() {
            self.cfg.cold_factor
        } else {
            1.0
        };
        let mut state = self.lock();
        let drawn = time.draw(&mut state.rng);
        drawn.mul_f64(state.slowdown * cold_factor)
    }
}

/// An admitted request; leaves the slots and backlog when dropped.
struct Admission(Arc<Shared>);

impl Admission {
    /// Admits a request to the slots or the backlog, unless both are full.
    fn acquire(shared: &Arc<Shared>) -> Option<Self> {
        let mut state = shared.lock();
        if state.in_flight >= shared.cfg.slots + shared.cfg.backlog {
            state.shed_count += 1;
            return None;
        }
        state.in_flight += 1;
        drop(state);
        Some(Admission(Arc::clone(shared)))
    }
}

impl Drop for Admission {
    fn drop(&mut self) {
        self.0.lock().in_flight -= 1;
    }
}

/// A run that holds a slot; recorded as cancelled if dropped before it finishes.
struct Running {
    run: RunIndex,
    end: RunEnd,
    admission: Admission,
    _slot: OwnedSemaphorePermit,
}

impl Running {
    fn finish(mut self) {
        self.end = RunEnd::Finished;
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.admission.0.ledger.end(self.run, self.end);
    }
}

async fn handle(shared: Arc<Shared>, req: Request<Incoming>) -> HandlerResult {
    if req.uri().path() == "/healthz" {
        return Ok(health(&shared));
    }
    let params = RequestParams::parse(&shared.cfg, &req);
    let received_bytes = drain_body(req.into_body()).await?;
    let Some(admission) = Admission::acquire(&shared) else {
        return Ok(respond(StatusCode::SERVICE_UNAVAILABLE, "shed"));
    };
    let slot = Arc::clone(&shared.slots).acquire_owned().await;
    let slot = slot.map_err(|_| CloseConnection)?;
    let run = shared
        .ledger
        .begin(new_run(&shared, &params, received_bytes));
    let running = Running {
        run,
        end: RunEnd::Cancelled,
        admission,
        _slot: slot,
    };
    if let Err(error) = execute(&shared, &params).await {
        running.finish();
        return Ok(respond(StatusCode::FAILED_DEPENDENCY, error));
    }
    Ok(stream_response(&shared, &params, running))
}

fn new_run(shared: &Shared, params: &RequestParams, received_bytes: usize) -> Run {
    Run {
        service: shared.cfg.service.clone(),
        instance: shared.cfg.instance.clone(),
        operation: params.operation.clone(),
        root: params.root.clone(),
        key: params.key.clone(),
        token: params.token.clone(),
        received_bytes,
        while_draining: shared.lock().draining,
        started: Instant::now(),
        ended: None,
    }
}

/// Sleeps for the operation's service time, then makes its downstream calls.
async fn execute(shared: &Shared, params: &RequestParams) -> Result<(), String> {
    let plan = shared.cfg.plan_of(&params.operation);
    tokio::time::sleep(shared.draw_time(plan.time) + params.hold).await;
    let mut held = shared.held.subscribe();
    // The sender lives as long as the shared state does.
    let _ = held.wait_for(|held| !held).await;
    for (position, downstream) in plan.calls.iter().enumerate() {
        call(shared, params, position, downstream).await?;
    }
    Ok(())
}

async fn call(
    shared: &Shared,
    params: &RequestParams,
    position: usize,
    downstream: &Downstream,
) -> Result<(), String> {
    let egress = shared.lock().egress;
    let egress = egress.ok_or("no daemon to call through")?;
    let token = format!("{}.{position}", params.token);
    let mut call = Call::new(&downstream.service, &downstream.operation, &token)
        .answer_bytes(downstream.answer_bytes);
    call.request_id.clone_from(&params.request_id);
    if !downstream.repeatable {
        let own = params.key.as_ref().unwrap_or(&params.token);
        call = call.key(&format!("{own}.{position}"));
    }
    let reply = shared.caller.send(egress, &call).await;
    let reply = reply.map_err(|error| error.to_string())?;
    if !reply.status.is_success() {
        return Err(reply.summary());
    }
    if !reply.answers(&call) && downstream.answer_bytes > 0 && reply.body.is_ok() {
        let mismatch = format!("{}/{} {token}", downstream.service, downstream.operation);
        shared.ledger.record_mismatch(mismatch);
    }
    reply.body.map(|_| ()).map_err(|error| error.to_string())
}

/// Streams the response body; the run is finished once its last chunk is handed over.
fn stream_response(shared: &Shared, params: &RequestParams, running: Running) -> Response<Body> {
    let chunks = BodyChunks::new(
        &shared.cfg.service,
        &params.operation,
        &params.token,
        params.answer_bytes,
    );
    let frames = stream::unfold((chunks, running), |(mut chunks, mut running)| async move {
        let Some(chunk) = chunks.next() else {
            running.finish();
            return None;
        };
        if chunks.is_done() {
            running.end = RunEnd::Finished;
        }
        Some((Ok(Frame::data(chunk)), (chunks, running)))
    });
    let mut response = Response::new(StreamBody::new(frames).boxed());
    if !params.chunked {
        let length = params.answer_bytes.into();
        response.headers_mut().insert(CONTENT_LENGTH, length);
    }
    response
}

async fn drain_body(mut body: Incoming) -> Result<usize, CloseConnection> {
    let mut bytes = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| CloseConnection)?;
        bytes += frame.data_ref().map_or(0, bytes::Bytes::len);
    }
    Ok(bytes)
}

fn health(shared: &Shared) -> Response<Body> {
    let state = shared.lock();
    let honest_status = match (state.draining, shared.is_cold()) {
        (true, _) => "draining",
        (false, true) => "starting",
        (false, false) => "ok",
    };
    let busy = u32::try_from(state.in_flight).unwrap_or(u32::MAX);
    let slots = u32::try_from(shared.cfg.slots).unwrap_or(u32::MAX).max(1);
    let honest_load = (f64::from(busy) / f64::from(slots)).min(1.0);
    let (status, load) = match state.health {
        Health::Honest => (honest_status, honest_load),
        Health::Claims { status, load } => (status, load),
    };
    let body = serde_json::json!({ "status": status, "load": load });
    respond(StatusCode::OK, body.to_string())
}
