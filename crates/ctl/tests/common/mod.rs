//! Helpers that run `berylctl` and provide it with files and stub daemons.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

pub(crate) mod small_fleet;

use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Command, Stdio};

/// Runs `berylctl` and returns its standard output, its standard error and a line `exit CODE`.
pub(crate) fn berylctl(args: &[&str]) -> String {
    berylctl_with(args, "")
}

/// Like [`berylctl`], with a text as standard input.
pub(crate) fn berylctl_with(args: &[&str], input: &str) -> String {
    let mut child = Command::new(env!("CARGO_BIN_EXE_berylctl"))
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // A command that rejects its arguments exits without reading its input, so the write may fail.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    let output = child.wait_with_output().unwrap();
    let mut stdout = String::from_utf8_lossy(&output.stdout).into_owned();
    if !stdout.is_empty() && !stdout.ends_with('\n') {
        stdout.push('\n');
    }
    format!(
        "{stdout}{}exit {}",
        String::from_utf8_lossy(&output.stderr),
        output.status.code().unwrap()
    )
}

/// Temporary directory that is removed when the value is dropped.
pub(crate) struct Scratch(PathBuf);

impl Scratch {
    pub(crate) fn new(name: &str) -> Self {
        let name = format!("berylctl-test-{}-{name}", std::process::id());
        let dir = std::env::temp_dir().join(name);
        fs::create_dir_all(&dir).unwrap();
        Scratch(dir)
    }

    pub(crate) fn path(&self, name: &str) -> String {
        self.0.join(name).display().to_string()
    }

    pub(crate) fn write(&self, name: &str, bytes: &[u8]) -> String {
        let path = self.path(name);
        fs::write(&path, bytes).unwrap();
        path
    }

    /// Removes the path of the directory from a text, to compare it with a snapshot.
    pub(crate) fn strip_dir(&self, text: &str) -> String {
        text.replace(&format!("{}/", self.0.display()), "")
    }

    /// Returns the names of the files in the directory, sorted.
    pub(crate) fn file_names(&self) -> Vec<String> {
        let entries = fs::read_dir(&self.0).unwrap();
        let name = |entry: fs::DirEntry| entry.file_name().to_string_lossy().into_owned();
        let mut names: Vec<String> = entries.map(|entry| name(entry.unwrap())).collect();
        names.sort();
        names
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Starts a stub daemon that accepts one connection for each response and sends them in order.
///
/// Returns its address, and a thread that returns the request line and headers of each request.
pub(crate) fn serve_responses(
    responses: Vec<String>,
) -> (SocketAddr, std::thread::JoinHandle<Vec<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = std::thread::spawn(move || {
        let mut requests = Vec::new();
        for response in responses {
            let (mut stream, _) = listener.accept().unwrap();
            let head = BufReader::new(stream.try_clone().unwrap()).lines();
            let head = head.map(Result::unwrap).take_while(|line| !line.is_empty());
            requests.push(head.collect::<Vec<_>>().join("\n"));
            stream.write_all(response.as_bytes()).unwrap();
        }
        requests
    });
    (address, server)
}

/// Formats an HTTP response that closes the connection.
pub(crate) fn http_response(status: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\nconnection: close\r\ncontent-length: {length}\r\n{headers}\r\n{body}"
    )
}
