//! The control connections of a daemon: the shell round [`fleet::Node`].
//!
//! One task drives the node. Messages and answers of the platform reach it through bounded
//! channels, and what it decides is carried out by short-lived tasks, so that neither a slow
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

/// Time between two ticks of the node.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Messages that may wait for the node; senders wait beyond it.
const INBOX_LENGTH: usize = 256;

/// What the control part is told at its start.
#[derive(Clone, Debug)]
pub(crate) struct ControlConfig {
    /// The daemon's part in the fleet.
    pub(crate) node: NodeConfig,
    /// Addresses of the platform; another one is tried after a failure.
    pub(crate) platform: Vec<SocketAddr>,
}

/// Runs the control part until nobody holds a receiver of `view` any more.
///
/// The daemon leaves the fleet once `leaving` becomes true, and stays reachable after that.
pub(crate) async fn run(
    cfg: ControlConfig,
    listener: TcpListener,
    view: watch::Sender<View>,
    leaving: watch::Receiver<bool>,
    freshness: Freshness,
    counters: Arc<Counters>,
) {
    let (message_tx, mut messages) = mpsc::channel(INBOX_LENGTH);
    let (answer_tx, mut answers) = mpsc::channel(INBOX_LENGTH);
    let accepting = tokio::spawn(inbound::accept(listener, message_tx, Arc::clone(&counters)));
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
        // The tick comes first, so that a pause is noticed before anything is decided.
        tokio::select! {
            biased;
            () = control.view.closed() => break,
            _ = ticks.tick() => control.tick(),
            left = left(&mut leaving) => if left { control.leave() },
            Some(message) = messages.recv() => control.on_message(message),
            Some(answer) = answers.recv() => control.on_answer(answer),
        }
    }
    accepting.abort();
}

/// Waits until the daemon is told to leave; false if nobody can tell it any more.
async fn left(leaving: &mut Option<watch::Receiver<bool>>) -> bool {
    let Some(rx) = leaving else {
        return std::future::pending().await;
    };
    let left = rx.wait_for(|left| *left).await.is_ok();
    *leaving = None;
    left
}

/// The node together with the means to carry out what it decides.
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
        self.carry_out(now);
        self.freshness.ticked(now);
    }

    fn leave(&mut self) {
        self.node.leave(&mut self.out);
        self.carry_out(Instant::now());
    }

    fn on_message(&mut self, message: Envelope) {
        let now = Instant::now();
        self.node.on_message(message, now, &mut self.out);
        self.carry_out(now);
    }

    fn on_answer(&mut self, answer: PlatformAnswer) {
        let now = Instant::now();
        self.node.on_platform(answer, now, &mut self.out);
        self.carry_out(now);
    }

    fn carry_out(&mut self, now: Instant) {
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

    fn publish(&self) {
        let view = self.node.view();
        let revision = |view: &View| Some(view.index.as_ref()?.document().revision);
        let new = revision(&view);
        let old = revision(&self.view.send_replace(view));
        if let Some(revision) = new.filter(|_| new != old) {
            info!("revision {revision} is in force");
        }
    }

    /// Logs an alarm unless it repeats the last one, as a refused document does.
    fn on_alarm(&mut self, alarm: Alarm) {
        self.counters.alarms.add(1);
        if self.last_alarm.as_ref() != Some(&alarm) {
            warn!("{alarm}");
            self.last_alarm = Some(alarm);
        }
    }
}
