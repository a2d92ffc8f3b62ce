//! `berylctl explain`: finds the decisions about one request, and their reasons, in daemon logs.

use std::fmt::Write;
use std::io::Read;
use std::path::Path;

use anyhow::{Context, anyhow};
use model::{Outcome, RefusalReason, RequestId};
use serde_json::{Map, Value};
use smol_str::SmolStr;

use crate::cli::ExplainOptions;
use crate::failure::Failure;
use crate::file;
use crate::output::{self, Style, printable};

/// Maximum size of a log, in bytes: larger files are left out, standard input is cut off there.
const MAX_LOG_BYTES: usize = 256 << 20;

/// Message of the line that a daemon of the `daemon` crate logs for each decision.
const DECIDED: &str = "decided";

/// Message of the line with the number of lines that were suppressed under load.
const SUPPRESSED: &str = "lines suppressed";

/// Message of the first line that a process logs.
const STARTED: &str = "started";

/// Messages of the `relay` crate about the failure of a request, ordered from the one nearest to
/// the cause.
const FAILURES: [&str; 8] = [
    "request held back",
    "outcome unknown beside the target",
    "outcome unknown",
    "request timed out",
    "request answered before the exit",
    "request refused before the exit",
    "request refused",
    "request shed",
];

/// Keys that are not repeated in the details of a line.
const HEAD_KEYS: [&str; 6] = [
    "time_ms",
    "level",
    "message",
    "instance",
    "request_id",
    "id",
];

type Fields = Map<String, Value>;

/// A log line about the request.
struct LogEvent {
    /// Time of the line less the duration of the work that it is about, in microseconds.
    began_us: u64,
    instance: String,
    text: String,
    /// Index of the message in [`FAILURES`], if it is one of them.
    failure_rank: Option<usize>,
}

pub(crate) fn run(options: &ExplainOptions) -> Result<(), Failure> {
    let wanted = &options.request_id;
    let mut events = Vec::new();
    let mut suppressed = 0;
    for path in &options.logs {
        let bytes = match read(path) {
            Ok(bytes) => bytes,
            Err(failure) => {
                output::note(&format!("left out: {failure}"));
                continue;
            }
        };
        // In a process's own log file, only the first line has the name of the process.
        let mut process_name = SmolStr::default();
        for line in String::from_utf8_lossy(&bytes).lines() {
            let Some((prefix, fields)) = parse_line(line) else {
                continue;
            };
            match string_field(&fields, "message") {
                SUPPRESSED => suppressed += integer_field(&fields, "count"),
                STARTED => process_name = string_field(&fields, "name").into(),
                _ => {}
            }
            let source = if prefix.is_empty() {
                &process_name
            } else {
                prefix
            };
            events.extend(parse_event(&fields, wanted, source));
        }
    }
    if suppressed > 0 {
        output::note(&format!(
            "{suppressed} lines were left out of these logs under load; a decision may be missing"
        ));
    }
    events.sort_by_key(|event| event.began_us);
    let Some(first_us) = events.first().map(|event| event.began_us) else {
        let text = format!("no line about {wanted}; daemons log decisions at level debug");
        return Err(Failure::Failed(anyhow!(text)));
    };
    let style = Style::of_stdout();
    let mut report = String::new();
    let decisive_rank = events.iter().filter_map(|event| event.failure_rank).min();
    for event in events {
        let after = format_millis(event.began_us - first_us);
        let instance = style.bold(&event.instance);
        let mark = if decisive_rank.is_some() && event.failure_rank == decisive_rank {
            "  <- decisive"
        } else {
            ""
        };
        let _ = writeln!(report, "+{after} ms  {instance}  {}{mark}", event.text);
    }
    output::print(&report)
}

fn read(path: &Path) -> Result<Vec<u8>, Failure> {
    if path.as_os_str() != "-" {
        return file::read(path, MAX_LOG_BYTES);
    }
    let mut bytes = Vec::new();
    let limit = u64::try_from(MAX_LOG_BYTES).unwrap_or(u64::MAX);
    let read = std::io::stdin().lock().take(limit).read_to_end(&mut bytes);
    read.context("standard input")?;
    Ok(bytes)
}

