//! A `log` backend that writes JSON lines to standard error or standard output.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{SyncSender, sync_channel};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use log::{Level, LevelFilter, Log, Metadata, Record};
use serde_json::{Map, Value, json};
use simplelog::{CombinedLogger, Config, SharedLogger};

/// Maximum number of lines with the same message, errors excepted, that are written in one
/// second: enough to see what happens, at a small part of a processor under the heaviest load.
const MAX_LINES_PER_MESSAGE: u32 = 10;
/// Maximum number of messages that are counted separately in one second; once it is reached,
/// all further lines of that second share one count.
const MAX_MESSAGES: usize = 64;
/// Key of that shared count, and of messages that are formatted at run time.
const OTHER_MESSAGES: &str = "other";

/// Crates whose lines are written at every level; of all others, only warnings and errors.
const OWN_CRATES: [&str; 4] = ["daemon", "berylhead", "relay", "platform"];

/// The output stream of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stream {
    /// Standard error.
    Stderr,
    /// Standard output.
    Stdout,
}

/// Capacity of the writer's queue in lines: some seconds of the heaviest load.
const MAX_QUEUED_LINES: usize = 2_048;

/// Maximum time that [`Log::flush`] waits for the queued lines.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// A message to the writer thread.
enum WriterMessage {
    Line(String),
    /// The writer drops the sender once all earlier lines are written.
    Flush(SyncSender<()>),
}

/// Writes lines on its own thread, so that an output that nobody reads doesn't block requests.
struct Writer {
    tx: SyncSender<WriterMessage>,
    /// Lines dropped on a full queue since the last line that was queued.
    dropped: AtomicU64,
}

impl Writer {
    fn start(stream: Stream) -> Self {
        let (tx, rx) = sync_channel::<WriterMessage>(MAX_QUEUED_LINES);
        let write_lines = move || {
            while let Ok(first) = rx.recv() {
                let mut text = String::new();
                let mut pending_flushes = Vec::new();
                for message in std::iter::once(first).chain(rx.try_iter()) {
                    match message {
                        WriterMessage::Line(line) => text.push_str(&line),
                        WriterMessage::Flush(done_tx) => pending_flushes.push(done_tx),
                    }
                }
                let written = match stream {
                    Stream::Stderr => std::io::stderr().lock().write_all(text.as_bytes()),
                    Stream::Stdout => std::io::stdout().lock().write_all(text.as_bytes()),
                };
                if written.is_err() {
                    // There is no other place to report it.
                    return;
                }
            }
        };
        let spawned = std::thread::Builder::new()
            .name("log".to_owned())
            .stack_size(WRITER_STACK_BYTES)
            .spawn(write_lines);
        if let Err(error) = spawned {
            eprintln!("cannot start the log writer, nothing will be logged: {error}");
        }
        Writer {
            tx,
            dropped: AtomicU64::new(0),
        }
    }

    fn write(&self, line: &Value) {
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        let mut text = String::new();
        if dropped > 0 {
            let notice = json!({ "level": "warn", "message": "lines dropped", "count": dropped });
            text = format!("{notice}\n");
        }
        text.push_str(&line.to_string());
        text.push('\n');
        if self.tx.try_send(WriterMessage::Line(text)).is_err() {
            self.dropped.fetch_add(dropped + 1, Ordering::Relaxed);
        }
    }

    /// Waits until all lines queued before are written, at most [`FLUSH_TIMEOUT`].
    fn flush(&self) {
        let (done_tx, done_rx) = sync_channel(0);
        if self.tx.try_send(WriterMessage::Flush(done_tx)).is_ok() {
            // Nothing is ever sent: the wait ends when the writer drops the sender.
            let result = done_rx.recv_timeout(FLUSH_TIMEOUT);
            debug_assert!(result.is_err());
        }
    }
}

/// Stack size of the writer thread, which only copies text.
const WRITER_STACK_BYTES: usize = 64 << 10;

/// Installs the logger of the process. Further calls have no effect.
pub fn install(level: LevelFilter, stream: Stream) {
    let logger: Box<dyn SharedLogger> = Box::new(JsonLines {
        level,
        writer: Writer::start(stream),
        limiter: Mutex::new(LineLimiter::default()),
    });
    let _ = CombinedLogger::init(vec![logger]);
}

/// Writes one JSON object per record; a record's key-value pairs become its fields.
struct JsonLines {
    level: LevelFilter,
    writer: Writer,
    limiter: Mutex<LineLimiter>,
}

/// Limits the lines per second and message. All lines logged at one place in the code have the
/// same message, as the values are in key-value pairs.
#[derive(Debug, Default)]
struct LineLimiter {
    /// The second that the counts are of, since the Unix epoch.
    second: u64,
    counts: Vec<MessageCount>,
}

/// Lines with one message in the current second.
#[derive(Clone, Copy, Debug)]
struct MessageCount {
    message: &'static str,
    lines: u32,
    suppressed: u64,
}

impl LineLimiter {
    /// Returns whether a line may be written and, on the first line of a new second, the
    /// messages that had lines suppressed before. Without a limit, logging would add to an
    /// overload.
    fn admit(
        &mut self,
        level: Level,
        message: &'static str,
        second: u64,
    ) -> (bool, Vec<MessageCount>) {
        let mut suppressed = Vec::new();
        if second != self.second {
            suppressed.extend(self.counts.drain(..).filter(|count| count.suppressed > 0));
            self.second = second;
        }
        let count = self.count(message);
        let admitted = level <= Level::Error || count.lines < MAX_LINES_PER_MESSAGE;
        if admitted {
            count.lines += 1;
        } else {
            count.suppressed += 1;
        }
        (admitted, suppressed)
    }

    fn count(&mut self, message: &'static str) -> &mut MessageCount {
        let message = if self.counts.len() < MAX_MESSAGES {
            message
        } else {
            OTHER_MESSAGES
        };
        let found = self
            .counts
            .iter()
            .position(|count| count.message == message);
        let index = found.unwrap_or_else(|| {
            self.counts.push(MessageCount {
                message,
                lines: 0,
                suppressed: 0,
            });
            self.counts.len() - 1
        });
        &mut self.counts[index]
    }
}

impl JsonLines {
    fn limiter(&self) -> MutexGuard<'_, LineLimiter> {
        self.limiter.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Log for JsonLines {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= self.level
    }

    fn log(&self, record: &Record<'_>) {
        // Libraries log connection details at lower levels, which would bury the daemon's own
        // lines.
        let target = record.target();
        let is_own = OWN_CRATES.iter().any(|name| target.starts_with(name));
        if !self.enabled(record.metadata()) || !(is_own || record.level() <= Level::Warn) {
            return;
        }
        let at = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let message = record.args().as_str().unwrap_or(OTHER_MESSAGES);
        let (admitted, suppressed) = self.limiter().admit(record.level(), message, at.as_secs());
        for count in suppressed {
            self.writer.write(&json!({
                "level": "warn",
                "message": "lines left out",
                "kind": count.message,
                "count": count.suppressed,
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
        let _ = record.key_values().visit(&mut FieldVisitor(&mut fields));
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

/// Copies the key-value pairs of a record into the fields of its line.
struct FieldVisitor<'a>(&'a mut Map<String, Value>);

impl<'kvs> log::kv::VisitSource<'kvs> for FieldVisitor<'_> {
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
