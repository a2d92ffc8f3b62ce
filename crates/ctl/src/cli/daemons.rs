//! Options of the commands that inspect or call daemons.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long, positional};
use smol_str::SmolStr;

use super::file;

/// Options of `berylctl status`.
#[derive(Clone, Debug)]
pub(crate) struct StatusOptions {
    pub(crate) json: bool,
    pub(crate) data_centre: Option<SmolStr>,
    pub(crate) admins: Vec<SocketAddr>,
}

/// Options of `berylctl held`.
#[derive(Clone, Debug)]
pub(crate) struct HeldOptions {
    /// Fingerprint of a request to release.
    pub(crate) release: Option<SmolStr>,
    pub(crate) admins: Vec<SocketAddr>,
}

/// Options of `berylctl call`.
#[derive(Clone, Debug)]
pub(crate) struct CallOptions {
    pub(crate) key: Option<SmolStr>,
    pub(crate) ticket: Option<SmolStr>,
    pub(crate) deadline_ms: Option<u64>,
    pub(crate) body: Option<PathBuf>,
    pub(crate) json: bool,
    pub(crate) daemon: SocketAddr,
    pub(crate) path: SmolStr,
}

/// Options of `berylctl explain`.
#[derive(Clone, Debug)]
pub(crate) struct ExplainOptions {
    /// As a caller gave it, or as it stands in an answer or a log.
    pub(crate) request_id: SmolStr,
    pub(crate) logs: Vec<PathBuf>,
}

/// Options of `berylctl report`.
#[derive(Clone, Debug)]
pub(crate) struct ReportOptions {
    pub(crate) html: Option<PathBuf>,
    pub(crate) json: Option<PathBuf>,
    pub(crate) histories: Vec<PathBuf>,
    pub(crate) admins: Vec<SocketAddr>,
}

pub(super) fn status() -> OptionParser<StatusOptions> {
    let json = long("json").help("Write JSON instead of a table").switch();
    let data_centre = long("data-centre")
        .help("Show only daemons of this data centre")
        .argument::<String>("NAME")
        .map(SmolStr::from)
        .optional();
    let admins = positional::<SocketAddr>("ADMIN")
        .help("Admin listener of a daemon, as ip:port")
        .some("name at least one admin listener, such as 127.0.0.1:7005");
    construct!(StatusOptions {
        json,
        data_centre,
        admins,
    })
    .to_options()
    .descr("Shows revision, limit, requests in flight, queue and what is shed, by daemon.")
    .footer("Example: berylctl status 10.1.0.4:7005 10.1.0.5:7005")
}

pub(super) fn held() -> OptionParser<HeldOptions> {
    let is_fingerprint = |text: &SmolStr| policy::Fingerprint::parse(text).is_some();
    let release = text_option("release", "FINGERPRINT", "Let this request run again")
        .guard(
            is_fingerprint,
            "not a fingerprint; allowed: 16 hexadecimal digits",
        )
        .optional();
    let admins = positional::<SocketAddr>("ADMIN")
        .help("Metrics address of a daemon on the platform, as ip:port")
        .some("name at least one metrics address, such as 10.1.0.8:7621");
    construct!(HeldOptions { release, admins })
        .to_options()
        .descr(
            "Lists the requests that are held back because they crashed targets, or releases one.",
        )
        .footer("Example: berylctl held --release 00f1a2b3c4d5e6f7 10.1.0.8:7621")
}

pub(super) fn call() -> OptionParser<CallOptions> {
    let key = text_option("key", "KEY", "Idempotency key; sends a POST").optional();
    let ticket = text_option("ticket", "TICKET", "Ticket from an earlier answer").optional();
    let deadline_ms = long("deadline-ms")
        .help("Time in which the answer is of use, in milliseconds")
        .argument::<u64>("MS")
        .guard(
            |ms| (1..=3_600_000).contains(ms),
            "allowed: 1 to 3600000 milliseconds",
        )
        .optional();
    let body = file(
        "body",
        "Send this file as the body of a POST; - for standard input",
    );
    let body = body.optional();
    let json = long("json").help("Write head and body as JSON").switch();
    let daemon = positional::<SocketAddr>("DAEMON").help("Callers listener, as ip:port");
    let path = positional::<String>("PATH")
        .help("SERVICE/OPERATION, with anything that the target takes after it")
        .map(SmolStr::from);
    construct!(CallOptions {
        key,
        ticket,
        deadline_ms,
        body,
        json,
        daemon,
        path,
    })
    .to_options()
    .descr("Sends one call; a ticket that is asked for is fetched and used once.")
    .footer("Example: berylctl call --key outing-17 10.1.0.4:7001 reservas/book")
}

/// Validates a request id, which may come from any caller.
fn request_id(text: &str) -> Result<SmolStr, &'static str> {
    /// Longest accepted id; leaves room for several of 32 digits in a row.
    const MAX_CHARS: usize = 256;

    let is_valid = !text.is_empty()
        && text.len() <= MAX_CHARS
        && text.chars().all(|char| char.is_ascii_graphic());
    if is_valid {
        Ok(text.into())
    } else {
        Err("not a request id; allowed: 1 to 256 printable ASCII characters without spaces")
    }
}

pub(super) fn explain() -> OptionParser<ExplainOptions> {
    let logs = long("log")
        .help("Log of a daemon, as JSON lines; - for standard input")
        .argument::<PathBuf>("FILE")
        .some("name at least one log with --log");
    let request_id = positional::<String>("REQUEST-ID")
        .help("As an answer, a caller or a log tells it")
        .parse(|text| request_id(&text));
    construct!(ExplainOptions { logs, request_id })
        .to_options()
        .descr("Tells why a call was shed, retried or routed as it was.")
        .footer(
            "Example: berylctl explain --log a1.log --log c2.log 0000018f6b2a4c1d9e3f5a7b8c9d0e1f",
        )
}

pub(super) fn report() -> OptionParser<ReportOptions> {
    let html = file("html", "Write one self-contained HTML page to this file").optional();
    let json = file("json", "Write JSON to this file").optional();
    let histories = file("history", "Read a history that was saved from /history").many();
    let admins = positional::<SocketAddr>("ADMIN")
        .help("Admin listener of a daemon, as ip:port")
        .many();
    construct!(ReportOptions {
        html,
        json,
        histories,
        admins,
    })
    .guard(
        |options| !(options.histories.is_empty() && options.admins.is_empty()),
        "name at least one admin listener or --history file",
    )
    .to_options()
    .descr("Burn over 5 min, 1 h, 6 h and 3 d, as far as the daemons remember.")
    .footer("Example: berylctl report --html burn.html 10.1.0.4:7005 10.1.0.5:7005")
}

/// An option with a text value.
fn text_option(name: &'static str, meta: &'static str, help: &'static str) -> impl Parser<SmolStr> {
    let argument = long(name).help(help).argument::<String>(meta);
    argument.map(SmolStr::from)
}
