//! `berylctl status`: the status of daemons as a table or as JSON.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;

use anyhow::anyhow;
use futures_util::future::join_all;
use model::Class;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::cli::StatusOptions;
use crate::failure::Failure;
use crate::http::AdminClient;
use crate::output::{self, Style, printable};

/// Status of a daemon, as its `/status` path returns it.
#[derive(Debug, Deserialize, Serialize)]
struct Status {
    instance: SmolStr,
    service: SmolStr,
    data_centre: SmolStr,
    ready: bool,
    leaving: bool,
    #[serde(default)]
    revision: Option<u64>,
    #[serde(default)]
    limit: u32,
    #[serde(default)]
    in_flight: u32,
    #[serde(default)]
    queued: u32,
    #[serde(default)]
    queue_delay_us: u64,
    #[serde(default)]
    peers: u32,
    /// Number of requests that were not run, by class.
    #[serde(default)]
    shed: BTreeMap<SmolStr, u64>,
}

/// Result of one status request.
#[derive(Debug, Serialize)]
struct StatusResponse {
    admin: SocketAddr,
    #[serde(flatten)]
    result: StatusResult,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "lowercase")]
enum StatusResult {
    Status(Status),
    Error(String),
}

pub(crate) async fn run(options: StatusOptions) -> Result<(), Failure> {
    let client = AdminClient::new();
    let fetches = options
        .admins
        .iter()
        .map(|&admin| fetch_status(&client, admin));
    let mut responses: Vec<StatusResponse> = join_all(fetches).await;
    let sort_key = |response: &StatusResponse| match &response.result {
        StatusResult::Status(s) => (s.data_centre.clone(), s.service.clone(), s.instance.clone()),
        StatusResult::Error(_) => Default::default(),
    };
    responses.sort_by_cached_key(sort_key);
    if let Some(wanted) = &options.data_centre {
        let is_elsewhere = |response: &StatusResponse| match &response.result {
            StatusResult::Status(status) => status.data_centre != *wanted,
            StatusResult::Error(_) => false,
        };
        responses.retain(|response| !is_elsewhere(response));
    }
    if options.json {
        let text = serde_json::to_string_pretty(&responses).map_err(|error| anyhow!(error))?;
        output::print(&(text + "\n"))?;
    } else {
        output::print(&table(&responses, Style::of_stdout()))?;
    }
    let unanswered = responses
        .iter()
        .filter(|r| matches!(r.result, StatusResult::Error(_)))
        .count();
    if unanswered > 0 {
        return Err(anyhow!("{unanswered} of {} daemons did not answer", responses.len()).into());
    }
    Ok(())
}

async fn fetch_status(client: &AdminClient, admin: SocketAddr) -> StatusResponse {
    let body = client.get(admin, "/status").await;
    let status = body.and_then(|body| {
        serde_json::from_slice::<Status>(&body)
            .map_err(|error| anyhow!("the status is not understood: {error}"))
    });
    StatusResponse {
        admin,
        result: match status {
            Ok(status) => StatusResult::Status(status),
            Err(error) => StatusResult::Error(printable(&format!("{error:#}"))),
        },
    }
}

const HEADER: [&str; 11] = [
    "INSTANCE",
    "SERVICE",
    "DATA CENTRE",
    "STATE",
    "REVISION",
    "IN FLIGHT",
    "LIMIT",
    "QUEUED",
    "DELAY MS",
    "PEERS",
    "SHED BULK/BROWSE/STANDARD/CRITICAL",
];

/// Formats the table. Failed requests and revisions other than the newest have the error colour,
/// and the states of daemons that are leaving or not ready have the warning colour.
fn table(responses: &[StatusResponse], style: Style) -> String {
    let statuses: Vec<&Status> = responses
        .iter()
        .filter_map(|response| match &response.result {
            StatusResult::Status(status) => Some(status),
            StatusResult::Error(_) => None,
        })
        .collect();
    let newest_revision = statuses.iter().filter_map(|status| status.revision).max();
    let rows: Vec<[String; 11]> = statuses.iter().map(|status| row_cells(status)).collect();
    let width = |column: usize| {
        let cells = rows.iter().map(|row| row[column].chars().count());
        cells.max().unwrap_or(0).max(HEADER[column].len())
    };
    let widths: Vec<usize> = (0..HEADER.len()).map(width).collect();
    let padded = |cells: &[String]| {
        let cells = cells.iter().zip(&widths);
        let cells: Vec<String> = cells
            .map(|(cell, width)| format!("{cell:<width$}"))
            .collect();
        cells
    };
    let mut text = String::new();
    if !rows.is_empty() {
        let header = padded(&HEADER.map(str::to_owned)).join("  ");
        let _ = writeln!(text, "{}", style.bold(header.trim_end()));
    }
    for (status, row) in statuses.iter().zip(&rows) {
        let mut cells = padded(row);
        if !status.ready || status.leaving {
            cells[3] = style.warning(&cells[3]);
        }
        if status.revision != newest_revision {
            cells[4] = style.error(&cells[4]);
        }
        let _ = writeln!(text, "{}", cells.join("  ").trim_end());
    }
    for response in responses {
        if let StatusResult::Error(error) = &response.result {
            let _ = writeln!(
                text,
                "{}",
                style.error(&format!("{}: {error}", response.admin))
            );
        }
    }
    text
}

fn row_cells(status: &Status) -> [String; 11] {
    let state = match (status.leaving, status.ready) {
        (true, _) => "leaving",
        (false, true) => "ready",
        (false, false) => "not ready",
    };
    let shed = Class::ALL.map(|class| {
        let count = status.shed.get(class.to_string().as_str());
        count.map_or_else(|| "-".to_owned(), u64::to_string)
    });
    [
        printable(&status.instance),
        printable(&status.service),
        printable(&status.data_centre),
        state.to_owned(),
        status
            .revision
            .map_or_else(|| "none".to_owned(), |r| r.to_string()),
        status.in_flight.to_string(),
        status.limit.to_string(),
        status.queued.to_string(),
        format!(
            "{}.{}",
            status.queue_delay_us / 1_000,
            status.queue_delay_us / 100 % 10
        ),
        status.peers.to_string(),
        shed.join("/"),
    ]
}
