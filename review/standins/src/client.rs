//! A client on a machine: sends requests to the daemon's outbound address.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::backend::body_of;
use crate::window;
use crate::wire::{Framing, Wire};

/// A request to send.
#[derive(Clone, Debug)]
pub struct Ask {
    pub id: String,
    pub method: &'static str,
    pub host: String,
    pub target: String,
    pub deadline: Duration,
    pub body: Vec<u8>,
}

impl Ask {
    /// The bytes of the request.
    #[must_use]
    pub fn bytes(&self) -> Vec<u8> {
        let mut text = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nBerylhead-Request-Id: {}\r\nBerylhead-Deadline-Ms: {}\r\n",
            self.method,
            self.target,
            self.host,
            self.id,
            self.deadline.as_millis()
        );
        if self.method == "POST" {
            let length = format!("Content-Length: {}\r\n", self.body.len());
            text.push_str(&length);
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// A whole answer with this status, which is the backend's if it bears a signature.
    Answer { status: u16, signed: bool },
    /// A success whose body isn't the backend's.
    WrongBody { got: usize, want: usize },
    /// The connection ended within the answer.
    Partial {
        status: u16,
        got: usize,
        want: usize,
    },
    /// The connection ended without a byte of an answer.
    NoAnswer(String),
    /// The client waited for its deadline and a second more.
    Silence,
    /// The client could not connect.
    NoConnection,
}

/// How a client reads an answer.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Bytes of the body after which it pauses.
    pub first: usize,
    pub pause: Duration,
}

/// Opens a connection, within one second.
#[must_use]
pub fn connect(to: SocketAddr) -> Option<Wire> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    Some(Wire::new(stream))
}

/// Opens a connection with a small receive window, as links on the platform have.
#[must_use]
pub fn connect_small(to: SocketAddr) -> Option<Wire> {
    /// The kernel doubles it for its own use.
    const RECEIVE_BUFFER_BYTES: i32 = 4 << 10;
    let stream = window::connect_with(window::v4(to), RECEIVE_BUFFER_BYTES).ok()?;
    stream.set_nodelay(true).ok()?;
    Some(Wire::new(stream))
}

/// Sends a request and reads its answer.
pub fn exchange(wire: &mut Wire, ask: &Ask, bytes: usize, pace: Option<Pace>) -> (End, Instant) {
    if let Err(error) = wire.stream.write_all(&ask.bytes()) {
        return (End::NoAnswer(error.to_string()), Instant::now());
    }
    let sent = Instant::now();
    (receive(wire, ask, bytes, pace), sent)
}

/// Reads the answer to a request whose success has `bytes` bytes.
pub fn receive(wire: &mut Wire, ask: &Ask, bytes: usize, pace: Option<Pace>) -> End {
    let patience = ask.deadline + Duration::from_secs(1);
    let _ = wire.stream.set_read_timeout(Some(patience));
    let head = match wire.head() {
        Ok(Some(head)) => head,
        Ok(None) => return End::NoAnswer("closed".to_owned()),
        Err(error) if is_timeout(&error) => return End::Silence,
        Err(error) => return End::NoAnswer(error.to_string()),
    };
    let status = head.status();
    let signed = !head.get("berylhead-server-signature").is_empty();
    let framing = Wire::framing(&head, false);
    let Framing::Length(want) = framing else {
        return match wire.body(framing) {
            Ok(body) => judged(status, signed, ask, &body, bytes),
            Err(_) => End::Partial {
                status,
                got: 0,
                want: bytes,
            },
        };
    };
    let mut body = Vec::with_capacity(want);
    let mut paused = false;
    while body.len() < want {
        if let Some(pace) = pace
            && !paused
            && body.len() >= pace.first
        {
            paused = true;
            std::thread::sleep(pace.pause);
        }
        let most = match pace {
            Some(pace) if !paused => pace.first - body.len(),
            _ => want - body.len(),
        };
        match wire.some(most.min(want - body.len())) {
            Ok(some) => body.extend(some),
            Err(_) => {
                return End::Partial {
                    status,
                    got: body.len(),
                    want,
                };
            }
        }
    }
    judged(status, signed, ask, &body, bytes)
}

fn judged(status: u16, signed: bool, ask: &Ask, body: &[u8], bytes: usize) -> End {
    if status == 200 && *body != body_of(&ask.id, bytes) {
        return End::WrongBody {
            got: body.len(),
            want: bytes,
        };
    }
    End::Answer { status, signed }
}

fn is_timeout(error: &std::io::Error) -> bool {
    matches!(
        error.kind(),
        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
    )
}
