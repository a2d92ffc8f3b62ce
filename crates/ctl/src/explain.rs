//! `berylctl explain`: what was decided about one request, and why.

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

/// Largest log that is searched, in bytes.
const MAX_LOG_BYTES: usize = 256 << 20;

/// Message of the line that a daemon writes when it has decided.
const DECIDED: &str = "decided";

/// Message of the line that tells how many others were left out.
const SUPPRESSED: &str = "lines suppressed";

/// Message of the first line of a process.
const STARTED: &str = "started";

/// Messages that tell why a request failed, the one that is nearest to the cause first.
const DECISIVE: [&str; 5] = [
    "outcome unknown beside the target",
    "outcome unknown",
    "request timed out",
    "request refused",
    "request shed",
];

/// Keys of a log line that are told apart from its details.
const HEAD_KEYS: [&str; 6] = [
    "time_ms",
    "level",
    "message",
    "instance",
    "request_id",
    "id",
];

type Fields = Map<String, Value>;

/// One line about the request.
struct Step {
    /// When what it tells began.
    began_us: u64,
    instance: String,
    text: String,
    /// Place in [`DECISIVE`], if any.
    decisive: Option<usize>,
}

pub(crate) fn run(options: &ExplainOptions) -> Result<(), Failure> {
    let wanted = &options.request_id;
    let mut steps = Vec::new();
    let mut suppressed = 0;
    for path in &options.logs {
        let bytes = match read(path) {
            Ok(bytes) => bytes,
            Err(failure) => {
                output::note(&format!("left out: {failure}"));
                continue;
            }
        };
        // A log file of a process that names itself only in its first line.
        let mut name = SmolStr::default();
        for line in String::from_utf8_lossy(&bytes).lines() {
            let Some((before, fields)) = parse(line) else {
                continue;
            };
            match text(&fields, "message") {
                SUPPRESSED => suppressed += number(&fields, "count"),
                STARTED => name = text(&fields, "name").into(),
                _ => {}
            }
            let source = if before.is_empty() { &name } else { before };
            steps.extend(step(&fields, wanted, source));
        }
    }
    if suppressed > 0 {
        output::note(&format!(
            "{suppressed} lines were left out of these logs under load; a decision may be missing"
        ));
    }
    steps.sort_by_key(|step| step.began_us);
    let Some(first_us) = steps.first().map(|step| step.began_us) else {
        let text = format!("no line about {wanted}; daemons log decisions at level debug");
        return Err(Failure::Failed(anyhow!(text)));
    };
    let style = Style::of_stdout();
    let mut told = String::new();
    let decisive = steps.iter().filter_map(|step| step.decisive).min();
    for step in steps {
        let after = millis(step.began_us - first_us);
        let instance = style.bold(&step.instance);
        let mark = if decisive.is_some() && step.decisive == decisive {
            "  <- decisive"
        } else {
            ""
        };
        let _ = writeln!(told, "+{after} ms  {instance}  {}{mark}", step.text);
    }
    output::print(&told)
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

/// Reads one line, with the word before its fields: collectors put the process there.
fn parse(line: &str) -> Option<(&str, Fields)> {
    let start = line.find('{')?;
    let fields = serde_json::from_str(&line[start..]).ok()?;
    let before = line[..start].split_whitespace().next_back();
    Some((before.unwrap_or_default(), fields))
}

/// True if a line is about the request.
fn is_about(fields: &Fields, wanted: &str) -> bool {
    let own = text(fields, "request_id").parse::<RequestId>();
    let is_own = own.is_ok_and(|id| wanted.parse::<RequestId>().is_ok_and(|wanted| id == wanted));
    is_own || text(fields, "id") == wanted
}

/// Reads one log line; `None` if it is not about the request.
fn step(fields: &Fields, wanted: &str, source: &str) -> Option<Step> {
    if !is_about(fields, wanted) {
        return None;
    }
    let took_us = number(fields, "took_us");
    let written_us = number(fields, "time_ms").saturating_mul(1_000);
    Some(Step {
        // The line of the outermost daemon is written last and began first.
        began_us: written_us.saturating_sub(took_us),
        instance: printable(match text(fields, "instance") {
            "" => source,
            instance => instance,
        }),
        text: match text(fields, "message") {
            DECIDED => decision(fields, took_us),
            message => on_platform(message, fields).unwrap_or_else(|| other(message, fields)),
        },
        decisive: DECISIVE
            .iter()
            .position(|message| *message == text(fields, "message")),
    })
}

fn decision(fields: &Fields, took_us: u64) -> String {
    let from = match text(fields, "listener") {
        "callers" => "from a caller",
        "mesh" => "from another daemon",
        "local" => "from its own target",
        _ => return other(DECIDED, fields),
    };
    let status = number(fields, "status");
    let took = millis(took_us);
    let how = match Outcome::parse(text(fields, "outcome")) {
        Some(Outcome::Answered) => "answered".to_owned(),
        Some(Outcome::NotRun) => format!("not run, {}", why(text(fields, "reason"))),
        Some(Outcome::Unknown) => "unknown: bytes may have reached a target".to_owned(),
        None => "without an outcome".to_owned(),
    };
    format!("{from}: {how} (status {status} after {took} ms)")
}

/// Tells what a daemon on the platform decided; `None` for a line of another kind.
fn on_platform(message: &str, fields: &Fields) -> Option<String> {
    let told = |key| printable(&shown(fields, key));
    let back = || format!("may come back after {} ms", told("retry_after_ms"));
    Some(match message {
        "request shed" => format!(
            "{} {}: shed before it began, as {} has {} thousandths of the work that it can run \
             (word of {} ms ago) and {} of {} such requests are under way from here; {}",
            told("route"),
            told("class"),
            told("short_of"),
            told("pressure_thousandths"),
            told("pressure_age_ms"),
            told("under_way"),
            shown(fields, "window")
                .parse::<f64>()
                .map_or_else(|_| told("window"), |window| format!("{window:.1}")),
            back()
        ),
        "request refused" => format!(
            "{} {}: refused after {} ms, {}; {} daemons asked, {} targets reached; {}",
            told("route"),
            told("class"),
            told("held_ms"),
            why(text(fields, "reason")),
            told("asked"),
            told("arrivals"),
            back()
        ),
        "request timed out" => format!(
            "{}: no answer in its time of {} ms; sent last to {}",
            told("route"),
            told("held_ms"),
            told("target_id")
        ),
        "outcome unknown" => format!(
            "{}: may have run in {}: {}",
            told("route"),
            told("target_id"),
            told("why")
        ),
        "outcome unknown beside the target" => {
            format!(
                "{}: no whole answer of the target: {}",
                told("route"),
                told("why")
            )
        }
        _ => return None,
    })
}

/// Says what a reason means.
fn why(reason: &str) -> String {
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
        None => return printable(reason),
    };
    format!("{reason}: {meaning}")
}

/// Tells a line whose message has no words of its own here.
fn other(message: &str, fields: &Fields) -> String {
    let mut told = printable(message);
    let others = fields
        .iter()
        .filter(|(key, _)| !HEAD_KEYS.contains(&key.as_str()));
    for (key, _) in others {
        let _ = write!(
            told,
            "  {}={}",
            printable(key),
            printable(&shown(fields, key))
        );
    }
    told
}

/// A value as text, whatever its type.
fn shown(fields: &Fields, key: &str) -> String {
    let value = fields.get(key);
    let text = value.and_then(Value::as_str).map(str::to_owned);
    text.or_else(|| value.map(Value::to_string))
        .unwrap_or_default()
}

fn text<'a>(fields: &'a Fields, key: &str) -> &'a str {
    fields.get(key).and_then(Value::as_str).unwrap_or_default()
}

fn number(fields: &Fields, key: &str) -> u64 {
    fields.get(key).and_then(Value::as_u64).unwrap_or_default()
}

fn millis(us: u64) -> String {
    format!("{}.{}", us / 1_000, us / 100 % 10)
}
