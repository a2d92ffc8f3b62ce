//! Receives control messages from other daemons.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use log::debug;
use prost::Message;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::time::{sleep, timeout};
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use wire::control::{Envelope, MAX_FRAME_BYTES};

use super::counters::Counters;

/// Maximum number of connections from other daemons.
const MAX_CONNECTIONS: usize = 512;

/// A connection without a message for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_mins(3);

/// Delay after a failed accept, which usually means that file descriptors have run out.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);

/// Size of the length field before each frame.
pub(super) const FRAME_HEADER_BYTES: usize = 4;

/// Accepts connections and passes their messages to `messages`, until the task is aborted.
pub(super) async fn accept(
    listener: TcpListener,
    messages: mpsc::Sender<Envelope>,
    counters: Arc<Counters>,
) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    while let Ok(permit) = Arc::clone(&permits).acquire_owned().await {
        let Ok((stream, peer)) = listener.accept().await else {
            sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        let messages = messages.clone();
        let counters = Arc::clone(&counters);
        tokio::spawn(async move {
            if let Err(e) = receive(stream, &messages, &counters).await {
                debug!("control connection from {peer} ended: {e}");
            }
            drop(permit);
        });
    }
}

/// Returns the codec of control frames: a length field, then the message.
pub(super) fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .length_field_length(FRAME_HEADER_BYTES)
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

async fn receive(
    stream: TcpStream,
    messages: &mpsc::Sender<Envelope>,
    counters: &Counters,
) -> anyhow::Result<()> {
    let mut frames = Framed::new(stream, codec());
    while let Some(frame) = timeout(IDLE_TIMEOUT, frames.next()).await? {
        let frame = frame?;
        counters.bytes_in.add(FRAME_HEADER_BYTES + frame.len());
        counters.messages_in.add(1);
        let message = Envelope::decode(frame)?;
        // A full channel exerts backpressure on the sender.
        if messages.send(message).await.is_err() {
            break;
        }
    }
    Ok(())
}
