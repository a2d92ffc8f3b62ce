//! `berylctl report`: goodput and error-budget burn from the histories of daemons.

use std::net::SocketAddr;
use std::path::PathBuf;

use anyhow::anyhow;
use futures_util::future::join_all;
use report::{HistoryExport, Report};

use crate::cli::ReportOptions;
use crate::failure::Failure;
use crate::file;
use crate::http::AdminClient;
use crate::output::{self, printable};

/// Maximum size of a saved history file, in bytes.
const MAX_HISTORY_BYTES: usize = 64 << 20;

pub(crate) async fn run(options: ReportOptions) -> Result<(), Failure> {
    let saved = read_saved(&options.histories)?;
    let report = build_report(&options.admins, saved).await;
    if let Some(path) = &options.html {
        file::write(path, report.to_html().as_bytes())?;
    }
    if let Some(path) = &options.json {
        file::write(path, (report.to_json() + "\n").as_bytes())?;
    }
    output::print(&report.to_text())?;
    if report.daemons == 0 {
        return Err(anyhow!("no daemon could be read").into());
    }
    Ok(())
}

/// Fetches the histories of these daemons and builds a report from them.
pub(crate) async fn fetch(admins: &[SocketAddr]) -> Report {
    build_report(admins, Vec::new()).await
}

/// Builds a report from saved histories and those fetched from `admins`; daemons that fail to
/// answer are listed in it as unread.
async fn build_report(admins: &[SocketAddr], mut histories: Vec<HistoryExport>) -> Report {
    let client = AdminClient::new();
    let fetches = admins.iter().map(|&admin| fetch_history(&client, admin));
    let mut unread = Vec::new();
    for result in join_all(fetches).await {
        match result {
            Ok(history) => histories.push(history),
            Err(error) => unread.push(printable(&format!("{error:#}"))),
        }
    }
    Report::build(&histories, unread)
}

async fn fetch_history(client: &AdminClient, admin: SocketAddr) -> anyhow::Result<HistoryExport> {
    let fetch = async {
        let body = client.get(admin, "/history").await?;
        serde_json::from_slice(&body).map_err(|error| anyhow!("history not understood: {error}"))
    };
    let history: anyhow::Result<HistoryExport> = fetch.await;
    history.map_err(|error| anyhow!("{admin}: {error:#}"))
}

fn read_saved(paths: &[PathBuf]) -> Result<Vec<HistoryExport>, Failure> {
    let read = |path: &PathBuf| {
        let bytes = file::read(path, MAX_HISTORY_BYTES)?;
        serde_json::from_slice(&bytes).map_err(|error| {
            let name = printable(&path.display().to_string());
            Failure::bad_input(anyhow!("{name}: not the history of a daemon: {error}"))
        })
    };
    paths.iter().map(read).collect()
}
