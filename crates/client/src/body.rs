//! Streamed bodies of answers.

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;

/// The body of an answer, read in chunks.
#[derive(Debug)]
pub struct Body {
    incoming: Incoming,
}

/// The body was cut short or exceeds the size limit, so what was read is not the
/// complete answer.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the answer was cut short or is larger than allowed")]
pub struct BodyError;

impl Body {
    pub(crate) fn new(incoming: Incoming) -> Self {
        Body { incoming }
    }

    /// Reads the next chunk; returns `None` after the complete body.
    ///
    /// # Errors
    ///
    /// If the body is cut short.
    pub async fn chunk(&mut self) -> Option<Result<Bytes, BodyError>> {
        loop {
            let frame = self.incoming.frame().await?;
            match frame.map(http_body::Frame::into_data) {
                Ok(Ok(data)) => return Some(Ok(data)),
                Ok(Err(_trailers)) => {}
                Err(_) => return Some(Err(BodyError)),
            }
        }
    }

    /// Reads the complete body, up to a size limit in bytes.
    ///
    /// # Errors
    ///
    /// If the body is cut short or is larger than `max_bytes`.
    pub async fn collect(self, max_bytes: usize) -> Result<Bytes, BodyError> {
        let whole = Limited::new(self.incoming, max_bytes).collect().await;
        whole
            .map(http_body_util::Collected::to_bytes)
            .map_err(|_| BodyError)
    }
}
