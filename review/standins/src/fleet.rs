//! A small deployment on loopback addresses.

use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::backend::{Backend, Config, Run, Trouble};
use crate::client::{Ask, End, connect, exchange};
use crate::daemon::{Daemon, Machine, Ports};
use crate::record::Record;
use crate::store::Store;

/// Host of all routes.
pub const HOST: &str = "desk.example";
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// A machine to start.
#[derive(Clone, Copy, Debug)]
pub struct MachineSpec {
    pub service: &'static str,
    pub zone: &'static str,
    pub slots: usize,
    pub queue: usize,
    /// What the backend does wrong, if it is in trouble.
    pub trouble: Option<Trouble>,
}

/// A route of the configuration, to one service.
#[derive(Clone, Copy, Debug)]
pub struct RouteSpec {
    pub name: &'static str,
    pub service: &'static str,
    pub kind: &'static str,
    pub timeout_ms: u32,
    pub aim_ms: u32,
    pub priority: u32,
    pub attempts: u32,
}

/// Store, backends and daemons of a deployment.
pub struct Fleet {
    pub record: Record,
    pub store: Store,
    pub machines: Vec<Machine>,
    pub backends: Vec<Backend>,
    pub daemons: Vec<Daemon>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    folder: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.daemons.clear();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

impl Fleet {
    /// Starts a deployment, and waits until all daemons are ready.
    ///
    /// # Errors
    ///
    /// If the deployment doesn't become ready.
    pub fn start(
        record: Record,
        specs: &[MachineSpec],
        routes: &[RouteSpec],
    ) -> Result<Self, String> {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let (network, ports) = free_addresses(specs.len())?;
        let [a, b, c, _] = network.octets();
        let store = Store::start([a, b, c, 250]);
        store.put("op/config", &configuration(1, routes, specs));
        let machines: Vec<Machine> = specs
            .iter()
            .zip(1u8..)
            .map(|(spec, number)| Machine {
                name: format!("sidecar-{}-{number}", spec.zone),
                service: spec.service.to_owned(),
                zone: spec.zone.to_owned(),
                ip: Ipv4Addr::new(a, b, c, number),
                ports,
            })
            .collect();
        let runs = Arc::default();
        let mut fleet = Fleet {
            record,
            store,
            machines,
            backends: Vec::new(),
            daemons: Vec::new(),
            runs,
            folder,
        };
        for (machine, spec) in fleet.machines.iter().zip(specs) {
            let cfg = Config {
                id: format!("i-{}", machine.name),
                service: machine.service.clone(),
                zone: machine.zone.clone(),
                address: machine.app(),
                slots: spec.slots,
                queue: spec.queue,
                heartbeat: Duration::from_millis(1_500),
                trouble: spec.trouble,
            };
            let backend = Backend::start(cfg, &fleet.store, &fleet.record, &fleet.runs);
            fleet.backends.push(backend);
        }
        for machine in &fleet.machines {
            let settings = settings(machine, fleet.store.address, &fleet.machines);
            let daemon = Daemon::start(machine, &settings, &fleet.folder);
            fleet.daemons.push(daemon);
        }
        fleet.wait_until_ready()?;
        Ok(fleet)
    }

