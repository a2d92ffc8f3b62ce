//! Forwards one direction of a proxied connection and injects its faults.

use std::io;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::proxy::{Direction, Faults, Settings};

const READ_BUFFER_BYTES: usize = 16 * 1024;
const MAX_CHUNKS_IN_FLIGHT: usize = 64;
/// Wait before a truncated connection is reset.
const DELIVERY_TIME: Duration = Duration::from_millis(5);
/// Pause after each write to a throttled connection.
const THROTTLE_STEP: Duration = Duration::from_millis(10);

/// Forwards one direction of one connection.
pub(crate) struct Pump {
    direction: Direction,
    settings: watch::Receiver<Settings>,
    rng: SmallRng,
}

/// Bytes that have been read and wait to be written.
struct Chunk {
    due: Instant,
    bytes: Bytes,
    /// Whether the connection is reset after this chunk.
    ends_in_reset: bool,
}

/// Error that makes the proxy reset the connection.
pub(crate) struct Reset;

impl From<io::Error> for Reset {
    fn from(_: io::Error) -> Self {
        Reset
    }
}

impl Pump {
    pub(crate) fn new(
        direction: Direction,
        settings: &watch::Receiver<Settings>,
        seed: u64,
    ) -> Self {
        Pump {
            direction,
            settings: settings.clone(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    pub(crate) async fn run(self, from: ReadHalf<'_>, to: WriteHalf<'_>) -> Result<(), Reset> {
        let (tx, rx) = mpsc::channel(MAX_CHUNKS_IN_FLIGHT);
        let writer = write_due(rx, to, self.settings.clone(), self.direction);
        tokio::try_join!(self.read_all(from, tx), writer)?;
        Ok(())
    }

    async fn read_all(
        mut self,
        mut from: ReadHalf<'_>,
        tx: mpsc::Sender<Chunk>,
    ) -> Result<(), Reset> {
        let mut passed: u64 = 0;
        loop {
            let faults = wait_until_unfrozen(&mut self.settings, self.direction).await?;
            let mut buf = BytesMut::with_capacity(READ_BUFFER_BYTES);
            let length = from.read_buf(&mut buf).await?;
            // Faults that were set while the read waited apply to these bytes as well.
            let faults = if faults.frozen {
                faults
            } else {
                wait_until_unfrozen(&mut self.settings, self.direction).await?
            };
            if faults.black_hole {
                return self.discard_all(from).await;
            }
            if length == 0 {
                return Ok(());
            }
            passed += u64::try_from(length).unwrap_or(u64::MAX);
            let excess = faults
                .truncate_after
                .map_or(0, |end| passed.saturating_sub(end));
            buf.truncate(length.saturating_sub(usize::try_from(excess).unwrap_or(length)));
            let chunk = Chunk {
                due: Instant::now() + self.delay(faults),
                bytes: buf.freeze(),
                ends_in_reset: faults.truncate_after.is_some_and(|end| passed >= end),
            };
            tx.send(chunk).await.map_err(|_| Reset)?;
        }
    }

    /// Discards everything until the black hole ends, then asks for a reset, as bytes
    /// are missing from the stream.
    async fn discard_all(mut self, mut from: ReadHalf<'_>) -> Result<(), Reset> {
        let direction = self.direction;
        let mut buf = vec![0; READ_BUFFER_BYTES];
        let cleared = async move {
            let _ = self
                .settings
                .wait_for(|now| !now.faults(direction).black_hole)
                .await;
        };
        let discarded = async {
            while from.read(&mut buf).await.is_ok_and(|length| length > 0) {}
            std::future::pending::<()>().await;
        };
        tokio::select! {
            () = cleared => Err(Reset),
            () = discarded => Err(Reset),
        }
    }

    fn delay(&mut self, faults: Faults) -> Duration {
        faults.latency + faults.jitter.mul_f64(self.rng.random())
    }
}

/// Waits until the direction isn't frozen and returns its faults.
async fn wait_until_unfrozen(
    settings: &mut watch::Receiver<Settings>,
    direction: Direction,
) -> Result<Faults, Reset> {
    let now = settings
        .wait_for(|now| !now.faults(direction).frozen)
        .await
        .map_err(|_| Reset)?;
    Ok(now.faults(direction))
}

/// Writes each chunk when it is due. Shuts the direction down after the last one, or
/// asks for a reset if the direction is truncated there.
async fn write_due(
    mut rx: mpsc::Receiver<Chunk>,
    mut to: WriteHalf<'_>,
    mut settings: watch::Receiver<Settings>,
    direction: Direction,
) -> Result<(), Reset> {
    while let Some(mut chunk) = rx.recv().await {
        tokio::time::sleep_until(chunk.due).await;
        while !chunk.bytes.is_empty() {
            let throttle = wait_until_unfrozen(&mut settings, direction)
                .await?
                .throttle;
            let length = chunk.bytes.len();
            let step = throttle.map_or(length, step_bytes).min(length);
            to.write_all(&chunk.bytes.split_to(step)).await?;
            if throttle.is_some() {
                tokio::time::sleep(THROTTLE_STEP).await;
            }
        }
        if chunk.ends_in_reset {
            // A reset discards bytes that the kernel has not delivered yet.
            tokio::time::sleep(DELIVERY_TIME).await;
            return Err(Reset);
        }
    }
    to.shutdown().await?;
    Ok(())
}

/// Number of bytes to write per `THROTTLE_STEP`, at least 1.
fn step_bytes(bytes_per_second: u32) -> usize {
    let step = u64::from(bytes_per_second) * 10 / 1000;
    usize::try_from(step).unwrap_or(usize::MAX).max(1)
}
