//! berylhead daemons as processes, with the command of the deploy file.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
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
        Daemon {
            child: spawn(&path, &log),
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

    fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let pid = self.child.id();
        if let Ok(mut running) = RUNNING.lock() {
            running.retain(|other| *other != pid);
        }
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
