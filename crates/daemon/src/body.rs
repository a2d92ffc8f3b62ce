//! Request and answer bodies, which adapt the server's body trait to the client's with bounded
//! memory.

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

/// Capacity of the channel of a streamed request body, in chunks.
const MAX_QUEUED_CHUNKS: usize = 4;

/// Why a body is incomplete.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// The sender closed the connection or violated the framing.
    #[display("the sender ended the body early")]
    Sender,
    /// The receiver disconnected.
    #[display("the receiver disconnected")]
    Receiver,
    /// The deadline passed.
    #[display("the deadline passed")]
    Deadline,
    /// The body exceeds its size limit.
    #[display("the body exceeds the size limit")]
    TooLarge,
}

/// Body of a request to the next hop.
#[derive(Debug)]
pub(crate) enum CallBody {
    /// Fully buffered, so that it can be sent again.
    Buffered(Option<Bytes>),
    /// Forwarded as it arrives.
    Streamed {
        /// Chunks sent by the task that reads the request body.
        rx: mpsc::Receiver<Result<Bytes, BodyError>>,
        /// Length that the sender declared.
        length: Option<u64>,
    },
}

impl http_body::Body for CallBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match &mut *self {
            CallBody::Buffered(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            CallBody::Streamed { rx, .. } => rx
                .poll_recv(cx)
                .map(|item| item.map(|r| r.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, CallBody::Buffered(None))
    }

    fn size_hint(&self) -> http_body::SizeHint {
        match self {
            CallBody::Buffered(bytes) => {
                http_body::SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            CallBody::Streamed {
                length: Some(length),
                ..
            } => http_body::SizeHint::with_exact(*length),
            CallBody::Streamed { length: None, .. } => http_body::SizeHint::default(),
        }
    }
}

/// A request body, buffered up to a limit.
#[derive(Debug)]
pub(crate) enum ReceivedBody {
    /// The complete body.
    Buffered(Bytes),
    /// A body beyond the buffer limit, which is streamed.
    Streamed(CallBody),
}

impl ReceivedBody {
    /// Returns the body for one send; `None` if it is streamed and was sent before.
    pub(crate) fn take(&mut self) -> Option<CallBody> {
        match self {
            ReceivedBody::Buffered(bytes) if bytes.is_empty() => Some(CallBody::Buffered(None)),
            ReceivedBody::Buffered(bytes) => Some(CallBody::Buffered(Some(bytes.clone()))),
            ReceivedBody::Streamed(body) => {
                let taken = CallBody::Buffered(None);
                match std::mem::replace(body, taken) {
                    CallBody::Buffered(_) => None,
                    stream @ CallBody::Streamed { .. } => Some(stream),
                }
            }
        }
    }

    /// True if the body can be sent more than once.
    pub(crate) fn is_replayable(&self) -> bool {
        matches!(self, ReceivedBody::Buffered(_))
    }
}

/// How the end of a request's body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// By the declared length, 0 without a body.
    Length(u64),
    /// By the last chunk.
    Chunked,
}

impl Framing {
    /// The declared length, if any.
    pub(crate) fn length(self) -> Option<u64> {
        match self {
            Framing::Length(length) => Some(length),
            Framing::Chunked => None,
        }
    }
}

/// A request body that is being received, with the framing that its end is checked against.
///
/// The server reports a connection that closes within a body as the end of the body, so
/// the end has to be checked against the declared framing.
struct FramedBody {
    body: RequestBody,
    framing: Framing,
    received: u64,
    connection: Arc<Connection>,
}

impl FramedBody {
    async fn next_chunk(&mut self) -> Option<Result<Bytes, BodyError>> {
        loop {
            let body = &mut self.body;
            let frame = std::future::poll_fn(|cx| Pin::new(&mut *body).poll_frame(cx)).await;
            match frame {
                Some(Ok(ServedFrame::Data(chunk))) => {
                    self.received += chunk.len() as u64;
                    return Some(Ok(chunk));
                }
                Some(Ok(ServedFrame::Trailers(_))) => {}
                None if self.is_complete() => return None,
                Some(Err(_)) | None => return Some(Err(BodyError::Sender)),
            }
        }
    }

