//! HTTP client for the admin listeners of daemons, with limits on time and size.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, anyhow, bail, ensure};
use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

use crate::failure::Failure;

/// Timeout of one admin request, including its body.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum size of the body of an admin response, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Sends requests to admin listeners over one connection pool.
#[derive(Clone, Debug)]
pub(crate) struct AdminClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl AdminClient {
    pub(crate) fn new() -> Self {
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .retry_canceled_requests(false)
            .build_http();
        AdminClient { client }
    }

    /// Fetches a path from the admin listener at `admin` and returns the body.
    ///
    /// Fails if the connection fails, the status is not 2xx, the body is over
    /// [`MAX_RESPONSE_BYTES`], or [`ADMIN_TIMEOUT`] passes.
    pub(crate) async fn get(&self, admin: SocketAddr, path: &str) -> anyhow::Result<Bytes> {
        self.send(Method::GET, admin, path).await
    }

    /// Deletes what a path of the admin listener at `admin` names; fails like [`get`](Self::get).
    pub(crate) async fn delete(&self, admin: SocketAddr, path: &str) -> anyhow::Result<()> {
        self.send(Method::DELETE, admin, path).await.map(drop)
    }

    async fn send(&self, method: Method, admin: SocketAddr, path: &str) -> anyhow::Result<Bytes> {
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{admin}{path}"))
            .body(Full::default())?;
        let exchange = async {
            let (head, body) = self
                .client
                .request(req)
                .await
                .map_err(root_cause)?
                .into_parts();
            let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
            let body = body.map_err(|error| anyhow!("the answer broke off: {error}"))?;
            ensure!(
                head.status.is_success(),
                "{path} is answered with status {}",
                head.status.as_u16()
            );
            Ok(body.to_bytes())
        };
        match tokio::time::timeout(ADMIN_TIMEOUT, exchange).await {
            Ok(answer) => answer,
            Err(_) => bail!("no whole answer within {} ms", ADMIN_TIMEOUT.as_millis()),
        }
    }
}

/// Reduces an error to its innermost cause, which is what an operator can act on.
fn root_cause(error: hyper_util::client::legacy::Error) -> anyhow::Error {
    let error = anyhow::Error::new(error);
    anyhow!("{}", error.root_cause())
}

/// Runs an asynchronous command to completion on a new multi-threaded runtime.
pub(crate) fn block_on(command: impl Future<Output = Result<(), Failure>>) -> Result<(), Failure> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .context("runtime")?;
    runtime.block_on(command)
}
