//! Bodies between the server's and the client's body traits, with bounded memory.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Instant;

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use http_body::{Body as _, Frame};
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::time::Sleep;
use tokio_util::sync::WaitForCancellationFutureOwned;
use xitca_web::body::{Body as ServedBody, Frame as ServedFrame, RequestBody, SizeHint};

use crate::listen::Connection;
use crate::state::InFlight;

/// Chunks of a request body that wait for the next hop.
const CHUNKS_IN_FLIGHT: usize = 4;

/// Why a body ended before its end.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum Broken {
    /// The sending side broke off.
    #[display("the sender broke off")]
    Sender,
    /// The receiving side went away.
    #[display("the receiver went away")]
    Receiver,
    /// The deadline passed.
    #[display("the deadline passed")]
    Deadline,
    /// The body grew past its limit.
    #[display("the body is over the limit")]
    TooLarge,
}

/// Body of a call to the next hop.
#[derive(Debug)]
pub(crate) enum CallBody {
    /// Held whole, and so can be sent again.
    Whole(Option<Bytes>),
    /// Passed on as it arrives.
    Stream {
        /// Chunks from the pump.
        rx: mpsc::Receiver<Result<Bytes, Broken>>,
        /// Length that the sender declared.
        length: Option<u64>,
    },
}

impl http_body::Body for CallBody {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        match &mut *self {
            CallBody::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            CallBody::Stream { rx, .. } => rx
                .poll_recv(cx)
                .map(|item| item.map(|r| r.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, CallBody::Whole(None))
    }

    fn size_hint(&self) -> http_body::SizeHint {
        match self {
            CallBody::Whole(bytes) => {
                http_body::SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            CallBody::Stream {
                length: Some(length),
                ..
            } => http_body::SizeHint::with_exact(*length),
            CallBody::Stream { length: None, .. } => http_body::SizeHint::default(),
        }
    }
}

/// A request body as it was read so far.
#[derive(Debug)]
pub(crate) enum ReadBody {
    /// All of it.
    Whole(Bytes),
    /// Longer than the limit of what is held: the rest is streamed.
    Stream(CallBody),
}

impl ReadBody {
    /// Takes the body for one send; `None` if it was sent before and isn't held.
    pub(crate) fn take(&mut self) -> Option<CallBody> {
        match self {
            ReadBody::Whole(bytes) if bytes.is_empty() => Some(CallBody::Whole(None)),
            ReadBody::Whole(bytes) => Some(CallBody::Whole(Some(bytes.clone()))),
            ReadBody::Stream(body) => {
                let spent = CallBody::Whole(None);
                match std::mem::replace(body, spent) {
                    CallBody::Whole(_) => None,
                    stream @ CallBody::Stream { .. } => Some(stream),
                }
            }
        }
    }

    /// True if the body can be sent more than once.
    pub(crate) fn is_replayable(&self) -> bool {
        matches!(self, ReadBody::Whole(_))
    }
}

/// How a request says where its body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// No body, or one of a declared length.
    Length(u64),
    /// The last chunk ends it.
    Chunked,
}

impl Framing {
    /// Length that the sender declared, if any.
    pub(crate) fn length(self) -> Option<u64> {
        match self {
            Framing::Length(length) => Some(length),
            Framing::Chunked => None,
        }
    }
}

/// A request body on its way in.
///
/// The server reports the end of the connection within a body as the body's own end,
/// so that what arrived must be held against what was declared.
struct Incomplete {
    body: RequestBody,
    framing: Framing,
    received: u64,
    connection: Arc<Connection>,
}

impl Incomplete {
    async fn next_chunk(&mut self) -> Option<Result<Bytes, Broken>> {
        loop {
            let body = &mut self.body;
            let frame = std::future::poll_fn(|cx| Pin::new(&mut *body).poll_frame(cx)).await;
            match frame {
                Some(Ok(ServedFrame::Data(chunk))) => {
                    self.received += chunk.len() as u64;
                    return Some(Ok(chunk));
                }
                Some(Ok(ServedFrame::Trailers(_))) => {}
                None if self.is_whole() => return None,
                Some(Err(_)) | None => return Some(Err(Broken::Sender)),
            }
        }
    }

