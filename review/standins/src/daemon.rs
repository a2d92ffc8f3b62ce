//! berylhead daemons as processes, with the command of the deploy file.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;

/// Processes that were started and not reaped yet.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that were started and not reaped yet.
///
/// # Panics
///
/// If another thread panicked while it started one.
pub fn kill_all() {
    for pid in RUNNING.lock().expect("no holder panics").drain(..) {
        let _ = Command::new("kill")
            .args(["-s", "KILL", &pid.to_string()])
            .status();
    }
}

/// Ports, which are the same on every machine.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    pub inbound: u16,
    pub app: u16,
    pub ready: u16,
    pub outbound: u16,
    pub first: u16,
}

/// A machine: one loopback address.
#[derive(Clone, Debug)]
pub struct Machine {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub ip: Ipv4Addr,
    pub ports: Ports,
}

impl Machine {
    #[must_use]
    pub fn app(&self) -> SocketAddr {
        (self.ip, self.ports.app).into()
    }

    #[must_use]
    pub fn outbound(&self) -> SocketAddr {
        (self.ip, self.ports.outbound).into()
    }

    #[must_use]
    pub fn ready(&self) -> SocketAddr {
        (self.ip, self.ports.ready).into()
    }
}

/// A daemon process; it is killed when dropped.
pub struct Daemon {
    pub machine: Machine,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

impl Daemon {
    /// Writes the settings and starts the process.
    ///
    /// # Panics
    ///
    /// If the program can't be started.
    #[must_use]
    pub fn start(machine: &Machine, settings: &str, folder: &Path) -> Self {
        let path = folder.join(format!("{}.yaml", machine.name));
        let log = folder.join(format!("{}.log", machine.name));
        std::fs::write(&path, settings).expect("settings can be written");
        let child = spawn(&path, &log);
        Daemon {
            machine: machine.clone(),
            settings: path,
            log,
            child,
        }
    }

    /// Sends a signal by its name.
    ///
    /// # Panics
    ///
    /// If it can't be sent.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &pid]).status();
        assert!(sent.is_ok_and(|status| status.success()), "kill -s {name}");
    }

    /// Exit status, if the process has ended.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.try_wait().ok().flatten();
        status.map(|status| status.to_string())
    }

    fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let pid = self.child.id();
        if let Ok(mut running) = RUNNING.lock() {
            running.retain(|other| *other != pid);
        }
    }

    /// Kills the process if it still runs, and starts another one in its place.
    pub fn restart(&mut self) {
        self.kill();
        self.child = spawn(&self.settings, &self.log);
    }

    /// What the process has logged so far.
    #[must_use]
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Largest resident memory so far, in kilobytes.
    #[must_use]
    pub fn peak_memory_kb(&self) -> Option<u64> {
        let path = format!("/proc/{}/status", self.child.id());
        let text = std::fs::read_to_string(path).ok()?;
        let line = text.lines().find(|line| line.starts_with("VmHWM:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(settings: &Path, log: &Path) -> Child {
    let output = File::options().create(true).append(true).open(log);
    let output = output.expect("the log can be written");
    let errors = output.try_clone().expect("the log can be written");
    let mut command = Command::new("target/release/berylhead");
    command.arg("--platform").env_clear();
    for name in ["PATH", "HOME", "LANG"] {
        if let Some(value) = std::env::var_os(name) {
            command.env(name, value);
        }
    }
    let child = command
        .env("BERYLHEAD_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(output)
        .stderr(errors)
        .spawn()
        .expect("target/release/berylhead starts");
    let mut running = RUNNING.lock().expect("no holder panics");
    running.push(child.id());
    child
}
