//! `berylctl held`: requests that are held back because they crashed targets.

use std::collections::BTreeSet;

use anyhow::anyhow;
use futures_util::future::join_all;

use crate::cli::HeldOptions;
use crate::failure::Failure;
use crate::http::AdminClient;
use crate::output::{self, printable};

/// Lists the requests that any of the daemons holds back, or releases one at the first daemon that
/// holds it back, which tells the others.
pub(crate) async fn run(options: HeldOptions) -> Result<(), Failure> {
    let client = AdminClient::new();
    if let Some(fingerprint) = &options.release {
        let mut failure = anyhow!("no daemon was asked");
        for admin in &options.admins {
            match client.delete(*admin, &format!("/held/{fingerprint}")).await {
                Ok(()) => {
                    let text = format!("{admin} released {fingerprint} and tells the others\n");
                    return output::print(&text);
                }
                Err(error) => failure = error.context(admin.to_string()),
            }
        }
        return Err(failure.into());
    }
    let fetches = options
        .admins
        .iter()
        .map(|admin| client.get(*admin, "/held"));
    let mut held = BTreeSet::new();
    let mut unanswered = 0;
    for (admin, answer) in options.admins.iter().zip(join_all(fetches).await) {
        match answer {
            Ok(body) => held.extend(String::from_utf8_lossy(&body).lines().map(printable)),
            Err(error) => {
                output::note(&printable(&format!("{admin}: {error:#}")));
                unanswered += 1;
            }
        }
    }
    // Daemons may differ in the age of an end, so each request is listed once.
    let mut listed = BTreeSet::new();
    held.retain(|line| listed.insert(line.split(' ').next().unwrap_or_default().to_owned()));
    if held.is_empty() {
        held.insert("no request is held back".to_owned());
    }
    let lines: Vec<String> = held.into_iter().collect();
    output::print(&(lines.join("\n") + "\n"))?;
    if unanswered > 0 {
        let daemons = options.admins.len();
        return Err(anyhow!("{unanswered} of {daemons} daemons did not answer").into());
    }
    Ok(())
}
