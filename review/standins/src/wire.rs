//! HTTP/1.1 messages on a blocking socket.

use std::io::{self, Read};
use std::net::TcpStream;

const MAX_HEAD_BYTES: usize = 64 << 10;

/// Start line and headers of a message.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub start: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Value of a header; empty if there is none.
    #[must_use]
    pub fn get(&self, name: &str) -> &str {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value.as_str())
    }

    /// The word of the start line at an index.
    #[must_use]
    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or("")
    }

    /// Status of a response; 0 if it is malformed.
    #[must_use]
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    /// Value of a field in the query of a request.
    #[must_use]
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.word(1).split_once('?')?;
        let field = query.split('&').find_map(|field| {
            let (key, value) = field.split_once('=')?;
            (key == name).then_some(value)
        })?;
        Some(percent_decoded(field))
    }

    /// A number in the query of a request.
    #[must_use]
    pub fn query_number(&self, name: &str) -> Option<u64> {
        self.query(name)?.parse().ok()
    }
}

fn percent_decoded(text: &str) -> String {
    let mut out = Vec::new();
    let bytes = text.as_bytes();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3);
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) if bytes[at] == b'%' => {
                out.push(byte);
                at += 3;
            }
            _ => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// How a body is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Length(usize),
    Chunked,
    UntilClose,
}

/// A socket and the bytes that were read from it but not used yet.
pub struct Wire {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Wire {
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        Wire {
            stream,
            buf: Vec::new(),
        }
    }

    /// Reads more bytes; `false` at the end of the stream.
    fn fill(&mut self, most: usize) -> io::Result<bool> {
        let mut chunk = vec![0; most.clamp(1, 64 << 10)];
        let read = self.stream.read(&mut chunk)?;
        self.buf.extend_from_slice(&chunk[..read]);
        Ok(read > 0)
    }

    /// Reads a head; `None` if the stream ends before it begins.
    ///
    /// # Errors
    ///
    /// If the stream fails or ends within the head, or the head is too long.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let start = lines.next().unwrap_or("").to_owned();
                let headers = lines.filter_map(|line| {
                    let (name, value) = line.split_once(':')?;
                    Some((name.trim().to_owned(), value.trim().to_owned()))
                });
                return Ok(Some(Head {
                    start,
                    headers: headers.collect(),
                }));
            }
            if self.buf.len() > MAX_HEAD_BYTES {
                return Err(io::Error::other("the head is too long"));
            }
            if !self.fill(4_096)? {
                if self.buf.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// How the body behind a head is delimited; a request without a length has none.
    #[must_use]
    pub fn framing(head: &Head, is_request: bool) -> Framing {
        if head
            .get("transfer-encoding")
            .eq_ignore_ascii_case("chunked")
        {
            return Framing::Chunked;
        }
        match head.get("content-length").parse() {
            Ok(length) => Framing::Length(length),
            Err(_) if is_request => Framing::Length(0),
            Err(_) => Framing::UntilClose,
        }
    }

    /// Reads at least one byte of a body with a length, at most `most`.
    ///
    /// # Errors
    ///
    /// If the stream fails or ends.
    pub fn some(&mut self, most: usize) -> io::Result<Vec<u8>> {
        if self.buf.is_empty() && !self.fill(most)? {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let take = most.min(self.buf.len());
        Ok(self.buf.drain(..take).collect())
    }

    /// Reads a whole body.
    ///
    /// # Errors
    ///
    /// If the stream fails or ends early.
    pub fn body(&mut self, framing: Framing) -> io::Result<Vec<u8>> {
        match framing {
            Framing::Length(length) => {
                while self.buf.len() < length {
                    if !self.fill(64 << 10)? {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                }
                Ok(self.buf.drain(..length).collect())
            }
            Framing::Chunked => self.chunked(),
            Framing::UntilClose => {
                while self.fill(64 << 10)? {}
                Ok(std::mem::take(&mut self.buf))
            }
        }
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 2);
                return Ok(line);
            }
            if !self.fill(4_096)? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn chunked(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.line()?;
            let size = line.split(';').next().unwrap_or("").trim();
            let size = usize::from_str_radix(size, 16)
                .map_err(|_| io::Error::other("malformed chunk size"))?;
            if size == 0 {
                while !self.line()?.is_empty() {}
                return Ok(body);
            }
            body.extend(self.body(Framing::Length(size))?);
            self.line()?;
        }
    }

    /// True if the peer has closed or reset the connection, as far as can be told without reading.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        if self.stream.set_nonblocking(true).is_err() {
            return true;
        }
        let peeked = self.stream.peek(&mut [0]);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(0) => true,
            Ok(_) => false,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }
}