    /// True if the end that the server reported is the end that was declared.
    ///
    /// A chunked body that its sender ended and then closed its side looks like one that
    /// broke off; refusing both is safe.
    fn is_whole(&self) -> bool {
        match self.framing {
            Framing::Length(length) => self.received == length,
            Framing::Chunked => !self.connection.is_read_to_end(),
        }
    }
}

/// Reads up to `hold_bytes` of a request body and leaves the rest to a bounded pump.
pub(crate) async fn read(
    body: RequestBody,
    framing: Framing,
    connection: &Arc<Connection>,
    hold_bytes: usize,
    max_bytes: u64,
) -> Result<ReadBody, Broken> {
    let length = framing.length();
    if length.is_some_and(|length| length > max_bytes) {
        return Err(Broken::TooLarge);
    }
    let mut body = Incomplete {
        body,
        framing,
        received: 0,
        connection: Arc::clone(connection),
    };
    let mut held = BytesMut::new();
    while held.len() <= hold_bytes {
        match body.next_chunk().await {
            Some(Ok(chunk)) => held.extend_from_slice(&chunk),
            Some(Err(broken)) => return Err(broken),
            None => return Ok(ReadBody::Whole(held.freeze())),
        }
    }
    let (tx, rx) = mpsc::channel(CHUNKS_IN_FLIGHT);
    tokio::task::spawn_local(pump(held.freeze(), body, tx, max_bytes));
    Ok(ReadBody::Stream(CallBody::Stream { rx, length }))
}

async fn pump(
    first: Bytes,
    mut body: Incomplete,
    tx: mpsc::Sender<Result<Bytes, Broken>>,
    max_bytes: u64,
) {
    let mut total = first.len() as u64;
    if tx.send(Ok(first)).await.is_err() {
        return;
    }
    while let Some(mut item) = body.next_chunk().await {
        total += item.as_ref().map_or(0, |chunk| chunk.len() as u64);
        if total > max_bytes {
            item = Err(Broken::TooLarge);
        }
        let broken = item.is_err();
        if tx.send(item).await.is_err() || broken {
            return;
        }
    }
}

/// What is told at the end of an answer: true if all of it was passed on.
pub(crate) type EndHook = Box<dyn FnOnce(bool)>;

/// Body of an answer.
pub(crate) struct AnswerBody {
    source: Source,
    outgoing: Option<Outgoing>,
    on_sent: Option<EndHook>,
}

/// The connection that an answer goes out on.
struct Outgoing {
    connection: Arc<Connection>,
    gone: Pin<Box<WaitForCancellationFutureOwned>>,
    _in_flight: InFlight,
}

enum Source {
    Whole(Option<Bytes>),
    Relay(Box<Relay>),
}

struct Relay {
    first: Option<Bytes>,
    incoming: Incoming,
    length: Option<u64>,
    deadline: Pin<Box<Sleep>>,
    on_end: Option<EndHook>,
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.end(false);
    }
}

impl Relay {
    fn end(&mut self, whole: bool) {
        if let Some(on_end) = self.on_end.take() {
            on_end(whole);
        }
    }
}

impl AnswerBody {
    /// An answer that is held whole.
    pub(crate) fn whole(bytes: Bytes) -> Self {
        AnswerBody {
            source: Source::Whole(Some(bytes)),
            outgoing: None,
            on_sent: None,
        }
    }

    /// An answer that is passed on as it arrives.
    pub(crate) fn relay(
        incoming: Incoming,
        length: Option<u64>,
        deadline: Instant,
        on_end: EndHook,
    ) -> Self {
        let deadline = Box::pin(tokio::time::sleep_until(deadline.into()));
        let relay = Relay {
            first: None,
            incoming,
            length,
            deadline,
            on_end: Some(on_end),
        };
        AnswerBody {
            source: Source::Relay(Box::new(relay)),
            outgoing: None,
            on_sent: None,
        }
    }

    /// Binds the answer to the connection that it goes out on.
    pub(crate) fn on(mut self, connection: Arc<Connection>, in_flight: InFlight) -> Self {
        self.outgoing = Some(Outgoing {
            gone: Box::pin(connection.gone().clone().cancelled_owned()),
            connection,
            _in_flight: in_flight,
        });
        self
    }

    /// Tells the hook when the answer was handed out, or broke off.
    pub(crate) fn watch_end(&mut self, on_sent: EndHook) {
        self.on_sent = Some(on_sent);
    }

    fn sent(&mut self, whole: bool) {
        if let Some(on_sent) = self.on_sent.take() {
            on_sent(whole);
        }
    }

    /// Puts back what was read ahead of an answer that is passed on.
    pub(crate) fn unread(&mut self, bytes: Bytes) {
        match &mut self.source {
            Source::Whole(rest) => *rest = Some(bytes),
            Source::Relay(relay) => relay.first = Some(bytes),
        }
    }

    fn broken(&mut self, broken: Broken) -> Poll<Option<Result<ServedFrame<Bytes>, Broken>>> {
        if let Some(outgoing) = &self.outgoing {
            outgoing.connection.abort();
        }
        Poll::Ready(Some(Err(broken)))
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        self.sent(false);
        if let Some(outgoing) = &self.outgoing {
            outgoing.connection.answered(Instant::now());
        }
    }
}

impl ServedBody for AnswerBody {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<ServedFrame<Bytes>, Broken>>> {
        let this = self.get_mut();
        let relay = match &mut this.source {
            Source::Whole(bytes) => {
                let next = bytes.take().map(|b| Ok(ServedFrame::Data(b)));
                this.sent(true);
                return Poll::Ready(next);
            }
            Source::Relay(relay) => relay,
        };
        if let Some(first) = relay.first.take() {
            return Poll::Ready(Some(Ok(ServedFrame::Data(first))));
        }
        if relay.deadline.as_mut().poll(cx).is_ready() {
            relay.end(false);
            return this.broken(Broken::Deadline);
        }
        // The server notices a caller that left only when it writes; a stalled answer waits.
        if let Some(outgoing) = &mut this.outgoing
            && outgoing.gone.as_mut().poll(cx).is_ready()
        {
            relay.end(false);
            return this.broken(Broken::Receiver);
        }
        loop {
            match Pin::new(&mut relay.incoming).poll_frame(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        return Poll::Ready(Some(Ok(ServedFrame::Data(data))));
                    }
                }
                Poll::Ready(Some(Err(_))) => {
                    relay.end(false);
                    return this.broken(Broken::Sender);
                }
                Poll::Ready(None) => {
                    relay.end(true);
                    this.sent(true);
                    return Poll::Ready(None);
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.source, Source::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Whole(bytes) => SizeHint::Exact(bytes.as_ref().map_or(0, |b| b.len() as u64)),
            Source::Relay(relay) => relay.length.map_or(SizeHint::Unknown, SizeHint::Exact),
        }
    }
}
