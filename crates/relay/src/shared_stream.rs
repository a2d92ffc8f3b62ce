//! Accepted connections that are closed without losing what was sent last.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use routes::RouteTable;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

use crate::origin_request::OriginRequest;

/// Maximum time for which a connection is read after it was shut down, unless a body is unread.
const LINGER_TIME: Duration = Duration::from_secs(2);
/// Maximum number of bytes that are read then, besides an unread body: more than callers usually send
/// ahead.
const MAX_LINGER_BYTES: usize = 1 << 20;
/// Size of the buffer for these bytes.
const LINGER_BUFFER_BYTES: usize = 16 << 10;

/// What the peer may still send of the body of a request that was answered before it was read.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnreadBody {
    /// When the peer no longer waits for the answer.
    deadline: Instant,
    /// Largest body that callers may send.
    max_bytes: u64,
}

impl UnreadBody {
    pub(crate) fn of(request: &OriginRequest, table: &RouteTable) -> Self {
        UnreadBody {
            deadline: request.deadline,
            max_bytes: table.limits().body_bytes,
        }
    }
}

/// A connection that is shared with the HTTP server on it, which leaves it open when it ends.
#[derive(Clone)]
pub(crate) struct SharedStream(Rc<Inner>);

struct Inner {
    stream: RefCell<TcpStream>,
    /// True if the peer has closed the connection or it failed.
    is_closed_by_peer: Cell<bool>,
    unread_body: Cell<Option<UnreadBody>>,
}

impl SharedStream {
    pub(crate) fn new(stream: TcpStream) -> Self {
        SharedStream(Rc::new(Inner {
            stream: RefCell::new(stream),
            is_closed_by_peer: Cell::new(false),
            unread_body: Cell::new(None),
        }))
    }

    /// Records that the peer may go on sending the body of the current request before it reads the
    /// answer.
    pub(crate) fn expect_body(&self, body: UnreadBody) {
        self.0.unread_body.set(Some(body));
    }

    /// Closes the connection after the HTTP server on it has ended.
    ///
    /// If bytes that the peer sent are still unread, closing resets the connection, and the peer loses
    /// what it has not read. So this only shuts the sending side down, and reads until the peer closes,
    /// for as long as the peer may take to send the body of a request that was not read.
    pub(crate) async fn close(mut self, now: Instant) {
        if self.0.is_closed_by_peer.get() || self.shutdown().await.is_err() {
            return;
        }
        let (mut until, mut max_bytes) = (now + LINGER_TIME, MAX_LINGER_BYTES);
        if let Some(body) = self.0.unread_body.get() {
            until = until.max(body.deadline);
            max_bytes =
                max_bytes.saturating_add(usize::try_from(body.max_bytes).unwrap_or(usize::MAX));
        }
        let discard = async {
            let mut buf = vec![0; LINGER_BUFFER_BYTES];
            let mut discarded = 0;
            while discarded < max_bytes
                && let Ok(read @ 1..) = self.read(&mut buf).await
            {
                discarded += read;
            }
        };
        if timeout_at(until, discard).await.is_err() {
            log::debug!("connection closed before its peer closed it");
        }
    }

    fn record<T>(&self, poll: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if matches!(poll, Poll::Ready(Err(_))) {
            self.0.is_closed_by_peer.set(true);
        }
        poll
    }
}

impl AsyncRead for SharedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let poll = Pin::new(&mut *self.0.stream.borrow_mut()).poll_read(cx, buf);
        let is_end = buf.filled().len() == before && buf.remaining() > 0;
        if matches!(poll, Poll::Ready(Ok(()))) && is_end {
            self.0.is_closed_by_peer.set(true);
        }
        self.record(poll)
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut *self.0.stream.borrow_mut()).poll_write(cx, buf);
        self.record(poll)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut *self.0.stream.borrow_mut()).poll_write_vectored(cx, bufs);
        self.record(poll)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.stream.borrow().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.stream.borrow_mut()).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.stream.borrow_mut()).poll_shutdown(cx)
    }
}
