//! Sends control messages to other daemons.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::SinkExt;
use prost::Message;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::codec::FramedWrite;
use wire::control::{Envelope, MAX_FRAME_BYTES};

use super::counters::Counters;
use super::inbound::{FRAME_HEADER_BYTES, codec};

/// Maximum number of connections to other daemons.
const MAX_CONNECTIONS: usize = 256;

/// Capacity of the queue to one peer, in messages.
const QUEUE_CAPACITY: usize = 32;

/// Maximum size of all queues together, in bytes.
const MAX_QUEUED_BYTES: usize = 16 << 20;

/// A connection without a message for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time limit for writing one frame to the socket.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// An open or opening connection.
#[derive(Debug)]
struct Peer {
    frames: mpsc::Sender<Bytes>,
    last_used: Instant,
}

/// Connections to other daemons, opened on the first message.
///
/// Sending never waits: a message that can't be queued is dropped. The protocol tolerates
/// this, as the network may lose a message too.
#[derive(Debug)]
pub(super) struct Peers {
    by_address: HashMap<SocketAddr, Peer>,
    queued_bytes: Arc<AtomicUsize>,
    counters: Arc<Counters>,
}

impl Peers {
    pub(super) fn new(counters: Arc<Counters>) -> Self {
        Peers {
            by_address: HashMap::new(),
            queued_bytes: Arc::default(),
            counters,
        }
    }

    /// Queues a message to a peer, or drops it if a limit is reached.
    pub(super) fn send(&mut self, to: SocketAddr, message: &Envelope, now: Instant) {
        let frame = Bytes::from(message.encode_to_vec());
        let bytes = frame.len();
        let queued = self.queued_bytes.load(Ordering::Relaxed);
        if bytes > MAX_FRAME_BYTES || queued + bytes > MAX_QUEUED_BYTES {
            self.counters.dropped.add(1);
            return;
        }
        let queued_bytes = Arc::clone(&self.queued_bytes);
        let Some(peer) = self.peer_or_connect(to, now) else {
            self.counters.dropped.add(1);
            return;
        };
        peer.last_used = now;
        // Counted before the send, as the writer task may take the frame and subtract it at once.
        queued_bytes.fetch_add(bytes, Ordering::Relaxed);
        let sent = peer.frames.try_send(frame);
        if sent.is_err() {
            queued_bytes.fetch_sub(bytes, Ordering::Relaxed);
            self.counters.dropped.add(1);
        }
    }

    /// Closes connections that have been idle for [`IDLE_TIMEOUT`].
    pub(super) fn close_idle(&mut self, now: Instant) {
        self.by_address.retain(|_, peer| {
            !peer.frames.is_closed() && now.duration_since(peer.last_used) < IDLE_TIMEOUT
        });
    }

    /// Returns the connection to a peer, opening one if needed; `None` at [`MAX_CONNECTIONS`].
    fn peer_or_connect(&mut self, to: SocketAddr, now: Instant) -> Option<&mut Peer> {
        if self
            .by_address
            .get(&to)
            .is_some_and(|p| p.frames.is_closed())
        {
            self.by_address.remove(&to);
        }
        if !self.by_address.contains_key(&to) {
            if self.by_address.len() >= MAX_CONNECTIONS {
                return None;
            }
            let (tx, rx) = mpsc::channel(QUEUE_CAPACITY);
            self.spawn_writer(to, rx);
            let peer = Peer {
                frames: tx,
                last_used: now,
            };
            self.by_address.insert(to, peer);
        }
        self.by_address.get_mut(&to)
    }

    fn spawn_writer(&self, to: SocketAddr, frames: mpsc::Receiver<Bytes>) {
        let mut queue = PeerQueue {
            frames,
            queued_bytes: Arc::clone(&self.queued_bytes),
            counters: Arc::clone(&self.counters),
        };
        tokio::spawn(async move {
            if let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await {
                queue.counters.connects.add(1);
                queue.write_frames(stream).await;
            }
        });
    }
}

/// The receiving end of one peer's queue.
struct PeerQueue {
    frames: mpsc::Receiver<Bytes>,
    queued_bytes: Arc<AtomicUsize>,
    counters: Arc<Counters>,
}

impl PeerQueue {
    /// Writes frames until the queue is closed or the connection fails.
    async fn write_frames(&mut self, stream: TcpStream) {
        // With Nagle's algorithm, small frames would wait for the acknowledgement of earlier ones.
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let (mut reader, writer) = stream.into_split();
        let mut writer = FramedWrite::new(writer, codec());
        let mut discarded = [0_u8; 1];
        loop {
            let frame = tokio::select! {
                // Peers send nothing on this connection, so a read returns once it is closed.
                _ = reader.read(&mut discarded) => return,
                frame = self.frames.recv() => frame,
            };
            let Some(frame) = frame else {
                return;
            };
            let bytes = frame.len();
            self.queued_bytes.fetch_sub(bytes, Ordering::Relaxed);
            let sent = timeout(WRITE_TIMEOUT, writer.send(frame)).await;
            if !matches!(sent, Ok(Ok(()))) {
                self.counters.dropped.add(1);
                return;
            }
            self.counters.messages_out.add(1);
            self.counters.bytes_out.add(FRAME_HEADER_BYTES + bytes);
        }
    }
}

impl Drop for PeerQueue {
    fn drop(&mut self) {
        self.frames.close();
        while let Ok(frame) = self.frames.try_recv() {
            self.queued_bytes.fetch_sub(frame.len(), Ordering::Relaxed);
            self.counters.dropped.add(1);
        }
    }
}
