//! Reads the document and the instance list from the platform.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use config::MAX_DOCUMENT_BYTES;
use fleet::{PlatformAnswer, Read, ReadResult};
use http::{Request, StatusCode, Uri};
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use log::debug;
use tokio::sync::mpsc;
use tokio::time::timeout;
use wire::control::{Kind, MAX_FRAME_BYTES};

use super::counters::Counters;

/// Time that the platform has to answer, beyond the requested wait of a long poll.
const ANSWER_GRACE: Duration = Duration::from_secs(5);

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

type HttpClient = Client<HttpConnector, Empty<Bytes>>;

/// Client of the platform; each read runs in its own task.
#[derive(Debug)]
pub(super) struct Platform {
    client: HttpClient,
    addresses: Arc<[SocketAddr]>,
    /// Index of the address in use, modulo their number; incremented after each failure.
    address_index: Arc<AtomicUsize>,
    answers: mpsc::Sender<PlatformAnswer>,
    counters: Arc<Counters>,
}

impl Platform {
    pub(super) fn new(
        addresses: Vec<SocketAddr>,
        answers: mpsc::Sender<PlatformAnswer>,
        counters: Arc<Counters>,
    ) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        Platform {
            client: Client::builder(TokioExecutor::new())
                .retry_canceled_requests(false)
                .build(connector),
            addresses: addresses.into(),
            address_index: Arc::default(),
            answers,
            counters,
        }
    }

    /// Starts a read; exactly one answer follows.
    pub(super) fn read(&self, kind: Kind, read: Read) {
        match kind {
            Kind::Document => self.counters.document_reads.add(1),
            Kind::Instances => self.counters.instances_reads.add(1),
        }
        let client = self.client.clone();
        let addresses = Arc::clone(&self.addresses);
        let address_index = Arc::clone(&self.address_index);
        let answers = self.answers.clone();
        let counters = Arc::clone(&self.counters);
        tokio::spawn(async move {
            let index = address_index.load(Ordering::Relaxed);
            let result = match addresses.get(index % addresses.len().max(1)) {
                Some(address) => read_from(&client, *address, kind, read).await,
                None => ReadResult::Failed,
            };
            match &result {
                ReadResult::Content(content) => counters.platform_bytes.add(content.len()),
                ReadResult::Failed => address_index.store(index + 1, Ordering::Relaxed),
                ReadResult::Unchanged | ReadResult::Absent => {}
            }
            // The channel is closed only when the daemon stops.
            let _ = answers.send(PlatformAnswer { kind, result }).await;
        });
    }
}

async fn read_from(client: &HttpClient, address: SocketAddr, kind: Kind, read: Read) -> ReadResult {
    let path = path(kind, read);
    let answer = timeout(
        read.wait + ANSWER_GRACE,
        request(client, address, &path, kind),
    );
    match answer.await {
        Ok(Ok(result)) => result,
        Ok(Err(e)) => {
            debug!("reading {path} from {address} failed: {e:#}");
            ReadResult::Failed
        }
        Err(_) => {
            debug!("reading {path} from {address} timed out");
            ReadResult::Failed
        }
    }
}

fn path(kind: Kind, read: Read) -> String {
    let name = match kind {
        Kind::Document => "document",
        Kind::Instances => "instances",
    };
    match read.after {
        Some(after) => format!("/v1/{name}?after={after}&wait_ms={}", read.wait.as_millis()),
        None => format!("/v1/{name}"),
    }
}

async fn request(
    client: &HttpClient,
    address: SocketAddr,
    path: &str,
    kind: Kind,
) -> anyhow::Result<ReadResult> {
    let uri: Uri = format!("http://{address}{path}").parse()?;
    let res = client
        .request(Request::get(uri).body(Empty::new())?)
        .await?;
    match res.status() {
        StatusCode::OK => {}
        StatusCode::NOT_MODIFIED => return Ok(ReadResult::Unchanged),
        StatusCode::NOT_FOUND => return Ok(ReadResult::Absent),
        status => anyhow::bail!("status {status}"),
    }
    let limit = match kind {
        Kind::Document => MAX_DOCUMENT_BYTES,
        Kind::Instances => MAX_FRAME_BYTES,
    };
    let body = Limited::new(res.into_body(), limit).collect().await;
    let body = body.map_err(|e| anyhow::anyhow!(e))?;
    Ok(ReadResult::Content(body.to_bytes()))
}
