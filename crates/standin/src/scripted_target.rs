//! A target of the users' platform that sends the raw response bytes a test chooses.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// A request as the target received it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReceivedRequest {
    /// Method, path and query of the request line, without the version.
    pub line: String,
    /// Headers in the order of arrival, their names in lower case.
    pub headers: Vec<(String, String)>,
    /// The complete body.
    pub body: Vec<u8>,
}

impl ReceivedRequest {
    /// The first value of a header, or an empty string if it is absent. `name` is in lower
    /// case.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(header, _)| header == name);
        found.map_or("", |(_, value)| value)
    }
}

/// How a target responds to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Writes these bytes and keeps the connection.
    Write(Vec<u8>),
    /// Writes these bytes after a delay, and keeps the connection.
    WriteAfter(Duration, Vec<u8>),
    /// Writes these bytes and closes the connection.
    WriteAndClose(Vec<u8>),
    /// Writes these bytes, then the others again and again until the client closes the connection.
    WriteEndlessly(Vec<u8>, Vec<u8>),
    /// Writes these bytes and then nothing; the connection stays open until the client closes it.
    WriteAndHang(Vec<u8>),
    /// Sends no response; the connection stays open until the client closes it.
    Hang,
}

/// A complete response that carries the request's id and a signature.
#[must_use]
pub fn complete_response(req: &ReceivedRequest, status: &str, body: &str) -> Action {
    Action::Write(response_bytes(
        req.header("berylhead-request-id"),
        status,
        body,
    ))
}

/// The bytes of a complete response that carries a request id and a signature.
#[must_use]
pub fn response_bytes(id: &str, status: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\nberylhead-request-id: {id}\r\nberylhead-server-signature: s.{id}\r\n\
         content-length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

type Log = Arc<Mutex<Vec<ReceivedRequest>>>;

/// A running target. When dropped, it stops accepting connections, but still serves the
/// open ones.
#[derive(Debug)]
pub struct ScriptedTarget {
    address: SocketAddr,
    accept: JoinHandle<()>,
    requests: Log,
    abandoned: Arc<Mutex<u32>>,
}

impl ScriptedTarget {
    /// Starts a target that calls `respond` for each request and does what it returns.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub async fn start<F>(address: SocketAddr, respond: F) -> std::io::Result<Self>
    where
        F: Fn(&ReceivedRequest) -> Action + Send + Sync + 'static,
    {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let respond = Arc::new(respond);
        let requests = Log::default();
        let abandoned = Arc::new(Mutex::new(0));
        let (log, abandoned_count) = (Arc::clone(&requests), Arc::clone(&abandoned));
        let accept = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (respond, log, abandoned_count) = (
                    Arc::clone(&respond),
                    Arc::clone(&log),
                    Arc::clone(&abandoned_count),
                );
                tokio::spawn(async move {
                    // An I/O error ends the connection; the test observes that at the client side.
                    if serve(stream, respond.as_ref(), &log, &abandoned_count)
                        .await
                        .is_err()
                    {}
                });
            }
        });
        Ok(ScriptedTarget {
            address,
            accept,
            requests,
            abandoned,
        })
    }

    /// The address it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// All requests received so far.
    #[must_use]
    pub fn requests(&self) -> Vec<ReceivedRequest> {
        self.requests
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Number of unanswered requests whose connection the client closed.
    #[must_use]
    pub fn abandoned(&self) -> u32 {
        *self
            .abandoned
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for ScriptedTarget {
    fn drop(&mut self) {
        self.accept.abort();
    }
}

async fn serve<F: Fn(&ReceivedRequest) -> Action>(
    mut stream: TcpStream,
    respond: &F,
    log: &Log,
    abandoned: &Mutex<u32>,
) -> std::io::Result<()> {
    let mut buf = Vec::new();
    while let Some(req) = read(&mut stream, &mut buf).await? {
        log.lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(req.clone());
        match respond(&req) {
            Action::Write(bytes) => stream.write_all(&bytes).await?,
            Action::WriteAfter(delay, bytes) => {
                tokio::time::sleep(delay).await;
                stream.write_all(&bytes).await?;
            }
            Action::WriteAndClose(bytes) => {
                stream.write_all(&bytes).await?;
                return Ok(());
            }
            Action::WriteEndlessly(start, repeated) => {
                stream.write_all(&start).await?;
                while stream.write_all(&repeated).await.is_ok() {}
                *abandoned.lock().unwrap_or_else(PoisonError::into_inner) += 1;
                return Ok(());
            }
            Action::WriteAndHang(bytes) => {
                stream.write_all(&bytes).await?;
                wait_for_close(&mut stream, abandoned).await;
                return Ok(());
            }
            Action::Hang => {
                wait_for_close(&mut stream, abandoned).await;
                return Ok(());
            }
        }
    }
    Ok(())
}

/// Waits until the client closes the connection, and counts the request as abandoned.
async fn wait_for_close(stream: &mut TcpStream, abandoned: &Mutex<u32>) {
    let mut rest = [0; 64];
    while stream.read(&mut rest).await.is_ok_and(|read| read > 0) {}
    *abandoned.lock().unwrap_or_else(PoisonError::into_inner) += 1;
}

/// Reads one request with a `content-length`, or without a body; `None` if the connection
/// ends first.
async fn read(
    stream: &mut TcpStream,
    buf: &mut Vec<u8>,
) -> std::io::Result<Option<ReceivedRequest>> {
    let head_end = loop {
        if let Some(at) = buf.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            break at;
        }
        if stream.read_buf(buf).await? == 0 {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&buf[..head_end]).into_owned();
    buf.drain(..head_end + 4);
    let mut lines = head.split("\r\n");
    let line = lines.next().unwrap_or_default().to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let mut req = ReceivedRequest {
        line: line.trim_end_matches(" HTTP/1.1").to_owned(),
        headers,
        body: Vec::new(),
    };
    let length = req.header("content-length").parse().unwrap_or(0);
    while buf.len() < length {
        if stream.read_buf(buf).await? == 0 {
            return Ok(None);
        }
    }
    req.body = buf.drain(..length).collect();
    Ok(Some(req))
}
