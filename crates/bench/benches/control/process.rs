//! One daemon process, and what it has used.

use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use serde_json::Value;
use standin::{Caller, ListedInstance, ListedState};

use crate::layout::Place;

const START_LIMIT: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(20);
/// Ticks of a processor's second in `/proc/PID/stat`, the same on all Linux platforms.
const TICKS_PER_SECOND: f64 = 100.0;

/// A running daemon; killed when dropped.
#[derive(Debug)]
pub(crate) struct Daemon {
    child: Child,
    log: PathBuf,
    pub(crate) listed: ListedInstance,
    admin: SocketAddr,
}

/// What a daemon has used since its start.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Used {
    pub(crate) cpu_s: f64,
    pub(crate) resident_mb: f64,
    /// Control frames, the greater one of the two directions.
    pub(crate) control_bytes: f64,
    /// Control messages sent.
    pub(crate) messages: f64,
    pub(crate) document_reads: f64,
    pub(crate) list_reads: f64,
    pub(crate) platform_bytes: f64,
}

impl Daemon {
    /// Starts a daemon; it does not listen yet when this returns.
    pub(crate) fn spawn(dir: &Path, place: &Place, settings: &str) -> anyhow::Result<Started> {
        let file = dir.join(format!("{}.ini", place.id));
        let log = dir.join(format!("{}.log", place.id));
        fs::write(&file, settings)?;
        let child = Command::new(env!("CARGO_BIN_EXE_daemon-under-bench"))
            .arg("--settings")
            .arg(file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(&log)?)
            .spawn()?;
        Ok(Started(Some((child, log, place.clone()))))
    }

    /// True once a revision is in force here.
    pub(crate) fn is_at(&self, revision: u64) -> bool {
        let text = format!("revision {revision} is in force");
        fs::read_to_string(&self.log).is_ok_and(|log| log.contains(&text))
    }

    /// What it has used since its start.
    pub(crate) async fn used(&self, caller: &Caller) -> anyhow::Result<Used> {
        let pid = self.child.id();
        let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
        // The name in parentheses may hold blanks.
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split(' ').collect();
        let ticks = |at: usize| fields.get(at).and_then(|t| t.parse::<f64>().ok());
        let (user, system) = (ticks(12).context("utime")?, ticks(13).context("stime")?);
        let url = format!("http://{}/metrics", self.admin);
        let (_, body) = caller.get(&url).await?;
        let text = String::from_utf8(body.to_vec())?;
        let metric = |name: &str| {
            let full = format!("berylhead_{name}_total");
            let line = text.lines().find(|line| line.starts_with(&full));
            let value = line.and_then(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
            value.unwrap_or(0.0)
        };
        Ok(Used {
            cpu_s: (user + system) / TICKS_PER_SECOND,
            resident_mb: resident_mb(pid)?,
            control_bytes: metric("control_bytes_sent").max(metric("control_bytes_received")),
            messages: metric("control_messages_sent"),
            document_reads: metric("document_reads"),
            list_reads: metric("instances_reads"),
            platform_bytes: metric("platform_bytes"),
        })
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        end(&mut self.child);
    }
}

/// A daemon that may not listen yet; killed when dropped.
#[derive(Debug)]
pub(crate) struct Started(Option<(Child, PathBuf, Place)>);

impl Started {
    /// Waits until it says where it listens.
    pub(crate) async fn listening(mut self) -> anyhow::Result<Daemon> {
        let begun = Instant::now();
        loop {
            let (_, log, _) = self.0.as_ref().context("a process")?;
            let text = fs::read_to_string(log)?;
            let mut lines = text.lines();
            if let Some(line) = lines.find(|line| line.contains(r#""message":"listening""#)) {
                let bound: Value = serde_json::from_str(line)?;
                let (child, log, place) = self.0.take().context("a process")?;
                return listed(&bound, &place).map(|(listed, admin)| Daemon {
                    child,
                    log,
                    listed,
                    admin,
                });
            }
            if begun.elapsed() > START_LIMIT {
                bail!("does not listen: {text}");
            }
            tokio::time::sleep(POLL).await;
        }
    }
}

impl Drop for Started {
    fn drop(&mut self) {
        if let Some((child, ..)) = &mut self.0 {
            end(child);
        }
    }
}

fn end(child: &mut Child) {
    // One that has ended already needs no end.
    let _ = child.kill();
    let _ = child.wait();
}

fn listed(bound: &Value, place: &Place) -> anyhow::Result<(ListedInstance, SocketAddr)> {
    let address = |name: &str| -> anyhow::Result<SocketAddr> {
        Ok(bound[name].as_str().context("an address")?.parse()?)
    };
    let listed = ListedInstance {
        id: place.id.as_str().into(),
        service: place.service.as_str().into(),
        data_centre: place.data_centre.as_str().into(),
        region: "norte".into(),
        callers: address("callers")?,
        mesh: address("mesh")?,
        control: address("control")?,
        state: ListedState::Live,
    };
    Ok((listed, address("admin")?))
}

fn resident_mb(pid: u32) -> anyhow::Result<f64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|rest| rest.trim().strip_suffix(" kB"));
    Ok(kib.context("no VmRSS")?.trim().parse::<f64>()? * 1024.0 / 1e6)
}
