//! A sound application backend: it registers in the store, runs as many requests at a time as it
//! has slots, queues a few more, and drops a request when its connection closes.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::record::Record;
use crate::store::Store;
use crate::wire::{Head, Wire};

/// Interval at which a waiting or running request checks its connection and its deadline.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Idle timeout of a connection, as the `Keep-Alive` header states it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Length of a backend's trouble, from its first answer on: that of `garble` in the site files.
const TROUBLE_LASTS: Duration = Duration::from_secs(5);

/// Properties of a backend.
#[derive(Clone)]
pub struct Config {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub slots: usize,
    /// Requests that wait for a slot, at most.
    pub queue: usize,
    pub heartbeat: Duration,
    /// What the backend does wrong, if it is in trouble.
    pub trouble: Option<Trouble>,
}

/// A trouble of a backend, which shows in one of so many answers.
#[derive(Clone, Copy, Debug)]
pub enum Trouble {
    /// The body of the answer doesn't end until the caller closes.
    EndlessBody { one_in: usize },
    /// Additional bytes follow the answer late, when the next one is expected: a refusal that belongs
    /// to no request.
    LateRefusal { one_in: usize },
}

/// What happened to one request at a backend.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
    pub backend: String,
    pub caller: String,
    /// When the backend began to work on it, and when it stopped.
    pub began: Instant,
    pub ended: Option<Instant>,
    /// True if the whole answer was written.
    pub answered: bool,
}

#[derive(Default)]
struct Slots {
    running: usize,
    waiting: usize,
}

struct Shared {
    cfg: Config,
    record: Record,
    slots: Mutex<Slots>,
    freed: Condvar,
    runs: Arc<Mutex<Vec<Run>>>,
    answers: AtomicUsize,
    trouble_began: OnceLock<Instant>,
}

/// A running backend; copies share it.
#[derive(Clone)]
pub struct Backend {
    shared: Arc<Shared>,
}

impl Backend {
    /// Starts a backend and registers it.
    ///
    /// The query of a request tells what it costs: `work`, in milliseconds, and `bytes`, the size of
    /// the answer.
    ///
    /// # Panics
    ///
    /// If it can't listen on its address.
    #[must_use]
    pub fn start(cfg: Config, store: &Store, record: &Record, runs: &Arc<Mutex<Vec<Run>>>) -> Self {
        let listener = TcpListener::bind(cfg.address).expect("the address is free");
        let backend = Backend {
            shared: Arc::new(Shared {
                cfg,
                record: record.clone(),
                slots: Mutex::default(),
                freed: Condvar::new(),
                runs: Arc::clone(runs),
                answers: AtomicUsize::new(0),
                trouble_began: OnceLock::new(),
            }),
        };
        let accepting = backend.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let backend = accepting.clone();
                thread::spawn(move || backend.serve(stream));
            }
        });
        let beating = backend.clone();
        let store = store.clone();
        thread::spawn(move || beating.heartbeats(&store));
        backend
    }

    fn heartbeats(&self, store: &Store) {
        let cfg = &self.shared.cfg;
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since| since.as_millis());
        for seq in 1u64.. {
            let entry = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
                 \"slots\":{},\"state\":\"ready\",\"coldRemaining\":\"0ms\",\"seq\":{seq},\
                 \"born\":{born}}}",
                cfg.service, cfg.address, cfg.zone, cfg.slots
            );
            store.put(&format!("servers/{}", cfg.id), &entry);
            thread::sleep(cfg.heartbeat);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(IDLE_TIMEOUT));
        let mut wire = Wire::new(stream);
        // True if additional bytes are to follow the last answer.
        let mut has_stray = false;
        while let Ok(Some(head)) = wire.head() {
            if has_stray && !refuse(&mut wire, "400 Bad Request", "") {
                return;
            }
            has_stray = false;
            if !self.answer(&mut wire, &head, &mut has_stray) {
                return;
            }
        }
    }

    /// Answers one request; `false` if the connection is to be closed.
    fn answer(&self, wire: &mut Wire, head: &Head, has_stray: &mut bool) -> bool {
        let shared = &*self.shared;
        let id = head.get("berylhead-request-id").to_owned();
        let began = Instant::now();
        let framing = Wire::framing(head, true);
        if wire.body(framing).is_err() {
            return false;
        }
        if head.word(1).starts_with("/healthz") {
            let text = format!(
                "HTTP/1.1 200 OK\r\nBerylhead-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                shared.cfg.id
            );
            return wire.stream.write_all(text.as_bytes()).is_ok();
        }
        if id.is_empty() {
            return refuse(wire, "400 Bad Request", "");
        }
        let expected = head.get("berylhead-expected-instance");
        if !expected.is_empty() && expected != shared.cfg.id {
            return refuse(wire, "421 Misdirected Request", &id);
        }
        let deadline = head.get("berylhead-deadline-ms").parse();
        let deadline = began + Duration::from_millis(deadline.unwrap_or(60_000));
        if !self.wait_for_slot(wire, deadline) {
            return !wire.is_closed() && refuse(wire, "503 Service Unavailable", &id);
        }
        let run = self.begin(head, &id);
        let work = Duration::from_millis(head.query_number("work").unwrap_or(10));
        let whole = self::work(wire, work, deadline);
        let is_sent = match whole {
            Some(true) => {
                let trouble = self.next_trouble(&id);
                if let Some(trouble) = trouble {
                    let text = format!("{} {trouble:?} after {id}", shared.cfg.id);
                    shared.record.line(&text);
                }
                if matches!(trouble, Some(Trouble::EndlessBody { .. })) {
                    send_without_end(wire, &id);
                    false
                } else {
                    *has_stray = trouble.is_some();
                    let bytes = head.query_number("bytes").unwrap_or(200);
                    let body = body_of(&id, usize::try_from(bytes).unwrap_or(200));
                    shared
                        .record
                        .line(&format!("{} answered {id}", shared.cfg.id));
                    respond(wire, "200 OK", &id, &body)
                }
            }
            Some(false) => respond(wire, "504 Gateway Timeout", &id, b""),
            None => false,
        };
        self.end(run, is_sent);
        is_sent
    }

    /// Counts an answer, unless it is one of the start of the deployment; returns the trouble if it
    /// shows in this one.
    fn next_trouble(&self, id: &str) -> Option<Trouble> {
        if id.starts_with("warm") {
            return None;
        }
        let trouble = self.shared.cfg.trouble?;
        let (Trouble::EndlessBody { one_in } | Trouble::LateRefusal { one_in }) = trouble;
        let began = self.shared.trouble_began.get_or_init(Instant::now);
        if began.elapsed() >= TROUBLE_LASTS {
            return None;
        }
        let number = self.shared.answers.fetch_add(1, Ordering::Relaxed) + 1;
        number.is_multiple_of(one_in).then_some(trouble)
    }

    fn begin(&self, head: &Head, id: &str) -> usize {
        let shared = &*self.shared;
        shared.record.line(&format!("{} runs {id}", shared.cfg.id));
        let mut runs = shared.runs.lock().expect("no holder panics");
        runs.push(Run {
            request: id.to_owned(),
            backend: shared.cfg.id.clone(),
            caller: head.get("berylhead-caller-service").to_owned(),
            began: Instant::now(),
            ended: None,
            answered: false,
        });
        runs.len() - 1
    }

    fn end(&self, run: usize, answered: bool) {
        let shared = &*self.shared;
        let mut runs = shared.runs.lock().expect("no holder panics");
        runs[run].ended = Some(Instant::now());
        runs[run].answered = answered;
        drop(runs);
        let mut slots = shared.slots.lock().expect("no holder panics");
        slots.running = slots.running.saturating_sub(1);
        shared.freed.notify_one();
    }

    /// Waits for a slot; `false` if the backend is full, or the deadline has passed or the
    /// connection was closed meanwhile.
    fn wait_for_slot(&self, wire: &Wire, deadline: Instant) -> bool {
        let shared = &*self.shared;
        let mut slots = shared.slots.lock().expect("no holder panics");
        if slots.running >= shared.cfg.slots {
            if slots.waiting >= shared.cfg.queue {
                return false;
            }
            slots.waiting += 1;
            while slots.running >= shared.cfg.slots {
                let waited = shared.freed.wait_timeout(slots, CHECK_INTERVAL);
                slots = waited.expect("no holder panics").0;
                if Instant::now() >= deadline || wire.is_closed() {
                    slots.waiting -= 1;
                    return false;
                }
            }
            slots.waiting -= 1;
        }
        slots.running += 1;
        true
    }
}

