//! Bodies of forwarded requests and responses.

use std::cell::RefCell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error, From};
use http::HeaderValue;
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::answer_memory::{AnswerMemory, Reservation};
use crate::time_limit::TimeLimit;

/// Bodies smaller than this size in bytes are buffered, so that a request can be resent and a
/// response that breaks off is detected before any of it is forwarded. Larger bodies are
/// streamed.
pub(crate) const MAX_BUFFERED_BYTES: usize = 512 << 10;

/// Body of a forwarded request or response.
pub(crate) enum Payload {
    /// The complete body.
    Buffered(Bytes),
    /// A body that is streamed after the bytes that were already read.
    Streamed(Box<StreamedBody>),
}

/// A body that is streamed after the bytes that were already read.
pub(crate) struct StreamedBody {
    prefix: Bytes,
    /// `None` once the body has ended or was broken off.
    source: Rc<RefCell<Option<Source>>>,
    is_ended: bool,
    /// When the body is broken off.
    time_limit: Option<TimeLimit>,
    /// Called when the body has ended, unless it broke off.
    on_whole: Option<OnWhole>,
}

/// Where the rest of a streamed body comes from.
struct Source {
    rest: Incoming,
    /// Dropped when the body has ended.
    guards: BodyGuards,
}

/// Called when a streamed body has arrived whole.
pub(crate) type OnWhole = Box<dyn FnOnce()>;

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
            Payload::Streamed(_) => None,
        }
    }

    /// Returns the bytes that are in memory: all of a buffered body, the first ones of a streamed one.
    pub(crate) fn known_bytes(&self) -> &[u8] {
        match self {
            Payload::Buffered(bytes) => bytes,
            Payload::Streamed(body) => &body.prefix,
        }
    }

    /// Holds a value until a streamed body has ended. Returns `false` if the body is buffered;
    /// then the value is dropped at once.
    pub(crate) fn keep_until_end(&mut self, guard: Box<dyn std::any::Any>) -> bool {
        match self {
            Payload::Buffered(_) => false,
            Payload::Streamed(body) => {
                if let Some(source) = &mut *body.source.borrow_mut() {
                    source.guards.push(guard);
                }
                true
            }
        }
    }

    /// Reads the body of a request until it ends or reaches [`MAX_BUFFERED_BYTES`].
    pub(crate) async fn read(body: Incoming) -> Result<Payload, hyper::Error> {
        Self::read_within(body, None).await
    }

    /// Reads the body of an answer until it ends or reaches [`MAX_BUFFERED_BYTES`]. If its length is
    /// not announced, the bytes are reserved from `memory`, and reading stops when none is left.
    pub(crate) async fn read_answer(
        body: Incoming,
        memory: &AnswerMemory,
    ) -> Result<Payload, hyper::Error> {
        let is_unsized = body.size_hint().exact().is_none();
        Self::read_within(body, is_unsized.then(|| memory.reserve_none())).await
    }

    async fn read_within(
        mut body: Incoming,
        mut reservation: Option<Reservation>,
    ) -> Result<Payload, hyper::Error> {
        if body.is_end_stream() {
            return Ok(Payload::empty());
        }
        let mut prefix = BodyBuffer::default();
        let mut has_memory = true;
        while prefix.len() < MAX_BUFFERED_BYTES && has_memory {
            let Some(frame) = body.frame().await else {
                return Ok(Payload::Buffered(prefix.into_bytes(reservation)));
            };
            if let Ok(data) = frame?.into_data() {
                let reservation = reservation.as_mut();
                has_memory = reservation.is_none_or(|reservation| reservation.grow(data.len()));
                prefix.push(data);
            }
        }
        Ok(Payload::Streamed(Box::new(StreamedBody {
            prefix: prefix.into_bytes(reservation),
            source: Rc::new(RefCell::new(Some(Source {
                rest: body,
                guards: BodyGuards::new(),
            }))),
            is_ended: false,
            time_limit: None,
            on_whole: None,
        })))
    }

    /// Returns `true` for a streamed body that announces no length: it may never end.
    pub(crate) fn may_be_endless(&self) -> bool {
        matches!(self, Payload::Streamed(body) if body.rest_size().exact().is_none())
    }

    /// Breaks a streamed answer off if it takes too long: at the deadline of its request if it may
    /// never end, else once its sender has kept the daemon waiting until then. Time for which the
    /// receiver does not read a body of announced length is not counted, as it is slow itself.
    pub(crate) fn limit_time(&mut self, id: &HeaderValue, deadline: Instant, now: Instant) {
        let may_be_endless = self.may_be_endless();
        if let Payload::Streamed(body) = self {
            // The body is not polled while its receiver does not read.
            let source = Rc::downgrade(&body.source);
            let release = move || {
                if let Some(source) = source.upgrade() {
                    source.take();
                }
            };
            let limit = if may_be_endless {
                TimeLimit::until(deadline, id, release)
            } else {
                TimeLimit::of_sender(deadline, now, id, release)
            };
            body.time_limit = Some(limit);
        }
    }

    /// Calls `f` when a streamed body has arrived whole. A buffered one already has.
    pub(crate) fn on_whole(&mut self, f: OnWhole) {
        if let Payload::Streamed(body) = self {
            body.on_whole = Some(f);
        }
    }
}

impl StreamedBody {
    fn poll_frame(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(limit) = &mut self.time_limit
            && limit.poll_end(cx).is_ready()
        {
            return Poll::Ready(Some(Err(BodyError::Expired)));
        }
        if !self.prefix.is_empty() {
            let prefix = std::mem::take(&mut self.prefix);
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
        }
        let frame = match &mut *self.source.borrow_mut() {
            Some(source) => Pin::new(&mut source.rest).poll_frame(cx),
            None if self.is_ended => return Poll::Ready(None),
            None => return Poll::Ready(Some(Err(BodyError::Expired))),
        };
        if let Some(limit) = &mut self.time_limit
            && limit.poll_wait(frame.is_pending(), cx).is_ready()
        {
            return Poll::Ready(Some(Err(BodyError::Expired)));
        }
        let frame = ready!(frame);
        if frame.is_none() {
            self.is_ended = true;
            self.source.take();
            if let Some(on_whole) = self.on_whole.take() {
                on_whole();
            }
        }
        Poll::Ready(frame.map(|frame| frame.map_err(BodyError::Broken)))
    }

    /// Size of what has not been read yet.
    fn rest_size(&self) -> SizeHint {
        match &*self.source.borrow() {
            Some(source) => source.rest.size_hint(),
            None if self.is_ended => SizeHint::with_exact(0),
            None => SizeHint::default(),
        }
    }

    fn is_end_stream(&self) -> bool {
        let is_read = match &*self.source.borrow() {
            Some(source) => source.rest.is_end_stream(),
            None => self.is_ended,
        };
        self.prefix.is_empty() && is_read
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

    /// Returns the bytes, which hold the reservation until the last copy is dropped.
    fn into_bytes(self, reservation: Option<Reservation>) -> Bytes {
        let bytes = if self.joined.is_empty() {
            self.first_chunk
        } else {
            self.joined.freeze()
        };
        match reservation {
            Some(reservation) if !bytes.is_empty() => reservation.attach_to(bytes),
            _ => bytes,
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
            Payload::Streamed(body) => body.poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Payload::Buffered(bytes) => bytes.is_empty(),
            Payload::Streamed(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Payload::Buffered(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Payload::Streamed(body) => {
                let rest = body.rest_size();
                let prefix = body.prefix.len() as u64;
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
