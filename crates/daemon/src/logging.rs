//! Logs as JSON lines on standard error or standard output.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{SyncSender, sync_channel};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use log::{Level, LevelFilter, Log, Metadata, Record};
use serde_json::{Map, Value, json};
use simplelog::{CombinedLogger, Config, SharedLogger};

/// Lines of one kind, below the level of an error, that are written in one second: enough to
/// see what happens, and a small part of a processor under the heaviest load.
const MAX_LINES_PER_KIND: u32 = 10;
/// Kinds that are told apart in one second; all further ones count as one.
const MAX_KINDS: usize = 64;
/// Stands for the kinds beyond those.
const OTHER_KINDS: &str = "other";

/// Crates whose lines are written from any level on; others only warn.
const OWN_CRATES: [&str; 4] = ["daemon", "berylhead", "relay", "platform"];

/// Where the lines go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stream {
    /// Standard error.
    Stderr,
    /// Standard output.
    Stdout,
}

/// Lines that may wait to be written: some seconds of the heaviest load.
const MAX_WAITING_LINES: usize = 2_048;

/// Longest time that the end of a process waits for its last lines.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// What the writing thread is told.
enum Told {
    Line(String),
    /// Everything before has to be written; then the sender is dropped.
    Flush(SyncSender<()>),
}

/// Writes lines in a thread of its own, so that output that nobody reads holds up no request.
struct Writer {
    told: SyncSender<Told>,
    /// Lines that found no room since the last one that did.
    dropped: AtomicU64,
}

impl Writer {
    fn start(stream: Stream) -> Self {
        let (told, waiting) = sync_channel::<Told>(MAX_WAITING_LINES);
        let write_all = move || {
            while let Ok(first) = waiting.recv() {
                let mut text = String::new();
                let mut flushed = Vec::new();
                for told in std::iter::once(first).chain(waiting.try_iter()) {
                    match told {
                        Told::Line(line) => text.push_str(&line),
                        Told::Flush(tx) => flushed.push(tx),
                    }
                }
                let written = match stream {
                    Stream::Stderr => std::io::stderr().lock().write_all(text.as_bytes()),
                    Stream::Stdout => std::io::stdout().lock().write_all(text.as_bytes()),
                };
                if written.is_err() {
                    // There is nowhere left to tell it.
                    return;
                }
            }
        };
        let spawned = std::thread::Builder::new()
            .name("log".to_owned())
            .stack_size(WRITER_STACK_BYTES)
            .spawn(write_all);
        if let Err(error) = spawned {
            eprintln!("no log is written: {error}");
        }
        Writer {
            told,
            dropped: AtomicU64::new(0),
        }
    }

    fn write(&self, line: &Value) {
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        let mut text = String::new();
        if dropped > 0 {
            let told = json!({ "level": "warn", "message": "lines dropped", "count": dropped });
            text = format!("{told}\n");
        }
        text.push_str(&line.to_string());
        text.push('\n');
        if self.told.try_send(Told::Line(text)).is_err() {
            self.dropped.fetch_add(dropped + 1, Ordering::Relaxed);
        }
    }

    /// Waits until what was told before is written, for a while at the most.
    fn flush(&self) {
        let (tx, flushed) = sync_channel(0);
        if self.told.try_send(Told::Flush(tx)).is_ok() {
            // Nothing is ever sent: the wait ends when the sender is dropped.
            let ended = flushed.recv_timeout(FLUSH_TIMEOUT);
            debug_assert!(ended.is_err());
        }
    }
}

/// Stack of the writing thread, which only copies text.
const WRITER_STACK_BYTES: usize = 64 << 10;

/// Installs the logger of the process. A second call changes nothing.
pub fn install(level: LevelFilter, stream: Stream) {
    let logger: Box<dyn SharedLogger> = Box::new(JsonLines {
        level,
        writer: Writer::start(stream),
        second: Mutex::new(Second::default()),
    });
    let _ = CombinedLogger::init(vec![logger]);
}