/// Works for some time: `Some(true)` when done, `Some(false)` at the deadline, `None` if the
/// connection was closed.
fn work(wire: &Wire, work: Duration, deadline: Instant) -> Option<bool> {
    let done = Instant::now() + work;
    loop {
        let now = Instant::now();
        if now >= deadline {
            return Some(false);
        }
        if now >= done {
            return Some(true);
        }
        if wire.is_closed() {
            return None;
        }
        thread::sleep(CHECK_INTERVAL.min(done - now));
    }
}

/// Sends the head of an answer without a length, and a body until the caller closes.
fn send_without_end(wire: &mut Wire, id: &str) {
    const PIECE_BYTES: usize = 64 << 10;
    const INTERVAL: Duration = Duration::from_millis(10);
    let head = format!(
        "HTTP/1.1 200 OK\r\nBerylhead-Request-Id: {id}\r\nBerylhead-Server-Signature: s-{id}\r\n\r\n"
    );
    let piece = vec![b'#'; PIECE_BYTES];
    let mut is_open = wire.stream.write_all(head.as_bytes()).is_ok();
    while is_open {
        is_open = wire.stream.write_all(&piece).is_ok();
        thread::sleep(INTERVAL);
    }
}

fn refuse(wire: &mut Wire, status: &str, id: &str) -> bool {
    let echo = if id.is_empty() {
        String::new()
    } else {
        format!("Berylhead-Request-Id: {id}\r\n")
    };
    let text = format!(
        "HTTP/1.1 {status}\r\n{echo}Berylhead-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    );
    wire.stream.write_all(text.as_bytes()).is_ok()
}

fn respond(wire: &mut Wire, status: &str, id: &str, body: &[u8]) -> bool {
    let text = format!(
        "HTTP/1.1 {status}\r\nBerylhead-Request-Id: {id}\r\nBerylhead-Server-Signature: s-{id}\r\n\
         Keep-Alive: timeout={}\r\nContent-Length: {}\r\n\r\n",
        IDLE_TIMEOUT.as_secs(),
        body.len()
    );
    let mut answer = text.into_bytes();
    answer.extend_from_slice(body);
    wire.stream.write_all(&answer).is_ok()
}

/// The bytes that a backend answers a request with.
#[must_use]
pub fn body_of(id: &str, length: usize) -> Vec<u8> {
    let seed = format!("{id};");
    seed.bytes().cycle().take(length).collect()
}
