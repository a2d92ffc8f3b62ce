//! Stand-ins of the platform, its store, its backends and its clients, which follow the
//! platform's pages, and the start of berylhead daemons as processes.

pub mod backend;
pub mod client;
pub mod daemon;
pub mod fleet;
pub mod record;
pub mod store;
pub mod window;
pub mod wire;

use std::path::PathBuf;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use crate::record::Record;

/// True unless the environment has `TROUBLE=0`, which plays a case without its disruption.
#[must_use]
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Time after which a case is given up.
const LIMIT: Duration = Duration::from_secs(105);
/// The exit status of a case that could not run.
const COULD_NOT_RUN: u8 = 2;

/// Plays a case: the first argument is the path of the record, and `play` returns how often the
/// rule was broken. The exit status is 1 if it was, 0 if not, and 2 if the case could not run.
///
/// # Panics
///
/// If there is no argument.
pub fn run_case(play: fn(&Record) -> Result<usize, String>) -> ExitCode {
    let path = std::env::args().nth(1).map(PathBuf::from);
    let record = Record::create(&path.expect("the first argument is the path of the record"));
    let watched = record.clone();
    thread::spawn(move || {
        thread::sleep(LIMIT);
        watched.say("the case could not run: it took too long");
        daemon::kill_all();
        std::process::exit(i32::from(COULD_NOT_RUN));
    });
    let played = std::panic::catch_unwind(|| play(&record));
    let result = played.unwrap_or_else(|_| Err("a stand-in failed".to_owned()));
    daemon::kill_all();
    match result {
        Ok(0) => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Ok(broken) => {
            record.say(&format!("the rule was broken {broken} times"));
            ExitCode::from(1)
        }
        Err(error) => {
            record.say(&format!("the case could not run: {error}"));
            ExitCode::from(COULD_NOT_RUN)
        }
    }
}
