//! A target of the users' platform that sends the raw response bytes a test chooses.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// A request as the target received it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    /// Method, path and query of the request line, without the version.
    pub line: String,
    /// Headers in the order of arrival, their names in lower case.
    pub headers: Vec<(String, String)>,
    /// The complete body.
    pub body: Vec<u8>,
}

impl Seen {
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
pub enum Act {
    /// Writes these bytes and keeps the connection.
    Write(Vec<u8>),
    /// Writes these bytes and closes the connection.
    WriteAndClose(Vec<u8>),
    /// Never answers; the connection stays until the other side closes it.
    Hang,
}

/// A complete response that carries the request's id and a signature.
#[must_use]
pub fn whole(seen: &Seen, status: &str, body: &str) -> Act {
    Act::Write(answer(seen.header("berylhead-request-id"), status, body))
}

/// The bytes of a complete response that carries a request id and a signature.
#[must_use]
pub fn answer(id: &str, status: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\nberylhead-request-id: {id}\r\nberylhead-server-signature: s.{id}\r\n\
         content-length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

type Log = Arc<Mutex<Vec<Seen>>>;

/// A running target; stops accepting connections when dropped.
#[derive(Debug)]
pub struct Backend {
    address: SocketAddr,
    accept: JoinHandle<()>,
    seen: Log,
    hung_up: Arc<Mutex<u32>>,
}

impl Backend {
    /// Starts a target that calls `act` for each request and does what it returns.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub async fn start<F>(address: SocketAddr, act: F) -> std::io::Result<Self>
    where
        F: Fn(&Seen) -> Act + Send + Sync + 'static,
    {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let act = Arc::new(act);
        let seen = Log::default();
        let hung_up = Arc::new(Mutex::new(0));
        let (log, gone) = (Arc::clone(&seen), Arc::clone(&hung_up));
        let accept = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (act, log, gone) = (Arc::clone(&act), Arc::clone(&log), Arc::clone(&gone));
                tokio::spawn(async move {
                    // An I/O error ends the connection; the test observes that at the client side.
                    if serve(stream, act.as_ref(), &log, &gone).await.is_err() {}
                });
            }
        });
        Ok(Backend {
            address,
            accept,
            seen,
            hung_up,
        })
    }

    /// The address it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// All requests received so far.
    #[must_use]
    pub fn seen(&self) -> Vec<Seen> {
        self.seen
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Number of unanswered requests whose connection the client closed.
    #[must_use]
    pub fn hung_up(&self) -> u32 {
        *self.hung_up.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Backend {
    fn drop(&mut self) {
        self.accept.abort();
    }
}

async fn serve<F: Fn(&Seen) -> Act>(
    mut stream: TcpStream,
    act: &F,
    log: &Log,
    hung_up: &Mutex<u32>,
) -> std::io::Result<()> {
    let mut buf = Vec::new();
    while let Some(seen) = read(&mut stream, &mut buf).await? {
        log.lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(seen.clone());
        match act(&seen) {
            Act::Write(bytes) => stream.write_all(&bytes).await?,
            Act::WriteAndClose(bytes) => {
                stream.write_all(&bytes).await?;
                return Ok(());
            }
            Act::Hang => {
                let mut rest = [0; 64];
                while stream.read(&mut rest).await.is_ok_and(|read| read > 0) {}
                *hung_up.lock().unwrap_or_else(PoisonError::into_inner) += 1;
                return Ok(());
            }
        }
    }
    Ok(())
}

/// Reads one request with a `content-length`, or without a body; `None` if the connection
/// ends first.
async fn read(stream: &mut TcpStream, buf: &mut Vec<u8>) -> std::io::Result<Option<Seen>> {
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
    let mut seen = Seen {
        line: line.trim_end_matches(" HTTP/1.1").to_owned(),
        headers,
        body: Vec::new(),
    };
    let length = seen.header("content-length").parse().unwrap_or(0);
    while buf.len() < length {
        if stream.read_buf(buf).await? == 0 {
            return Ok(None);
        }
    }
    seen.body = buf.drain(..length).collect();
    Ok(Some(seen))
}
