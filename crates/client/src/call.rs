//! A call to an operation of a service, as the caller describes it.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use smol_str::SmolStr;

use crate::retry::RetryMode;

/// A call to an operation of a service.
#[derive(Clone, Debug)]
pub struct Call {
    pub(crate) service: SmolStr,
    pub(crate) operation: SmolStr,
    pub(crate) path_suffix: SmolStr,
    pub(crate) method: Method,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) key: Option<SmolStr>,
    pub(crate) ticket: Option<SmolStr>,
    pub(crate) deadline: Option<Duration>,
    repeatable: bool,
}

impl Call {
    /// Creates a POST call that is not sent again once it may have run.
    #[must_use]
    pub fn new(service: &str, operation: &str) -> Self {
        Call {
            service: service.into(),
            operation: operation.into(),
            path_suffix: SmolStr::default(),
            method: Method::POST,
            headers: HeaderMap::new(),
            body: Bytes::new(),
            key: None,
            ticket: None,
            deadline: None,
            repeatable: false,
        }
    }

    /// Makes the call a GET, which may be sent again after an unknown outcome.
    #[must_use]
    pub fn get(mut self) -> Self {
        self.method = Method::GET;
        self.repeatable = true;
        self
    }

    /// Allows the call to be sent again after an unknown outcome.
    #[must_use]
    pub fn repeatable(mut self) -> Self {
        self.repeatable = true;
        self
    }

    /// Makes the call run at most once under this idempotency key.
    ///
    /// The key identifies one intended execution, such as one deposit. Calls for
    /// other executions, by this or any other caller, must use other keys.
    #[must_use]
    pub fn once(mut self, key: impl Into<SmolStr>) -> Self {
        self.key = Some(key.into());
        self
    }

    /// Presents a ticket that was issued to an earlier process of the caller.
    ///
    /// It is ignored if the call has no idempotency key ([`once`](Self::once)), or
    /// if the client already holds a ticket for the call.
    #[must_use]
    pub fn ticket(mut self, ticket: impl Into<SmolStr>) -> Self {
        self.ticket = Some(ticket.into());
        self
    }

    /// Sets the part of the path after the operation, with the query:
    /// `/more/segments?query`.
    #[must_use]
    pub fn path_suffix(mut self, path_suffix: impl Into<SmolStr>) -> Self {
        self.path_suffix = path_suffix.into();
        self
    }

    /// Sets a request header for the target.
    #[must_use]
    pub fn header(mut self, name: HeaderName, value: HeaderValue) -> Self {
        self.headers.insert(name, value);
        self
    }

    /// Sets the request body.
    #[must_use]
    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Sets the time, from the start of the call, after which the answer is
    /// useless to the caller.
    #[must_use]
    pub fn deadline(mut self, deadline: Duration) -> Self {
        self.deadline = Some(deadline);
        self
    }

    pub(crate) fn retry_mode(&self) -> RetryMode {
        if self.key.is_some() {
            RetryMode::WithTicket
        } else if self.repeatable {
            RetryMode::Always
        } else {
            RetryMode::Never
        }
    }
}
