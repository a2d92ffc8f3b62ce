//! Reading an answer whole, if it is short enough to be kept.

use std::pin::Pin;

use bytes::BytesMut;
use ticket::CachedAnswer;
use xitca_web::body::{Body, Frame};

use crate::reply::Answer;

/// Longest body that is read whole.
const MAX_CACHED_BODY_BYTES: usize = 64 * 1024;

/// An answer as far as it was read.
pub(crate) enum Collected {
    /// All of it.
    Whole(CachedAnswer),
    /// It is longer than what is kept; nothing of it is lost.
    TooLong(Answer),
    /// It broke off.
    Aborted,
}

/// Reads an answer up to the longest that is kept.
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
    Collected::Whole(CachedAnswer {
        status: parts.status,
        headers: parts.headers,
        body: body.freeze(),
    })
}
