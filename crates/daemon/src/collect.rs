//! Buffers an answer if it is small enough to be cached.

use std::pin::Pin;

use bytes::BytesMut;
use ticket::CachedAnswer;
use xitca_web::body::{Body, Frame};

use crate::reply::Answer;

/// Largest body that is cached.
const MAX_CACHED_BODY_BYTES: usize = 64 * 1024;

/// Result of buffering an answer.
pub(crate) enum Collected {
    /// The complete answer.
    Complete(CachedAnswer),
    /// An answer too large to cache; it still has its complete body.
    TooLong(Answer),
    /// The answer ended early.
    Aborted,
}

/// Buffers an answer whose body has at most [`MAX_CACHED_BODY_BYTES`].
pub(crate) async fn collect_answer(mut answer: Answer) -> Collected {
    let mut body = BytesMut::new();
    loop {
        let next = std::future::poll_fn(|cx| Pin::new(answer.body_mut()).poll_frame(cx)).await;
        match next {
            None => break,
            Some(Err(_)) => return Collected::Aborted,
            Some(Ok(Frame::Data(data))) => body.extend_from_slice(&data),
            Some(Ok(Frame::Trailers(_))) => {}
        }
        if body.len() > MAX_CACHED_BODY_BYTES {
            answer.body_mut().unread(body.freeze());
            return Collected::TooLong(answer);
        }
    }
    let (parts, _) = answer.into_parts();
    Collected::Complete(CachedAnswer {
        status: parts.status,
        headers: parts.headers,
        body: body.freeze(),
    })
}