/// Writes one JSON object per record; a record's key-value pairs become its fields.
struct JsonLines {
    level: LevelFilter,
    writer: Writer,
    second: Mutex<Second>,
}

/// Lines of the present second, by kind. The message, which is the same for all lines of one
/// place in the code, is the kind.
#[derive(Debug, Default)]
struct Second {
    number: u64,
    kinds: Vec<Kind>,
}

/// Lines of one kind.
#[derive(Clone, Copy, Debug)]
struct Kind {
    message: &'static str,
    lines: u32,
    left_out: u64,
}

impl Second {
    /// Decides whether a line is written, and hands out what was left out in the last second
    /// with lines. Under overload the log must not become the load.
    fn admit(&mut self, level: Level, message: &'static str, number: u64) -> (bool, Vec<Kind>) {
        let mut left_out = Vec::new();
        if number != self.number {
            left_out.extend(self.kinds.drain(..).filter(|kind| kind.left_out > 0));
            self.number = number;
        }
        let kind = self.kind(message);
        let admitted = level <= Level::Error || kind.lines < MAX_LINES_PER_KIND;
        if admitted {
            kind.lines += 1;
        } else {
            kind.left_out += 1;
        }
        (admitted, left_out)
    }

    fn kind(&mut self, message: &'static str) -> &mut Kind {
        let message = if self.kinds.len() < MAX_KINDS {
            message
        } else {
            OTHER_KINDS
        };
        let found = self.kinds.iter().position(|kind| kind.message == message);
        let index = found.unwrap_or_else(|| {
            self.kinds.push(Kind {
                message,
                lines: 0,
                left_out: 0,
            });
            self.kinds.len() - 1
        });
        &mut self.kinds[index]
    }
}

impl JsonLines {
    fn second(&self) -> MutexGuard<'_, Second> {
        self.second.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Log for JsonLines {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= self.level
    }

    fn log(&self, record: &Record<'_>) {
        // Libraries log connection details at lower levels, which drown a daemon's decisions.
        let target = record.target();
        let own = OWN_CRATES.iter().any(|name| target.starts_with(name));
        if !self.enabled(record.metadata()) || !(own || record.level() <= Level::Warn) {
            return;
        }
        let at = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let message = record.args().as_str().unwrap_or(OTHER_KINDS);
        let (admitted, left_out) = self.second().admit(record.level(), message, at.as_secs());
        for kind in left_out {
            self.writer.write(&json!({
                "level": "warn",
                "message": "lines left out",
                "kind": kind.message,
                "count": kind.left_out,
            }));
        }
        if !admitted {
            return;
        }
        let mut fields = Map::new();
        fields.insert(
            "time_ms".into(),
            json!(u64::try_from(at.as_millis()).unwrap_or(u64::MAX)),
        );
        fields.insert(
            "level".into(),
            json!(record.level().as_str().to_ascii_lowercase()),
        );
        fields.insert("message".into(), json!(record.args().to_string()));
        let _ = record.key_values().visit(&mut Pairs(&mut fields));
        self.writer.write(&Value::Object(fields));
    }

    fn flush(&self) {
        self.writer.flush();
    }
}

impl SharedLogger for JsonLines {
    fn level(&self) -> LevelFilter {
        self.level
    }

    fn config(&self) -> Option<&Config> {
        None
    }

    fn as_log(self: Box<Self>) -> Box<dyn Log> {
        self
    }
}

struct Pairs<'a>(&'a mut Map<String, Value>);

impl<'kvs> log::kv::VisitSource<'kvs> for Pairs<'_> {
    fn visit_pair(
        &mut self,
        key: log::kv::Key<'kvs>,
        value: log::kv::Value<'kvs>,
    ) -> Result<(), log::kv::Error> {
        let value = match value.to_u64() {
            Some(number) => json!(number),
            None => json!(value.to_string()),
        };
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}