    /// True if the end that the server reported matches the declared framing.
    ///
    /// A complete chunked body whose sender has shut down its sending side since can't be
    /// told from a truncated one; refusing both is safe.
    fn is_complete(&self) -> bool {
        match self.framing {
            Framing::Length(length) => self.received == length,
            Framing::Chunked => !self.connection.is_read_to_end(),
        }
    }
}

/// Reads up to `max_buffered_bytes` of a request body. A longer body is streamed: a task reads
/// the rest and passes it on through a bounded channel.
pub(crate) async fn read(
    body: RequestBody,
    framing: Framing,
    connection: &Arc<Connection>,
    max_buffered_bytes: usize,
    max_bytes: u64,
) -> Result<ReceivedBody, BodyError> {
    let length = framing.length();
    if length.is_some_and(|length| length > max_bytes) {
        return Err(BodyError::TooLarge);
    }
    let mut body = FramedBody {
        body,
        framing,
        received: 0,
        connection: Arc::clone(connection),
    };
    let mut buffered = BytesMut::new();
    while buffered.len() <= max_buffered_bytes {
        match body.next_chunk().await {
            Some(Ok(chunk)) => buffered.extend_from_slice(&chunk),
            Some(Err(error)) => return Err(error),
            None => return Ok(ReceivedBody::Buffered(buffered.freeze())),
        }
    }
    let (tx, rx) = mpsc::channel(MAX_QUEUED_CHUNKS);
    tokio::task::spawn_local(forward_chunks(buffered.freeze(), body, tx, max_bytes));
    Ok(ReceivedBody::Streamed(CallBody::Streamed { rx, length }))
}

/// Sends `first` and then the rest of the body to `tx`.
async fn forward_chunks(
    first: Bytes,
    mut body: FramedBody,
    tx: mpsc::Sender<Result<Bytes, BodyError>>,
    max_bytes: u64,
) {
    let mut total = first.len() as u64;
    if tx.send(Ok(first)).await.is_err() {
        return;
    }
    while let Some(mut item) = body.next_chunk().await {
        total += item.as_ref().map_or(0, |chunk| chunk.len() as u64);
        if total > max_bytes {
            item = Err(BodyError::TooLarge);
        }
        let is_error = item.is_err();
        if tx.send(item).await.is_err() || is_error {
            return;
        }
    }
}

/// Called at the end of an answer; true if the answer was complete.
pub(crate) type EndCallback = Box<dyn FnOnce(bool)>;

/// Body of an answer.
pub(crate) struct AnswerBody {
    source: AnswerSource,
    outgoing: Option<Outgoing>,
    on_sent: Option<EndCallback>,
}

/// The connection that an answer is sent on.
struct Outgoing {
    connection: Arc<Connection>,
    disconnected: Pin<Box<WaitForCancellationFutureOwned>>,
    _in_flight: InFlight,
}

enum AnswerSource {
    Buffered(Option<Bytes>),
    Streamed(Box<StreamedAnswer>),
}

/// An answer body that is forwarded as it arrives.
struct StreamedAnswer {
    /// Data that was read ahead, see [`AnswerBody::unread`].
    first: Option<Bytes>,
    incoming: Incoming,
    length: Option<u64>,
    deadline: Pin<Box<Sleep>>,
    on_end: Option<EndCallback>,
}

impl Drop for StreamedAnswer {
    fn drop(&mut self) {
        self.report_end(false);
    }
}

impl StreamedAnswer {
    fn report_end(&mut self, complete: bool) {
        if let Some(on_end) = self.on_end.take() {
            on_end(complete);
        }
    }
}

impl AnswerBody {
    /// An answer that is fully buffered.
    pub(crate) fn buffered(bytes: Bytes) -> Self {
        AnswerBody {
            source: AnswerSource::Buffered(Some(bytes)),
            outgoing: None,
            on_sent: None,
        }
    }