    /// Waits until every daemon is ready.
    ///
    /// # Errors
    ///
    /// If one isn't in time.
    pub fn wait_until_ready(&self) -> Result<(), String> {
        let until = Instant::now() + START_TIMEOUT;
        for machine in &self.machines {
            while !is_ready(machine) {
                if Instant::now() > until {
                    return Err(format!("{} did not become ready", machine.name));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }

    /// Sends requests on a route from a machine until one succeeds.
    ///
    /// # Errors
    ///
    /// If none does in time.
    pub fn wait_until_served(&self, from: usize, target: &str, bytes: usize) -> Result<(), String> {
        let until = Instant::now() + START_TIMEOUT;
        for number in 0.. {
            let ask = Ask {
                id: format!("warm-{from}-{number}"),
                method: "GET",
                host: HOST.to_owned(),
                target: target.to_owned(),
                deadline: Duration::from_secs(2),
                body: Vec::new(),
            };
            let end = connect(self.machines[from].outbound())
                .map(|mut wire| exchange(&mut wire, &ask, bytes, None).0);
            if matches!(end, Some(End::Answer { status: 200, .. })) {
                return Ok(());
            }
            if Instant::now() > until {
                return Err(format!("{target} is not served: {end:?}"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// What the backends have run so far.
    ///
    /// # Panics
    ///
    /// If a backend panicked.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("no holder panics").clone()
    }
}

fn is_ready(machine: &Machine) -> bool {
    let Some(mut wire) = connect(machine.ready()) else {
        return false;
    };
    let asked = wire
        .stream
        .write_all(b"GET /-/readyz HTTP/1.1\r\nHost: ready\r\n\r\n");
    let _ = wire.stream.set_read_timeout(Some(Duration::from_secs(1)));
    asked.is_ok() && matches!(wire.head(), Ok(Some(head)) if head.status() == 200)
}

/// Finds a network 127.x.y.0 and ports that are free on its first addresses.
fn free_addresses(count: usize) -> Result<(Ipv4Addr, Ports), String> {
    let seed = std::process::id() ^ Instant::now().elapsed().subsec_nanos();
    for attempt in 0..50 {
        let number = seed.wrapping_add(attempt * 7_919);
        let b = 20 + u8::try_from(number % 200).unwrap_or(0);
        let c = u8::try_from((number / 200) % 250).unwrap_or(0);
        let base = 18_000 + u16::try_from(attempt * 40).unwrap_or(0);
        let ports = Ports {
            inbound: base,
            app: base + 1,
            ready: base + 2,
            outbound: base + 4,
            first: base + 10,
        };
        let is_free = (1..=count).all(|n| {
            let ip = Ipv4Addr::new(127, b, c, u8::try_from(n).unwrap_or(1));
            [
                ports.app,
                ports.ready,
                ports.outbound,
                ports.first,
                ports.first + 1,
            ]
            .iter()
            .all(|port| TcpListener::bind(SocketAddr::from((ip, *port))).is_ok())
        });
        if is_free {
            return Ok((Ipv4Addr::new(127, b, c, 0), ports));
        }
    }
    Err("no free addresses".to_owned())
}

/// A configuration with the given routes, as the operator writes it.
#[must_use]
pub fn configuration(version: u32, routes: &[RouteSpec], specs: &[MachineSpec]) -> String {
    let mut resources = vec![
        "{\"resourceType\":\"limits\",\"metadata\":{\"name\":\"limits\"},\"spec\":{\
         \"maxHeaderBytes\":16384,\"maxBodyBytes\":8388608,\"headerTimeout\":\"3000ms\",\
         \"idleTimeout\":\"15s\"}}"
            .to_owned(),
    ];
    let mut services: Vec<&str> = specs.iter().map(|spec| spec.service).collect();
    services.sort_unstable();
    services.dedup();
    for service in services {
        resources.push(format!(
            "{{\"resourceType\":\"services\",\"metadata\":{{\"name\":\"{service}\"}},\"spec\":{{\
             \"healthPath\":\"/healthz\",\"maxConnections\":1200}}}}"
        ));
    }
    for route in routes {
        resources.push(format!(
            "{{\"resourceType\":\"routes\",\"metadata\":{{\"name\":\"{0}\"}},\"spec\":{{\
             \"host\":\"{HOST}\",\"prefix\":\"/{0}/\",\"service\":\"{1}\",\"type\":\"{2}\",\
             \"timeout\":\"{3}ms\",\"targetLatency\":\"{4}ms\",\"maxAttempts\":{5},\
             \"priority\":{6}}}}}",
            route.name,
            route.service,
            route.kind,
            route.timeout_ms,
            route.aim_ms,
            route.attempts,
            route.priority
        ));
    }
    format!(
        "{{\"version\":\"{version:08x}\",\"resources\":[{}]}}",
        resources.join(",")
    )
}

fn settings(machine: &Machine, store: SocketAddr, machines: &[Machine]) -> String {
    let Machine {
        name,
        service,
        zone,
        ip,
        ports,
    } = machine;
    let mut zones: Vec<&str> = machines
        .iter()
        .map(|machine| machine.zone.as_str())
        .collect();
    zones.sort_unstable();
    zones.dedup();
    let zones: Vec<String> = zones
        .iter()
        .map(|zone| format!("    {zone}: \"norte\"\n"))
        .collect();
    let zones = zones.concat();
    let Ports {
        inbound,
        app,
        ready,
        outbound,
        first,
    } = ports;
    let last = first + 15;
    format!(
        "self:\n  node: \"{name}\"\n  role: \"daemon\"\n  machineClass: \"sidecar\"\n  serves:\n    - \"sidecar\"\n  \
         ip: \"{ip}\"\n  zone: \"{zone}\"\n  region: \"norte\"\n  lossCounts: false\n  bootstrap: true\n  \
         dataDir: null\n  limits:\n    cpuShare: 0.4\n    cores: 1\n    memoryMb: 260\n    maxFds: 4100\n    \
         linkMbps: 1000.0\n    diskMb: 0\n  appAddr: \"{ip}:{app}\"\n  service: \"{service}\"\n\
         network:\n  listen:\n    inbound: \"{ip}:{inbound}\"\n    outbound: \"{ip}:{outbound}\"\n    \
         ready: \"{ip}:{ready}\"\n  portRange:\n    - {first}\n    - {last}\n  seeds: []\n  zones:\n{zones}\
         platform:\n  discovery: \"platform\"\n  entry: \"static\"\n  heartbeat: \"1500ms\"\n  platform:\n    \
         address: \"{store}\"\n    form: \"read\"\n    writesPerS: 400\n    readsPerS: 2000\n    history: \"20s\"\n    \
         valueBytes: 1048576\n    ttlMin: \"1000ms\"\n\
         terms:\n  contracts:\n    - \"base\"\n    - \"drain\"\n    - \"config\"\n    - \"cost\"\n    - \"retry\"\n    \
         - \"recover\"\n    - \"pressure\"\n    - \"platform\"\n  faultTolerance:\n    machines: 2\n    zones: 1\n    \
         regions: 0\n  bounds:\n    seedLag: \"3s\"\n    addrReuse: \"2s\"\n    contact: \"3000ms\"\n    \
         ack: \"4000ms\"\n    catchUp: \"4s\"\n    drain: \"2000ms\"\n    grace: \"6s\"\n    lossSlack: \"200ms\"\n    \
         configApply: \"2000ms\"\n    rollbackSlack: \"250ms\"\n    maxSkew: \"5000ms\"\n    \
         retryBudgetRatio: 0.2\n    budgetWindow: \"10s\"\n    retryBudgetSlack: 48\n    recovery: \"15s\"\n"
    )
}
