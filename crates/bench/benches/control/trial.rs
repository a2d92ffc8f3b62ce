//! One fleet of processes, and its costs over stretches of time.

use std::fs;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use anyhow::bail;
use standin::{Caller, Ledger, ListedInstance, Platform, Target, TargetConfig};
use tokio::net::TcpStream;

use crate::layout::{Place, absent, document};
use crate::process::{Daemon, Used};

const POLL: Duration = Duration::from_millis(10);
/// Time in which a daemon takes the connections that were opened.
const CONNECTIONS_SETTLE: Duration = Duration::from_millis(500);
const SPREAD_LIMIT: Duration = Duration::from_secs(30);
/// Daemons that start at the same time, so that the machine can keep up.
const START_TOGETHER: usize = 16;

/// Size of one fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Size {
    pub(crate) daemons: usize,
    pub(crate) services: usize,
    /// Entries of the list without a process.
    pub(crate) absent: usize,
}

/// A running fleet.
#[derive(Debug)]
pub(crate) struct Trial {
    size: Size,
    daemons: Vec<Daemon>,
    platform: Platform,
    caller: Caller,
    revision: u64,
    dir: PathBuf,
    target: Target,
}

/// Rates of one stretch of time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Rates {
    /// Mean over the daemons that carry no reader's role, or over all if each has one.
    pub(crate) ordinary: Used,
    /// Mean over the readers of the document.
    pub(crate) reader: Used,
    /// Reads that the platform was asked for in a second, by the whole fleet.
    pub(crate) calls_per_s: f64,
    /// Watches that wait at the platform.
    pub(crate) waiting: u64,
    /// Time of one revision until it is in force everywhere, the worst one.
    pub(crate) spread_s: f64,
}

impl Trial {
    pub(crate) async fn start(size: Size) -> anyhow::Result<Self> {
        let platform = Platform::start().await?;
        platform.publish(&document(1, size.services));
        let target = Target::start(TargetConfig::new("any", "any", 8), Ledger::default()).await?;
        let name = format!("berylhead-control-{}-{}", std::process::id(), size.daemons);
        let dir = std::env::temp_dir().join(name);
        fs::create_dir_all(&dir)?;
        let mut trial = Trial {
            size,
            daemons: Vec::new(),
            caller: Caller::new(),
            revision: 1,
            dir,
            platform,
            target,
        };
        let places: Vec<Place> = (0..size.daemons)
            .map(|number| Place::new(number, size.services))
            .collect();
        for some in places.chunks(START_TOGETHER) {
            let mut started = Vec::new();
            for place in some {
                let settings = trial.settings(place);
                started.push(Daemon::spawn(&trial.dir, place, &settings)?);
            }
            for daemon in started {
                trial.daemons.push(daemon.listening().await?);
            }
        }
        trial.publish_list(0);
        trial.until_at(1).await?;
        Ok(trial)
    }

    /// Publishes the list anew, with other absent entries if there are some.
    fn publish_list(&self, shift: usize) {
        let listed = self.daemons.iter().map(|daemon| daemon.listed.clone());
        let without = (shift..shift + self.size.absent).map(|n| absent(n, self.size.services));
        let list: Vec<ListedInstance> = listed.chain(without).collect();
        self.platform.set_instances(&list);
    }

    /// Publishes revisions, and list changes if asked for, evenly over a stretch of time.
    pub(crate) async fn measure(
        &mut self,
        length: Duration,
        revisions: u32,
        list_changes: u32,
    ) -> anyhow::Result<Rates> {
        let before = self.used().await?;
        let calls_before = self.platform.calls();
        let begun = Instant::now();
        let steps = revisions.max(list_changes);
        let mut spread = Duration::ZERO;
        for step in 0..steps {
            let at = begun + length * step / steps;
            tokio::time::sleep_until(at.into()).await;
            if step < list_changes {
                self.publish_list(usize::try_from(step)? + 1);
            }
            if step < revisions {
                spread = spread.max(self.publish().await?);
            }
        }
        tokio::time::sleep_until((begun + length).into()).await;
        let elapsed_s = begun.elapsed().as_secs_f64();
        let calls = u32::try_from(self.platform.calls() - calls_before)?;
        let after = self.used().await?;
        let used: Vec<Used> = before
            .iter()
            .zip(&after)
            .map(|(before, after)| per_second(before, after, elapsed_s))
            .collect();
        let reads = |used: &&Used| used.document_reads + used.list_reads;
        let ordinary: Vec<&Used> = used.iter().filter(|u| reads(u) <= 0.0).collect();
        let all: Vec<&Used> = used.iter().collect();
        let readers: Vec<&Used> = used.iter().filter(|u| u.document_reads > 0.0).collect();
        Ok(Rates {
            ordinary: mean(if ordinary.is_empty() { &all } else { &ordinary }),
            reader: mean(&readers),
            calls_per_s: f64::from(calls) / elapsed_s,
            waiting: self.platform.waiting(),
            spread_s: spread.as_secs_f64(),
        })
    }

