//! Bodies of requests and answers on their way through a daemon.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::{Bytes, BytesMut};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Bodies up to this size are held whole, so that a request can be sent once more and a broken
/// answer is seen before any of it is passed on. Larger ones are streamed.
pub(crate) const HELD_BYTES: usize = 512 << 10;

/// A body that is passed on.
pub(crate) enum Payload {
    /// Held whole.
    Whole(Bytes),
    /// Streamed behind what was read of it already.
    Rest {
        begun: Bytes,
        rest: Incoming,
        /// Kept until the body has ended.
        hold: Hold,
    },
}

/// What is kept while a body is under way: slots, connections, counters.
pub(crate) type Hold = Vec<Box<dyn std::any::Any>>;

impl Payload {
    pub(crate) fn empty() -> Self {
        Payload::Whole(Bytes::new())
    }

    /// A second copy; `None` for a body that is streamed.
    pub(crate) fn copy(&self) -> Option<Payload> {
        match self {
            Payload::Whole(bytes) => Some(Payload::Whole(bytes.clone())),
            Payload::Rest { .. } => None,
        }
    }

    /// Keeps something until the body has ended; `false` if it has ended already.
    pub(crate) fn hold(&mut self, held: Box<dyn std::any::Any>) -> bool {
        match self {
            Payload::Whole(_) => false,
            Payload::Rest { hold, .. } => {
                hold.push(held);
                true
            }
        }
    }

    /// Reads a body until it ends or is too large to be held.
    pub(crate) async fn read(mut body: Incoming) -> Result<Payload, hyper::Error> {
        if body.is_end_stream() {
            return Ok(Payload::empty());
        }
        let mut begun = Collected::default();
        while begun.len() < HELD_BYTES {
            let Some(frame) = body.frame().await else {
                return Ok(Payload::Whole(begun.into_bytes()));
            };
            if let Ok(data) = frame?.into_data() {
                begun.push(data);
            }
        }
        Ok(Payload::Rest {
            begun: begun.into_bytes(),
            rest: body,
            hold: Hold::new(),
        })
    }
}

/// Pieces of a body put together, without a copy where there is only one.
#[derive(Default)]
struct Collected {
    first: Bytes,
    all: BytesMut,
}

impl Collected {
    fn len(&self) -> usize {
        self.first.len().max(self.all.len())
    }

    fn push(&mut self, data: Bytes) {
        if self.first.is_empty() && self.all.is_empty() {
            self.first = data;
            return;
        }
        if self.all.is_empty() {
            self.all.extend_from_slice(&self.first);
            self.first = Bytes::new();
        }
        self.all.extend_from_slice(&data);
    }

    fn into_bytes(self) -> Bytes {
        if self.all.is_empty() {
            self.first
        } else {
            self.all.freeze()
        }
    }
}

impl Body for Payload {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match self.get_mut() {
            Payload::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            Payload::Whole(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Payload::Rest { begun, rest, hold } => {
                if !begun.is_empty() {
                    return Poll::Ready(Some(Ok(Frame::data(std::mem::take(begun)))));
                }
                let frame = ready!(Pin::new(rest).poll_frame(cx));
                if frame.is_none() {
                    hold.clear();
                }
                Poll::Ready(frame)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Payload::Whole(bytes) => bytes.is_empty(),
            Payload::Rest { begun, rest, .. } => begun.is_empty() && rest.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Payload::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Payload::Rest { begun, rest, .. } => {
                let rest = rest.size_hint();
                let begun = begun.len() as u64;
                let mut hint = SizeHint::new();
                hint.set_lower(begun + rest.lower());
                if let Some(upper) = rest.upper() {
                    hint.set_upper(begun + upper);
                }
                hint
            }
        }
    }
}
