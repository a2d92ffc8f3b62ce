//! The daemon on the users' platform.

use anyhow::Context;
use platform::Settings;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;

/// Runs until the process is told to stop.
///
/// One thread does all work: the instances have a fraction of one core.
///
/// # Errors
///
/// If the daemon can't listen on its addresses or install its signal handlers.
pub fn run(settings: Settings) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot start the runtime")?;
    let local = LocalSet::new();
    local.block_on(&runtime, async {
        let mut term = signal(SignalKind::terminate())?;
        let mut int = signal(SignalKind::interrupt())?;
        let mut hup = signal(SignalKind::hangup())?;
        tokio::task::spawn_local(async move {
            while hup.recv().await.is_some() {
                log::info!("hang-up received");
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