    /// Publishes a revision, and tells when it is in force everywhere.
    async fn publish(&mut self) -> anyhow::Result<Duration> {
        self.revision += 1;
        let published = document(self.revision, self.size.services);
        let begun = Instant::now();
        self.platform.publish(&published);
        self.until_at(self.revision).await?;
        Ok(begun.elapsed())
    }

    /// Resident memory of one daemon with so many idle connections of callers.
    pub(crate) async fn resident_mb_with(&self, connections: usize) -> anyhow::Result<f64> {
        let daemon = &self.daemons[0];
        let mut open = Vec::new();
        for _ in 0..connections {
            open.push(TcpStream::connect(daemon.listed.callers).await?);
        }
        tokio::time::sleep(CONNECTIONS_SETTLE).await;
        Ok(daemon.used(&self.caller).await?.resident_mb)
    }

    /// Waits for the line that each daemon logs when a revision is in force, which costs
    /// the daemons less than being asked for their status.
    async fn until_at(&self, revision: u64) -> anyhow::Result<()> {
        let begun = Instant::now();
        let mut missing: Vec<&Daemon> = self.daemons.iter().collect();
        loop {
            missing.retain(|daemon| !daemon.is_at(revision));
            if missing.is_empty() {
                return Ok(());
            }
            if begun.elapsed() > SPREAD_LIMIT {
                bail!("{} daemons are not at revision {revision}", missing.len());
            }
            tokio::time::sleep(POLL).await;
        }
    }

    async fn used(&self) -> anyhow::Result<Vec<Used>> {
        let mut used = Vec::new();
        for daemon in &self.daemons {
            used.push(daemon.used(&self.caller).await?);
        }
        Ok(used)
    }

    fn settings(&self, place: &Place) -> String {
        let Place {
            id,
            service,
            data_centre,
        } = place;
        let size = self.size.daemons + self.size.absent;
        let any = "127.0.0.1:0";
        format!(
            "[instance]\nid = {id}\nservice = {service}\ndata_centre = {data_centre}\n\
             region = norte\n[listen]\ncallers = {any}\nmesh = {any}\nlocal = {any}\n\
             control = {any}\nadmin = {any}\n[target]\naddress = {}\n\
             [platform]\naddresses = {}\n[fleet]\nsize = {size}\n[log]\nlevel = info\n",
            self.target.address(),
            self.platform.address(),
        )
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        self.daemons.clear();
        // What is left behind is in the temporary directory.
        let _ = fs::remove_dir_all(&self.dir);
    }
}

/// Rates of all that rises; the memory is the later one.
fn per_second(before: &Used, after: &Used, elapsed_s: f64) -> Used {
    let rate = |pick: fn(&Used) -> f64| (pick(after) - pick(before)) / elapsed_s;
    Used {
        cpu_s: rate(|u| u.cpu_s),
        resident_mb: after.resident_mb,
        control_bytes: rate(|u| u.control_bytes),
        messages: rate(|u| u.messages),
        document_reads: rate(|u| u.document_reads),
        list_reads: rate(|u| u.list_reads),
        platform_bytes: rate(|u| u.platform_bytes),
    }
}

fn mean(used: &[&Used]) -> Used {
    let count: f64 = used.iter().map(|_| 1.0).sum::<f64>().max(1.0);
    let mean = |pick: fn(&Used) -> f64| used.iter().map(|u| pick(u)).sum::<f64>() / count;
    Used {
        cpu_s: mean(|u| u.cpu_s),
        resident_mb: mean(|u| u.resident_mb),
        control_bytes: mean(|u| u.control_bytes),
        messages: mean(|u| u.messages),
        document_reads: mean(|u| u.document_reads),
        list_reads: mean(|u| u.list_reads),
        platform_bytes: mean(|u| u.platform_bytes),
    }
}