/// Parses a line into the last word before its JSON object and the object's fields.
///
/// Log collectors put the name of the process before the object; the word is empty without one.
fn parse_line(line: &str) -> Option<(&str, Fields)> {
    let start = line.find('{')?;
    let fields = serde_json::from_str(&line[start..]).ok()?;
    let prefix = line[..start].split_whitespace().next_back();
    Some((prefix.unwrap_or_default(), fields))
}

/// Returns true if a line has the wanted id: the same [`RequestId`] in `request_id` or the same
/// text in `id`.
fn is_about(fields: &Fields, wanted: &str) -> bool {
    let logged = string_field(fields, "request_id").parse::<RequestId>();
    let has_request_id =
        logged.is_ok_and(|id| wanted.parse::<RequestId>().is_ok_and(|wanted| id == wanted));
    has_request_id || string_field(fields, "id") == wanted
}

/// Converts a log line to an event; `None` if it is not about the request.
fn parse_event(fields: &Fields, wanted: &str, source: &str) -> Option<LogEvent> {
    if !is_about(fields, wanted) {
        return None;
    }
    let took_us = integer_field(fields, "took_us");
    let written_us = integer_field(fields, "time_ms").saturating_mul(1_000);
    Some(LogEvent {
        // The line is written at the end of the work, so the outermost daemon, which began first,
        // logs last.
        began_us: written_us.saturating_sub(took_us),
        instance: printable(match string_field(fields, "instance") {
            "" => source,
            instance => instance,
        }),
        text: match string_field(fields, "message") {
            DECIDED => describe_decision(fields, took_us),
            message => describe_platform_event(message, fields)
                .unwrap_or_else(|| describe_other(message, fields)),
        },
        failure_rank: FAILURES
            .iter()
            .position(|message| *message == string_field(fields, "message")),
    })
}

/// Describes a decision with its outcome, status and duration.
fn describe_decision(fields: &Fields, took_us: u64) -> String {
    let from = match string_field(fields, "listener") {
        "callers" => "from a caller",
        "mesh" => "from another daemon",
        "local" => "from its own target",
        _ => return describe_other(DECIDED, fields),
    };
    let status = integer_field(fields, "status");
    let took = format_millis(took_us);
    let result = match Outcome::parse(string_field(fields, "outcome")) {
        Some(Outcome::Answered) => "answered".to_owned(),
        Some(Outcome::NotRun) => format!(
            "not run, {}",
            describe_reason(string_field(fields, "reason"))
        ),
        Some(Outcome::Unknown) => "unknown: bytes may have reached a target".to_owned(),
        None => "without an outcome".to_owned(),
    };
    format!("{from}: {result} (status {status} after {took} ms)")
}