    /// An answer that is forwarded as it arrives, until `deadline`.
    pub(crate) fn streamed(
        incoming: Incoming,
        length: Option<u64>,
        deadline: Instant,
        on_end: EndCallback,
    ) -> Self {
        let deadline = Box::pin(tokio::time::sleep_until(deadline.into()));
        let streamed = StreamedAnswer {
            first: None,
            incoming,
            length,
            deadline,
            on_end: Some(on_end),
        };
        AnswerBody {
            source: AnswerSource::Streamed(Box::new(streamed)),
            outgoing: None,
            on_sent: None,
        }
    }

    /// Binds the answer to the connection that it is sent on.
    pub(crate) fn bind_to(mut self, connection: Arc<Connection>, in_flight: InFlight) -> Self {
        self.outgoing = Some(Outgoing {
            disconnected: Box::pin(connection.disconnected().clone().cancelled_owned()),
            connection,
            _in_flight: in_flight,
        });
        self
    }

    /// Sets a callback that gets `true` once the server has taken the whole answer, or `false` if
    /// the answer is dropped before.
    pub(crate) fn set_on_sent(&mut self, on_sent: EndCallback) {
        self.on_sent = Some(on_sent);
    }

    fn report_sent(&mut self, complete: bool) {
        if let Some(on_sent) = self.on_sent.take() {
            on_sent(complete);
        }
    }

    /// Puts back data that was read ahead.
    pub(crate) fn unread(&mut self, bytes: Bytes) {
        match &mut self.source {
            AnswerSource::Buffered(rest) => *rest = Some(bytes),
            AnswerSource::Streamed(streamed) => streamed.first = Some(bytes),
        }
    }

    /// Ends the answer with an error and closes its connection.
    fn fail(&mut self, error: BodyError) -> Poll<Option<Result<ServedFrame<Bytes>, BodyError>>> {
        if let Some(outgoing) = &self.outgoing {
            outgoing.connection.abort();
        }
        Poll::Ready(Some(Err(error)))
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        self.report_sent(false);
        if let Some(outgoing) = &self.outgoing {
            outgoing.connection.record_answer_end(Instant::now());
        }
    }
}

impl ServedBody for AnswerBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<ServedFrame<Bytes>, BodyError>>> {
        let this = self.get_mut();
        let streamed = match &mut this.source {
            AnswerSource::Buffered(bytes) => {
                let next = bytes.take().map(|b| Ok(ServedFrame::Data(b)));
                this.report_sent(true);
                return Poll::Ready(next);
            }
            AnswerSource::Streamed(streamed) => streamed,
        };
        if let Some(first) = streamed.first.take() {
            return Poll::Ready(Some(Ok(ServedFrame::Data(first))));
        }
        if streamed.deadline.as_mut().poll(cx).is_ready() {
            streamed.report_end(false);
            return this.fail(BodyError::Deadline);
        }
        // The server detects a disconnected caller only when it writes, which a stalled answer
        // doesn't make it do.
        if let Some(outgoing) = &mut this.outgoing
            && outgoing.disconnected.as_mut().poll(cx).is_ready()
        {
            streamed.report_end(false);
            return this.fail(BodyError::Receiver);
        }
        loop {
            match Pin::new(&mut streamed.incoming).poll_frame(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        return Poll::Ready(Some(Ok(ServedFrame::Data(data))));
                    }
                }
                Poll::Ready(Some(Err(_))) => {
                    streamed.report_end(false);
                    return this.fail(BodyError::Sender);
                }
                Poll::Ready(None) => {
                    streamed.report_end(true);
                    this.report_sent(true);
                    return Poll::Ready(None);
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.source, AnswerSource::Buffered(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            AnswerSource::Buffered(bytes) => {
                SizeHint::Exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            AnswerSource::Streamed(streamed) => {
                streamed.length.map_or(SizeHint::Unknown, SizeHint::Exact)
            }
        }
    }
}
