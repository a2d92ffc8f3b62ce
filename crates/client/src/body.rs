//! An answer's body as it arrives.

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;

/// The body of an answer, read piece by piece.
#[derive(Debug)]
pub struct Body {
    incoming: Incoming,
}

/// A body that broke off or passed its limit: what was read is not the answer.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the answer broke off or is larger than allowed")]
pub struct BodyError;

impl Body {
    pub(crate) fn new(incoming: Incoming) -> Self {
        Body { incoming }
    }

    /// Reads the next piece; `None` after the whole body has arrived.
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

    /// Reads the whole body, up to a limit.
    ///
    /// # Errors
    ///
    /// If the body breaks off or is larger than `max_bytes`.
    pub async fn collect(self, max_bytes: usize) -> Result<Bytes, BodyError> {
        let whole = Limited::new(self.incoming, max_bytes).collect().await;
        whole
            .map(http_body_util::Collected::to_bytes)
            .map_err(|_| BodyError)
    }
}
