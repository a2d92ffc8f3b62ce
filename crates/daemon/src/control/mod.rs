//! The control plane of a daemon: runs a [`fleet::Node`] and does its I/O.
//!
//! One task drives the node. Messages of peers and answers of the platform reach it through
//! bounded channels, and the I/O of its actions runs in other tasks, so that neither a slow
//! peer nor a slow platform delays its heartbeats.

mod counters;
mod freshness;
mod inbound;
mod outbound;
mod platform;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fleet::{Action, Alarm, Node, NodeConfig, Outbox, PlatformAnswer, View};
use log::{info, warn};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::{MissedTickBehavior, interval};
use wire::control::{Envelope, Kind};

pub(crate) use self::counters::{Counter, Counters};
pub(crate) use self::freshness::Freshness;
use self::outbound::Peers;
use self::platform::Platform;

/// Interval between ticks of the node.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Capacity of the channels to the node, in messages; senders to a full one wait.
const INBOX_CAPACITY: usize = 256;

/// Configuration of the control plane.
#[derive(Clone, Debug)]
pub(crate) struct ControlConfig {
    /// Configuration of this daemon's node in the fleet.
    pub(crate) node: NodeConfig,
    /// Addresses of the platform; a failed read switches to the next one.
    pub(crate) platform: Vec<SocketAddr>,
}

/// Runs the control plane until all receivers of `view` are dropped.
///
/// The node announces that it leaves the fleet once `leaving` becomes true, and keeps running
/// after that.
pub(crate) async fn run(
    cfg: ControlConfig,
    listener: TcpListener,
    view: watch::Sender<View>,
    leaving: watch::Receiver<bool>,
    freshness: Freshness,
    counters: Arc<Counters>,
) {
    let (message_tx, mut messages) = mpsc::channel(INBOX_CAPACITY);
    let (answer_tx, mut answers) = mpsc::channel(INBOX_CAPACITY);
    let accept_task = tokio::spawn(inbound::accept(listener, message_tx, Arc::clone(&counters)));
    let mut control = Control {
        node: Node::new(cfg.node, Instant::now()),
        out: Outbox::default(),
        peers: Peers::new(Arc::clone(&counters)),
        platform: Platform::new(cfg.platform, answer_tx, Arc::clone(&counters)),
        view,
        freshness,
        counters,
        last_alarm: None,
    };
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    let mut leaving = Some(leaving);
    loop {
        // The tick is polled before messages and answers, so that the node detects a pause of
        // the process before it decides anything.
        tokio::select! {
            biased;
            () = control.view.closed() => break,
            _ = ticks.tick() => control.tick(),
            must_leave = wait_for_leave(&mut leaving) => if must_leave { control.leave() },
            Some(message) = messages.recv() => control.on_message(message),
            Some(answer) = answers.recv() => control.on_answer(answer),
        }
    }
    accept_task.abort();
}

/// Waits until the daemon is told to leave. Returns false if the sender was dropped first;
/// resolves only once.
async fn wait_for_leave(leaving: &mut Option<watch::Receiver<bool>>) -> bool {
    let Some(rx) = leaving else {
        return std::future::pending().await;
    };
    let must_leave = rx.wait_for(|leaving| *leaving).await.is_ok();
    *leaving = None;
    must_leave
}

/// The node, and the connections that its actions need.
struct Control {
    node: Node,
    out: Outbox,
    peers: Peers,
    platform: Platform,
    view: watch::Sender<View>,
    freshness: Freshness,
    counters: Arc<Counters>,
    last_alarm: Option<Alarm>,
}

impl Control {
    fn tick(&mut self) {
        let now = Instant::now();
        self.node.tick(now, &mut self.out);
        self.peers.close_idle(now);
        self.apply_actions(now);
        self.freshness.record_tick(now);
    }

    fn leave(&mut self) {
        self.node.leave(&mut self.out);
        self.apply_actions(Instant::now());
    }

    fn on_message(&mut self, message: Envelope) {
        let now = Instant::now();
        self.node.on_message(message, now, &mut self.out);
        self.apply_actions(now);
    }

    fn on_answer(&mut self, answer: PlatformAnswer) {
        let now = Instant::now();
        self.node.on_platform(answer, now, &mut self.out);
        self.apply_actions(now);
    }

    /// Carries out the actions that the node has queued.
    fn apply_actions(&mut self, now: Instant) {
        let mut out = std::mem::take(&mut self.out);
        for action in out.drain() {
            match action {
                Action::Send { to, message } => self.peers.send(to, &message, now),
                Action::ReadDocument(read) => self.platform.read(Kind::Document, read),
                Action::ReadInstances(read) => self.platform.read(Kind::Instances, read),
                Action::ViewChanged => self.publish(),
                Action::Alarm(alarm) => self.on_alarm(alarm),
            }
        }
        self.out = out;
        self.freshness.set_confirmed(!self.node.is_stale(now));
    }

    /// Publishes the node's view to the data path.
    fn publish(&self) {
        let view = self.node.view();
        let revision = |view: &View| Some(view.index.as_ref()?.document().revision);
        let new = revision(&view);
        let old = revision(&self.view.send_replace(view));
        if let Some(revision) = new.filter(|_| new != old) {
            info!("revision {revision} is in force");
        }
    }

    /// Logs an alarm unless it equals the last one, as a refused document raises the same alarm
    /// at each read.
    fn on_alarm(&mut self, alarm: Alarm) {
        self.counters.alarms.add(1);
        if self.last_alarm.as_ref() != Some(&alarm) {
            warn!("{alarm}");
            self.last_alarm = Some(alarm);
        }
    }
}
