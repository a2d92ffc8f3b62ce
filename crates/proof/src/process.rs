//! A daemon process, its signals and its log.

use std::net::SocketAddr;
use std::path::Path;
use std::process::{ExitStatus, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use anyhow::{Context, anyhow};
use derive_more::Display;
use serde::Deserialize;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, ChildStderr, Command};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::wait::{CAP, POLL_INTERVAL};

/// Addresses that a daemon bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct Bound {
    /// For callers outside the fleet.
    pub callers: SocketAddr,
    /// For other daemons.
    pub mesh: SocketAddr,
    /// For its own target's calls.
    pub local: SocketAddr,
    /// For control messages.
    pub control: SocketAddr,
    /// For metrics, status and readiness.
    pub admin: SocketAddr,
}

/// A signal to a process.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Signal {
    /// Asks for a graceful stop.
    #[display("TERM")]
    Terminate,
    /// Asks for a stop from the terminal.
    #[display("INT")]
    Interrupt,
    /// Ends it at once.
    #[display("KILL")]
    Kill,
    /// Freezes it.
    #[display("STOP")]
    Stop,
    /// Resumes it.
    #[display("CONT")]
    Continue,
}

/// A running daemon; killed when dropped.
#[derive(Debug)]
pub struct DaemonProcess {
    child: Child,
    pid: u32,
    bound: Bound,
    log: Log,
    collecting: JoinHandle<()>,
}

#[derive(Clone, Debug, Default)]
struct Log {
    lines: Arc<Mutex<Vec<String>>>,
}

impl Log {
    fn lock(&self) -> MutexGuard<'_, Vec<String>> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl DaemonProcess {
    /// Starts a daemon and waits until it says where it listens.
    ///
    /// # Errors
    ///
    /// If it does not start, or ends before it listens.
    pub async fn start(program: &Path, settings: &Path) -> anyhow::Result<Self> {
        let mut child = Command::new(program)
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("starting {}", program.display()))?;
        let pid = child.id().context("the daemon ended at once")?;
        let stderr = child.stderr.take().context("its log is not piped")?;
        let log = Log::default();
        let (tx, mut rx) = watch::channel(None);
        let collecting = tokio::spawn(collect(stderr, log.clone(), tx));
        let listening = rx.wait_for(Option::is_some);
        let bound = match tokio::time::timeout(CAP, listening).await {
            Ok(Ok(bound)) => bound.context("no addresses")?,
            Ok(Err(_)) => return Err(anyhow!("ended before it listened: {:?}", log.lock())),
            Err(_) => return Err(anyhow!("does not listen: {:?}", log.lock())),
        };
        Ok(DaemonProcess {
            child,
            pid,
            bound,
            log,
            collecting,
        })
    }

    /// Addresses that it bound.
    #[must_use]
    pub fn bound(&self) -> Bound {
        self.bound
    }

    /// Its process id.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.pid
    }

    /// The lines that it logged so far.
    #[must_use]
    pub fn log(&self) -> Vec<String> {
        self.log.lock().clone()
    }

    /// True if it logged a line that contains the text.
    #[must_use]
    pub fn logged(&self, text: &str) -> bool {
        self.log.lock().iter().any(|line| line.contains(text))
    }

    /// Sends a signal to this process alone. Returns after [`Signal::Stop`] once no thread of it
    /// runs any more, which takes a while on a busy machine.
    ///
    /// # Panics
    ///
    /// If the signal cannot be sent, such as after the process was waited for, or if the process
    /// has not stopped within [`CAP`].
    pub async fn signal(&self, signal: Signal) {
        let sent = Command::new("/bin/kill")
            .arg(format!("-{signal}"))
            .arg(self.pid.to_string())
            .status()
            .await;
        assert!(sent.is_ok_and(|status| status.success()), "SIG{signal}");
        if signal == Signal::Stop {
            let stopped = tokio::time::timeout(CAP, async {
                while !self.is_halted() {
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
            });
            assert!(stopped.await.is_ok(), "it does not stop");
        }
    }

    /// True if no thread can run: each is stopped by a signal or has ended.
    fn is_halted(&self) -> bool {
        let Ok(threads) = std::fs::read_dir(format!("/proc/{}/task", self.pid)) else {
            return true;
        };
        threads.flatten().all(|thread| {
            let status = std::fs::read_to_string(thread.path().join("status"));
            let is_halted = |state: &str| status.as_ref().is_ok_and(|text| text.contains(state));
            status.is_err()
                || ["State:\tT", "State:\tZ", "State:\tX"]
                    .into_iter()
                    .any(is_halted)
        })
    }

    /// Waits until it has ended and its last line is read.
    ///
    /// # Errors
    ///
    /// If it has not ended within [`CAP`].
    pub async fn ended(&mut self) -> anyhow::Result<ExitStatus> {
        let status = tokio::time::timeout(CAP, self.child.wait()).await;
        let status = status.context("does not end")??;
        let rest = tokio::time::timeout(CAP, until_finished(&self.collecting)).await;
        rest.context("its log does not end")?;
        Ok(status)
    }

    /// True if it has not ended.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_none())
    }

    /// Resident memory in bytes.
    ///
    /// # Errors
    ///
    /// If the process has ended.
    pub fn resident_bytes(&self) -> anyhow::Result<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.and_then(|rest| rest.trim().strip_suffix(" kB"));
        Ok(kib.context("no VmRSS")?.trim().parse::<u64>()? * 1024)
    }
}

async fn until_finished(task: &JoinHandle<()>) {
    while !task.is_finished() {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Keeps the log, and tells the addresses when they come.
async fn collect(stderr: ChildStderr, log: Log, tx: watch::Sender<Option<Bound>>) {
    let mut lines = BufReader::new(stderr).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        if line.contains(r#""message":"listening""#)
            && let Ok(bound) = serde_json::from_str(&line)
        {
            tx.send_replace(Some(bound));
        }
        log.lock().push(line);
    }
}
