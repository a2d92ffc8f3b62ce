//! Logs as JSON lines on standard error or standard output.

use std::io::Write;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use log::{Level, LevelFilter, Log, Metadata, Record};
use serde_json::{Map, Value, json};
use simplelog::{CombinedLogger, Config, SharedLogger};

/// Lines below the level of a warning that are written in one second.
const MAX_LINES_PER_SECOND: u32 = 1_000;

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

impl Stream {
    fn write(self, line: &Value) {
        let _ = match self {
            Stream::Stderr => writeln!(std::io::stderr().lock(), "{line}"),
            Stream::Stdout => writeln!(std::io::stdout().lock(), "{line}"),
        };
    }
}

/// Installs the logger of the process. A second call changes nothing.
pub fn install(level: LevelFilter, stream: Stream) {
    let logger: Box<dyn SharedLogger> = Box::new(JsonLines {
        level,
        stream,
        second: Mutex::new(Second::default()),
    });
    let _ = CombinedLogger::init(vec![logger]);
}

/// Writes one JSON object per record; a record's key-value pairs become its fields.
struct JsonLines {
    level: LevelFilter,
    stream: Stream,
    second: Mutex<Second>,
}

/// Lines that were written in the present second.
#[derive(Debug, Default)]
struct Second {
    number: u64,
    lines: u32,
    suppressed: u64,
}

impl Second {
    /// Decides whether a line is written, and tells at the start of a second how many
    /// were suppressed before it. Under overload the log must not become the load.
    fn admit(&mut self, level: Level, number: u64) -> (bool, u64) {
        let mut report = 0;
        if number != self.number {
            report = std::mem::take(&mut self.suppressed);
            *self = Second {
                number,
                lines: 0,
                suppressed: 0,
            };
        }
        let admitted = level <= Level::Warn || self.lines < MAX_LINES_PER_SECOND;
        if admitted {
            self.lines += 1;
        } else {
            self.suppressed += 1;
        }
        (admitted, report)
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
        let (admitted, suppressed) = self.second().admit(record.level(), at.as_secs());
        if suppressed > 0 {
            let line =
                json!({ "level": "warn", "message": "lines suppressed", "count": suppressed });
            self.stream.write(&line);
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
        self.stream.write(&Value::Object(fields));
    }

    fn flush(&self) {}
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
