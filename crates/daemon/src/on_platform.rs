//! Runs the daemon on the users' platform.

use std::path::Path;

use anyhow::Context;
use platform::Settings;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;

/// Runs until SIGTERM or SIGINT; SIGHUP rereads the settings file at `path`.
///
/// All work runs on one thread, as an instance has only a fraction of one core.
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

/// Rereads the settings and logs the result. They only take effect at a restart, as all of them
/// are the daemon's location and addresses.
fn reload(path: &Path, running: &Settings) {
    match platform::settings::load(path) {
        Ok(settings) if settings == *running => log::info!("settings reread: unchanged"),
        Ok(_) => log::warn!("settings reread: changed, a restart applies them"),
        Err(error) => log::error!(error:%; "settings reread: invalid, the old ones stay in force"),
    }
}
