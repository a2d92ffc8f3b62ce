//! The command line of the daemon.

use std::fmt::Display;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::Context;
use bpaf::{OptionParser, Parser, construct, long};
use daemon::logging::{self, Stream};
use daemon::{Settings, on_platform};
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for invalid settings.
const EXIT_BAD_INPUT: u8 = 2;

#[derive(Clone, Debug)]
struct Options {
    mode: Mode,
    check: bool,
}

#[derive(Clone, Debug)]
enum Mode {
    /// Runs with the daemon's own settings file.
    Settings(PathBuf),
    /// Runs with the settings file that the users' platform provides.
    Platform,
}

fn options() -> OptionParser<Options> {
    let settings = long("settings")
        .help("Settings of this daemon, an INI file")
        .argument::<PathBuf>("FILE.ini")
        .map(Mode::Settings);
    let platform = long("platform")
        .help("Run on the users' platform; BERYLHEAD_SETTINGS names the settings file")
        .req_flag(Mode::Platform);
    let mode = construct!([settings, platform]);
    let check = long("check")
        .help("Only check the settings, then exit: 0 if they are right, 2 if not")
        .switch();
    construct!(Options { mode, check })
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("The berylhead daemon: overload control beside one target instance")
        .footer(
            "Example: berylhead --settings reservas-a1.ini\nSIGTERM or SIGINT stops it gracefully.",
        )
}

fn main() -> ExitCode {
    let options = options().run();
    let result = match &options.mode {
        Mode::Settings(path) => run(path, options.check),
        Mode::Platform => run_on_platform(options.check),
    };
    log::logger().flush();
    match result {
        Ok(code) => code,
        Err(error) => {
            eprintln!("berylhead: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Returns the settings to run with, or the exit code if they are invalid or were only to be
/// checked.
fn settings_or_exit_code<T, E: Display>(
    loaded: Result<T, E>,
    path: &Path,
    check: bool,
) -> Result<T, ExitCode> {
    match loaded {
        Err(error) => {
            eprintln!("{error}");
            Err(ExitCode::from(EXIT_BAD_INPUT))
        }
        Ok(_) if check => {
            println!("{}: ok", path.display());
            Err(ExitCode::SUCCESS)
        }
        Ok(settings) => Ok(settings),
    }
}

fn run_on_platform(check: bool) -> anyhow::Result<ExitCode> {
    let variable = platform::settings::PATH_VARIABLE;
    let Some(path) = std::env::var_os(variable).map(PathBuf::from) else {
        eprintln!("{variable} is not set; it names the settings file");
        return Ok(ExitCode::from(EXIT_BAD_INPUT));
    };
    let settings = match settings_or_exit_code(platform::settings::load(&path), &path, check) {
        Ok(settings) => settings,
        Err(code) => return Ok(code),
    };
    logging::install(log::LevelFilter::Info, Stream::Stdout);
    on_platform::run(settings, &path)?;
    Ok(ExitCode::SUCCESS)
}

fn run(path: &Path, check: bool) -> anyhow::Result<ExitCode> {
    let settings = match settings_or_exit_code(Settings::load(path), path, check) {
        Ok(settings) => settings,
        Err(code) => return Ok(code),
    };
    logging::install(settings.log_level, Stream::Stderr);
    let (tx, rx) = tokio::sync::oneshot::channel();
    let daemon = daemon::start(settings, async {
        let _ = rx.await;
    })?;
    wait_for_signal(tx)?;
    daemon.join();
    Ok(ExitCode::SUCCESS)
}

/// Waits for the first signal, which starts the graceful stop, and returns. A second signal
/// ends the process at once.
fn wait_for_signal(stop: tokio::sync::oneshot::Sender<()>) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot start the signal handler")?;
    let (mut term, mut int) = {
        let _guard = runtime.enter();
        (
            signal(SignalKind::terminate())?,
            signal(SignalKind::interrupt())?,
        )
    };
    runtime.block_on(async {
        tokio::select! { _ = term.recv() => {}, _ = int.recv() => {} }
    });
    log::info!("signal received, stopping gracefully");
    let _ = stop.send(());
    std::thread::spawn(move || {
        runtime.block_on(async {
            tokio::select! { _ = term.recv() => {}, _ = int.recv() => {} }
        });
        log::warn!("second signal, stopping at once");
        log::logger().flush();
        std::process::exit(1);
    });
    Ok(())
}
