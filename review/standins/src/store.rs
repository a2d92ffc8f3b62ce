//! The platform's metadata store: reads and watches of items with one revision counter.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::wire::{Framing, Head, Wire};

/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);
const PAGE_ITEMS: usize = 500;

struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    revision: u64,
}

/// The store; copies share one state.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    /// Listens on a free port of a loopback address.
    ///
    /// # Panics
    ///
    /// If it can't listen.
    #[must_use]
    pub fn start(ip: [u8; 4]) -> Self {
        let listener = TcpListener::bind(SocketAddr::from((ip, 0))).expect("a free port");
        let store = Store {
            state: Arc::default(),
            address: listener.local_addr().expect("an address"),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an item.
    ///
    /// # Panics
    ///
    /// If another thread panicked while writing.
    pub fn put(&self, key: &str, value: &str) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("no writer panics");
        state.revision += 1;
        let revision = state.revision;
        let created = state.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value: value.as_bytes().to_vec(),
            revision,
            created,
        };
        state.items.insert(key.to_owned(), item);
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut wire = Wire::new(stream);
        while let Ok(Some(head)) = wire.head() {
            if wire.body(Framing::Length(0)).is_err() {
                return;
            }
            thread::sleep(ANSWER_TIME);
            let (status, body) = self.answer(&head);
            let text = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nStore-Era: 0\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if wire.stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head) -> (&'static str, String) {
        let path = head.word(1).split('?').next().unwrap_or("");
        match path {
            "/-/kv-key" => self.read_key(&head.query("key").unwrap_or_default()),
            "/-/kv-range" => {
                let after = head.query("after").unwrap_or_default();
                (
                    "200 OK",
                    self.range(&head.query("prefix").unwrap_or_default(), &after),
                )
            }
            "/-/kv-watch" => {
                let after = head.query_number("after").unwrap_or(0);
                let wait = head.query_number("waitMs").unwrap_or(0).min(30_000);
                let prefix = head.query("prefix").unwrap_or_default();
                let wait = Duration::from_millis(wait);
                ("200 OK", self.watch(&prefix, after, wait))
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn read_key(&self, key: &str) -> (&'static str, String) {
        let state = self.state.0.lock().expect("no writer panics");
        let Some(item) = state.items.get(key) else {
            return ("404 Not Found", "{}".to_owned());
        };
        let fields = item_fields(key, item);
        (
            "200 OK",
            format!("{{{fields},\"asOf\":{}}}", state.revision),
        )
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let state = self.state.0.lock().expect("no writer panics");
        let matching = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let matching: Vec<_> = matching.collect();
        let page = &matching[..matching.len().min(PAGE_ITEMS)];
        let items: Vec<String> = page
            .iter()
            .map(|(key, item)| format!("{{{}}}", item_fields(key, item)))
            .collect();
        format!(
            "{{\"items\":[{}],\"truncated\":{},\"asOf\":{}}}",
            items.join(","),
            page.len() < matching.len(),
            state.revision
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("no writer panics");
        loop {
            let mut events = Vec::new();
            for (key, item) in &state.items {
                if key.starts_with(prefix) && item.revision > after {
                    events.push((item.revision, format!("{{{}}}", item_fields(key, item))));
                }
            }
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                events.sort();
                let events: Vec<String> = events.into_iter().map(|(_, event)| event).collect();
                return format!(
                    "{{\"events\":[{}],\"asOf\":{}}}",
                    events.join(","),
                    state.revision
                );
            }
            state = changed
                .wait_timeout(state, left)
                .expect("no writer panics")
                .0;
        }
    }
}

fn item_fields(key: &str, item: &Item) -> String {
    format!(
        "\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":0",
        base64(&item.value),
        item.revision,
        item.created
    )
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk.iter().enumerate().fold(0u32, |group, (at, byte)| {
            group | u32::from(*byte) << (16 - 8 * at)
        });
        for at in 0..4 {
            if at <= chunk.len() {
                let index = (group >> (18 - 6 * at)) & 63;
                text.push(char::from(ALPHABET[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
