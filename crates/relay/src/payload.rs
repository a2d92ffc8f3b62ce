//! Bodies of forwarded requests and responses.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error, From};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{Instant, Sleep, sleep_until};

/// Bodies smaller than this size in bytes are buffered, so that a request can be resent and a
/// response that breaks off is detected before any of it is forwarded. Larger bodies are
/// streamed.
pub(crate) const MAX_BUFFERED_BYTES: usize = 512 << 10;

/// Body of a forwarded request or response.
pub(crate) enum Payload {
    /// The complete body.
    Buffered(Bytes),
    /// A body that is streamed after the bytes that were already read.
    Streamed {
        prefix: Bytes,
        rest: Incoming,
        /// When the body is broken off.
        expiry: Option<Pin<Box<Sleep>>>,
        /// Dropped when the body has ended.
        guards: BodyGuards,
    },
}

/// Why a streamed body ended early.
#[derive(Debug, Display, Error, From)]
pub(crate) enum BodyError {
    /// The sender broke it off.
    #[display("body broke off: {_0}")]
    Broken(hyper::Error),
    /// It had not ended in time.
    #[display("body did not end in time")]
    #[from(skip)]
    Expired,
}

/// Values that are held while a body is transferred: slots, connections, counters.
pub(crate) type BodyGuards = Vec<Box<dyn std::any::Any>>;

impl Payload {
    pub(crate) fn empty() -> Self {
        Payload::Buffered(Bytes::new())
    }

    /// Returns a copy of a buffered body; `None` if the body is streamed.
    pub(crate) fn try_clone(&self) -> Option<Payload> {
        match self {
            Payload::Buffered(bytes) => Some(Payload::Buffered(bytes.clone())),
            Payload::Streamed { .. } => None,
        }
    }

    /// Returns the bytes that are in memory: all of a buffered body, the first ones of a streamed one.
    pub(crate) fn known_bytes(&self) -> &[u8] {
        match self {
            Payload::Buffered(bytes) => bytes,
            Payload::Streamed { prefix, .. } => prefix,
        }
    }

    /// Holds a value until a streamed body has ended. Returns `false` if the body is buffered;
    /// then the value is dropped at once.
    pub(crate) fn keep_until_end(&mut self, guard: Box<dyn std::any::Any>) -> bool {
        match self {
            Payload::Buffered(_) => false,
            Payload::Streamed { guards, .. } => {
                guards.push(guard);
                true
            }
        }
    }

    /// Reads a body until it ends or reaches [`MAX_BUFFERED_BYTES`].
    pub(crate) async fn read(mut body: Incoming) -> Result<Payload, hyper::Error> {
        if body.is_end_stream() {
            return Ok(Payload::empty());
        }
        let mut prefix = BodyBuffer::default();
        while prefix.len() < MAX_BUFFERED_BYTES {
            let Some(frame) = body.frame().await else {
                return Ok(Payload::Buffered(prefix.into_bytes()));
            };
            if let Ok(data) = frame?.into_data() {
                prefix.push(data);
            }
        }
        Ok(Payload::Streamed {
            prefix: prefix.into_bytes(),
            rest: body,
            expiry: None,
            guards: BodyGuards::new(),
        })
    }

    /// Breaks a streamed body off if it has not ended by `at`. The body of a faulty target may never
    /// end.
    pub(crate) fn set_expiry(&mut self, at: Instant) {
        if let Payload::Streamed { expiry, .. } = self {
            *expiry = Some(Box::pin(sleep_until(at)));
        }
    }
}

/// Concatenates the chunks of a body; a single chunk is not copied.
#[derive(Default)]
struct BodyBuffer {
    first_chunk: Bytes,
    joined: BytesMut,
}

impl BodyBuffer {
    fn len(&self) -> usize {
        self.first_chunk.len().max(self.joined.len())
    }

    fn push(&mut self, data: Bytes) {
        if self.first_chunk.is_empty() && self.joined.is_empty() {
            self.first_chunk = data;
            return;
        }
        if self.joined.is_empty() {
            self.joined.extend_from_slice(&self.first_chunk);
            self.first_chunk = Bytes::new();
        }
        self.joined.extend_from_slice(&data);
    }

    fn into_bytes(self) -> Bytes {
        if self.joined.is_empty() {
            self.first_chunk
        } else {
            self.joined.freeze()
        }
    }
}

impl Body for Payload {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Payload::Buffered(bytes) if bytes.is_empty() => Poll::Ready(None),
            Payload::Buffered(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Payload::Streamed {
                prefix,
                rest,
                expiry,
                guards,
            } => {
                let is_expired = |expiry: &mut Pin<Box<Sleep>>| expiry.as_mut().poll(cx).is_ready();
                if expiry.as_mut().is_some_and(is_expired) {
                    return Poll::Ready(Some(Err(BodyError::Expired)));
                }
                if !prefix.is_empty() {
                    return Poll::Ready(Some(Ok(Frame::data(std::mem::take(prefix)))));
                }
                let frame = ready!(Pin::new(rest).poll_frame(cx));
                if frame.is_none() {
                    guards.clear();
                }
                Poll::Ready(frame.map(|frame| frame.map_err(BodyError::Broken)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Payload::Buffered(bytes) => bytes.is_empty(),
            Payload::Streamed { prefix, rest, .. } => prefix.is_empty() && rest.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Payload::Buffered(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Payload::Streamed { prefix, rest, .. } => {
                let rest = rest.size_hint();
                let prefix = prefix.len() as u64;
                let mut hint = SizeHint::new();
                hint.set_lower(prefix + rest.lower());
                if let Some(upper) = rest.upper() {
                    hint.set_upper(prefix + upper);
                }
                hint
            }
        }
    }
}
