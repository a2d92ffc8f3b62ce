//! Accepted connections that are closed without losing what was sent last.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Maximum time for which a connection is read after it was shut down.
const LINGER_TIME: Duration = Duration::from_secs(2);
/// Maximum number of bytes that are read then: more than callers usually send ahead.
const MAX_LINGER_BYTES: usize = 1 << 20;
/// Size of the buffer for these bytes.
const LINGER_BUFFER_BYTES: usize = 16 << 10;

/// A connection that is shared with the HTTP server on it, which leaves it open when it ends.
#[derive(Clone)]
pub(crate) struct SharedStream(Rc<Inner>);

struct Inner {
    stream: RefCell<TcpStream>,
    /// True if the peer has closed the connection or it failed.
    is_closed_by_peer: Cell<bool>,
}

impl SharedStream {
    pub(crate) fn new(stream: TcpStream) -> Self {
        SharedStream(Rc::new(Inner {
            stream: RefCell::new(stream),
            is_closed_by_peer: Cell::new(false),
        }))
    }

    /// Closes the connection after the HTTP server on it has ended.
    ///
    /// If bytes that the peer sent are still unread, closing resets the connection, and the peer loses
    /// what it has not read. So this only shuts the sending side down, and reads until the peer closes.
    pub(crate) async fn close(mut self) {
        if self.0.is_closed_by_peer.get() || self.shutdown().await.is_err() {
            return;
        }
        let discard = async {
            let mut buf = vec![0; LINGER_BUFFER_BYTES];
            let mut discarded = 0;
            while discarded < MAX_LINGER_BYTES
                && let Ok(read @ 1..) = self.read(&mut buf).await
            {
                discarded += read;
            }
        };
        if timeout(LINGER_TIME, discard).await.is_err() {
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