/// Describes a decision of a daemon on the platform, which the `relay` crate runs; `None` for other
/// messages.
fn describe_platform_event(message: &str, fields: &Fields) -> Option<String> {
    let field = |key| printable(&value_text(fields, key));
    let retry_hint = || format!("may come back after {} ms", field("retry_after_ms"));
    Some(match message {
        "request shed" => format!(
            "{} {}: shed before it began, as {} has {} thousandths of the work that it can run \
             (word of {} ms ago) and {} of {} such requests are under way from here; {}",
            field("route"),
            field("class"),
            field("short_of"),
            field("pressure_thousandths"),
            field("pressure_age_ms"),
            field("under_way"),
            value_text(fields, "window")
                .parse::<f64>()
                .map_or_else(|_| field("window"), |window| format!("{window:.1}")),
            retry_hint()
        ),
        "request refused" => format!(
            "{} {}: refused after {} ms, {}; {} daemons asked, {} targets reached; {}",
            field("route"),
            field("class"),
            field("held_ms"),
            describe_reason(string_field(fields, "reason")),
            field("asked"),
            field("arrivals"),
            retry_hint()
        ),
        "request held back" => format!(
            "{}: not sent{}, as {}; may come back after {} ms",
            field("route"),
            if string_field(fields, "may_have_run") == "true" {
                " again"
            } else {
                ""
            },
            field("held"),
            field("retry_after_ms")
        ),
        "request refused before the exit" => format!(
            "{}: refused by a daemon that stops after {} ms, {}; {}",
            field("route"),
            field("held_ms"),
            if string_field(fields, "is_whole") == "true" {
                "as its run might outlast the daemon"
            } else {
                "before its body had ended"
            },
            retry_hint()
        ),
        "request answered before the exit" => format!(
            "{}: the daemon stopped after {} ms, {}",
            field("route"),
            field("held_ms"),
            if string_field(fields, "was_sent") == "true" {
                "and it may have run"
            } else {
                "and it was not sent"
            }
        ),
        "request timed out" => format!(
            "{}: no answer in its time of {} ms; sent last to {}",
            field("route"),
            field("held_ms"),
            field("target_id")
        ),
        "outcome unknown" => format!(
            "{}: may have run in {}: {}",
            field("route"),
            field("target_id"),
            field("why")
        ),
        "outcome unknown beside the target" => {
            format!(
                "{}: no whole answer of the target: {}",
                field("route"),
                field("why")
            )
        }
        _ => return None,
    })
}

/// Returns a refusal reason with its meaning.
fn describe_reason(reason: &str) -> String {
    let meaning = match RefusalReason::parse(reason) {
        Some(RefusalReason::Overloaded) => "more important work fills the slots and the queue",
        Some(RefusalReason::Evicted) => "a more important arrival took its place in the queue",
        Some(RefusalReason::Deadline) => "the time left is shorter than the work usually takes",
        Some(RefusalReason::Leaving) => "the instance takes no new work",
        Some(RefusalReason::NoInstance) => "no instance of the service could take it",
        Some(RefusalReason::NotReady) => "the daemon holds no configuration yet",
        Some(RefusalReason::TicketRequired) => "it was given a ticket to send it again with",
        Some(RefusalReason::TicketForeign) => "its ticket is another daemon's, or expired unused",
        Some(RefusalReason::Invalid) => "it is malformed or names an unknown operation",
        Some(RefusalReason::Cancelled) => "its caller left or its deadline passed while it waited",
        Some(RefusalReason::HeldBack) => "it crashed the targets that ran it",
        None => return printable(reason),
    };
    format!("{reason}: {meaning}")
}

/// Formats any other line as its message followed by `key=value` pairs.
fn describe_other(message: &str, fields: &Fields) -> String {
    let mut details = printable(message);
    let others = fields
        .iter()
        .filter(|(key, _)| !HEAD_KEYS.contains(&key.as_str()));
    for (key, _) in others {
        let _ = write!(
            details,
            "  {}={}",
            printable(key),
            printable(&value_text(fields, key))
        );
    }
    details
}

/// Returns a field of any type as text; empty if it is missing.
fn value_text(fields: &Fields, key: &str) -> String {
    let value = fields.get(key);
    let text = value.and_then(Value::as_str).map(str::to_owned);
    text.or_else(|| value.map(Value::to_string))
        .unwrap_or_default()
}

/// Returns a string field; empty if it is missing or of another type.
fn string_field<'a>(fields: &'a Fields, key: &str) -> &'a str {
    fields.get(key).and_then(Value::as_str).unwrap_or_default()
}

/// Returns an integer field; 0 if it is missing or of another type.
fn integer_field(fields: &Fields, key: &str) -> u64 {
    fields.get(key).and_then(Value::as_u64).unwrap_or_default()
}

/// Formats microseconds as milliseconds with one decimal, rounded down.
fn format_millis(us: u64) -> String {
    format!("{}.{}", us / 1_000, us / 100 % 10)
}
