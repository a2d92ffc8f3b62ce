//! `berylctl call`: sends one call through the `client` crate, as callers do.

use std::io::{IsTerminal, Read};
use std::time::Duration;

use anyhow::{Context, anyhow};
use bytes::Bytes;
use client::{Call, Client, ClientConfig, Head, Reply};
use http::{HeaderMap, HeaderName, StatusCode};
use model::RefusalReason;
use serde_json::json;
use wire::header;

use crate::cli::CallOptions;
use crate::failure::Failure;
use crate::file;
use crate::output::{self, printable};

/// Maximum size of a request or response body, in bytes; standard input is cut off there.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Deadline of a call for which the operator gives none.
const DEFAULT_DEADLINE: Duration = Duration::from_mins(1);

pub(crate) async fn run(options: CallOptions) -> Result<(), Failure> {
    let call = build_call(&options)?;
    let cfg = ClientConfig {
        deadline: DEFAULT_DEADLINE,
        // No retries, so that the operator sees a refusal.
        max_sends: 1,
        max_answer_bytes: MAX_BODY_BYTES,
        ..ClientConfig::default()
    };
    let client = Client::new([options.daemon], cfg);
    let reply = client.call_with_head(&call).await;
    let (reply, head) = reply.map_err(Failure::bad_input)?;
    let ticket = client.ticket(&call);
    print_reply(&options, &reply, head.as_ref(), ticket.as_deref())?;
    match advice(&options, &reply, head.as_ref()) {
        None => Ok(()),
        Some(advice) => Err(Failure::Failed(anyhow!(advice))),
    }
}

/// Builds the call from the path and the options.
fn build_call(options: &CallOptions) -> Result<Call, Failure> {
    let path = options.path.trim_start_matches('/');
    let (service, rest) = path.split_once('/').unwrap_or((path, ""));
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (operation, rest) = rest.split_at(end);
    if service.is_empty() || operation.is_empty() {
        let error = anyhow!("{}: not SERVICE/OPERATION", printable(path));
        return Err(Failure::bad_input(error));
    }
    let mut call = Call::new(service, operation).path_suffix(rest);
    match (&options.key, &options.body) {
        (None, None) => call = call.get(),
        (Some(key), _) => call = call.once(key.clone()),
        (None, Some(_)) => {}
    }
    if let Some(ticket) = &options.ticket {
        call = call.ticket(ticket.clone());
    }
    if let Some(deadline_ms) = options.deadline_ms {
        call = call.deadline(Duration::from_millis(deadline_ms));
    }
    Ok(call.body(read_body(options)?))
}

/// Reads the request body from a file or standard input; empty if none is given.
fn read_body(options: &CallOptions) -> Result<Bytes, Failure> {
    let Some(path) = &options.body else {
        return Ok(Bytes::new());
    };
    if path.as_os_str() != "-" {
        return Ok(file::read(path, MAX_BODY_BYTES)?.into());
    }
    let mut bytes = Vec::new();
    let limit = u64::try_from(MAX_BODY_BYTES).unwrap_or(u64::MAX);
    let read = std::io::stdin().lock().take(limit).read_to_end(&mut bytes);
    read.context("standard input")?;
    Ok(bytes.into())
}

/// Prints status and metadata to standard error and the body to standard output, or all of them
/// as JSON to standard output.
fn print_reply(
    options: &CallOptions,
    reply: &Reply,
    head: Option<&Head>,
    ticket: Option<&str>,
) -> Result<(), Failure> {
    let (status, headers, body) = match reply {
        Reply::Answered {
            status,
            headers,
            body,
        } => (Some(*status), Some(headers), body.clone()),
        Reply::NotRun { .. } | Reply::Unknown => (
            head.map(|head| head.status),
            head.map(|head| &head.headers),
            Bytes::new(),
        ),
    };
    let status = status.as_ref().map(StatusCode::as_u16);
    let header_value = |name: HeaderName| headers.and_then(|headers| header_text(headers, &name));
    let reason = match reply {
        Reply::NotRun { refusal } => Some(refusal.reason.to_string()),
        Reply::Answered { .. } | Reply::Unknown => header_value(header::REASON),
    };
    let metadata = [
        ("outcome", Some(reply.outcome().to_string())),
        ("reason", reason),
        ("instance", header_value(header::INSTANCE)),
        ("request_id", header_value(header::REQUEST_ID)),
        ("retry_after_ms", header_value(header::RETRY_AFTER_MS)),
        ("ticket", ticket.map(printable)),
    ];
    if options.json {
        let mut value = json!({
            "status": status,
            "body": String::from_utf8_lossy(&body),
        });
        for (name, text) in metadata {
            value[name] = json!(text);
        }
        return output::print(&format!("{value:#}\n"));
    }
    if let Some(status) = status {
        output::note(&format!("status: {status}"));
    }
    for (name, text) in metadata {
        if let Some(text) = text {
            output::note(&format!("{name}: {text}"));
        }
    }
    if std::io::stdout().is_terminal() {
        output::print(&String::from_utf8_lossy(&body))
    } else {
        output::print_bytes(&body)
    }
}

/// Returns a header's value with control characters escaped.
fn header_text(headers: &HeaderMap, name: &HeaderName) -> Option<String> {
    let value = headers.get(name)?;
    Some(printable(&String::from_utf8_lossy(value.as_bytes())))
}

/// Explains a reply that isn't a success and what may be done next; `None` for a success.
fn advice(options: &CallOptions, reply: &Reply, head: Option<&Head>) -> Option<String> {
    let lacks_outcome = |head: &Head| !head.headers.contains_key(header::OUTCOME);
    match reply {
        Reply::Answered { status, .. } if status.is_success() => None,
        Reply::Answered { status, .. } => Some(format!(
            "the target itself answered with status {}",
            status.as_u16()
        )),
        Reply::NotRun { .. } if head.is_none() => Some(format!(
            "{} could not be reached; nothing was run",
            options.daemon
        )),
        Reply::NotRun { refusal } if refusal.reason == RefusalReason::Invalid => {
            Some("the call was not run, and will not be until it is corrected".to_owned())
        }
        Reply::NotRun { .. } => {
            Some("the call was not run; it is safe to send it again".to_owned())
        }
        Reply::Unknown if head.is_some_and(lacks_outcome) => {
            Some("the answer says no outcome: is this the callers listener of a daemon?".to_owned())
        }
        Reply::Unknown => Some(
            "it is not known whether the call ran; a non-repeatable call must not be sent again \
             under another key"
                .to_owned(),
        ),
    }
}
