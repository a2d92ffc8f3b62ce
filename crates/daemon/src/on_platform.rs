//! The daemon on the users' platform.

use std::path::Path;

use anyhow::Context;
use platform::Settings;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;

/// Runs until the process is told to stop; `path` is where the settings were read.
///
/// One thread does all work: the instances have a fraction of one core.
///
/// # Errors
///
/// If the daemon can't listen on its addresses or install its signal handlers.
pub fn run(settings: Settings, path: &Path) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot start the runtime")?;
    let local = LocalSet::new();
    local.block_on(&runtime, async {
        let mut term = signal(SignalKind::terminate())?;
        let mut int = signal(SignalKind::interrupt())?;
        let mut hup = signal(SignalKind::hangup())?;
        let running = settings.clone();
        let path = path.to_owned();
        tokio::task::spawn_local(async move {
            while hup.recv().await.is_some() {
                reload(&path, &running);
            }
        });
        let stop = async move {
            tokio::select! { _ = term.recv() => {}, _ = int.recv() => {} }
        };
        let source = platform::source(settings.store);
        relay::run(settings.daemon, platform::headers::names(), source, stop).await?;
        Ok(())
    })
}

/// Reads the settings again and tells what follows. All of them say where the daemon is and
/// listens, so others are taken over when the process is started again.
fn reload(path: &Path, running: &Settings) {
    match platform::settings::load(path) {
        Ok(settings) if settings == *running => log::info!("settings read again: unchanged"),
        Ok(_) => log::warn!("settings read again: changed, in force from the next start"),
        Err(error) => log::error!(error:%; "settings read again: refused, the old ones hold"),
    }
}
