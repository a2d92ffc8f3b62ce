//! The settings of one daemon, read from an INI file.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use ini::Ini;
use log::LevelFilter;
use model::{DataCentre, InstanceId, Region, ServiceName};

use crate::error::{Error, Fault};
use crate::features::Features;

/// Largest settings file that is read, in bytes.
const MAX_FILE_BYTES: u64 = 64 * 1024;
/// Maximum of the `size` key of the `fleet` section, in instances.
const MAX_FLEET_SIZE: u32 = 1_000_000;

/// The sections of a settings file and their keys.
const KNOWN_KEYS: &[(&str, &[&str])] = &[
    ("instance", &["id", "service", "data_centre", "region"]),
    ("listen", &["callers", "mesh", "local", "control", "admin"]),
    ("advertise", &["callers", "mesh", "control"]),
    ("target", &["address"]),
    ("platform", &["addresses"]),
    ("fleet", &["seeds", "size"]),
    ("shutdown", &["grace_ms"]),
    ("log", &["level"]),
];

/// Names of the daemon's instance, its service and its location.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Id of the instance.
    pub id: InstanceId,
    /// The service that its target belongs to.
    pub service: ServiceName,
    /// The data centre that the instance runs in.
    pub data_centre: DataCentre,
    /// The region of that data centre.
    pub region: Region,
}

/// Addresses that the daemon binds; port 0 lets the system choose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// For callers outside the fleet.
    pub callers: SocketAddr,
    /// For calls from other daemons.
    pub mesh: SocketAddr,
    /// For the local target's calls to other services.
    pub local: SocketAddr,
    /// For control messages of other daemons.
    pub control: SocketAddr,
    /// For operators: readiness, status, history and metrics.
    pub admin: SocketAddr,
}

/// Addresses at which others reach the daemon, where they differ from those in [`Listen`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Advertise {
    /// For callers outside the fleet.
    pub callers: Option<SocketAddr>,
    /// For calls from other daemons.
    pub mesh: Option<SocketAddr>,
    /// For control messages of other daemons.
    pub control: Option<SocketAddr>,
}

/// Settings of one daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Names of the daemon's instance, its service and its location.
    pub identity: Identity,
    /// Addresses to bind.
    pub listen: Listen,
    /// Addresses at which others reach the daemon.
    pub advertise: Advertise,
    /// Address of the local target.
    pub target: SocketAddr,
    /// Addresses of the platform, tried in turn.
    pub platform: Vec<SocketAddr>,
    /// Control addresses of daemons to contact while the platform doesn't answer.
    pub seeds: Vec<SocketAddr>,
    /// Assumed size of the fleet in instances until the instance list is known.
    pub fleet_size: u32,
    /// Time limit of a graceful stop for requests in flight; `None` waits as long as any of
    /// them may take.
    pub grace: Option<Duration>,
    /// Most verbose level that is logged.
    pub log_level: LevelFilter,
    /// The enabled mechanisms of overload control; not configurable in a settings file.
    pub features: Features,
}

impl Settings {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// If the file can't be read, is too large, isn't UTF-8 or INI, or has invalid settings; the
    /// error lists all of the latter.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let file = path.display().to_string();
        let size = fs::metadata(path)
            .map_err(|e| Error::read(&file, &e))?
            .len();
        if size > MAX_FILE_BYTES {
            return Err(Error::file(
                &file,
                format!("has {size} bytes; allowed: at most {MAX_FILE_BYTES}"),
            ));
        }
        let bytes = fs::read(path).map_err(|e| Error::read(&file, &e))?;
        let Ok(text) = String::from_utf8(bytes) else {
            return Err(Error::file(
                &file,
                "is not UTF-8; allowed: UTF-8 text".to_owned(),
            ));
        };
        Self::parse(&file, &text)
    }

    /// Parses the text of a settings file; `file` is its name in errors.
    ///
    /// # Errors
    ///
    /// If the text isn't INI or has invalid settings; the error lists all of the latter.
    pub fn parse(file: &str, text: &str) -> Result<Self, Error> {
        let ini = Ini::load_from_str(text).map_err(|e| {
            Error::file(
                file,
                format!("line {}: {}; allowed: key = value", e.line, e.msg),
            )
        })?;
        let mut reader = Reader {
            file,
            ini: &ini,
            faults: Vec::new(),
        };
        reader.check_keys();
        let settings = reader.settings();
        if reader.faults.is_empty() {
            Ok(settings)
        } else {
            Err(Error::faults(reader.faults))
        }
    }
}

/// Reads the keys and collects all faults, so that one check reports them all.
struct Reader<'a> {
    file: &'a str,
    ini: &'a Ini,
    faults: Vec<Fault>,
}

impl Reader<'_> {
    fn settings(&mut self) -> Settings {
        Settings {
            identity: Identity {
                id: self.name("instance", "id").into(),
                service: self.name("instance", "service").into(),
                data_centre: self.name("instance", "data_centre").into(),
                region: self.name("instance", "region").into(),
            },
            listen: Listen {
                callers: self.address("listen", "callers"),
                mesh: self.address("listen", "mesh"),
                local: self.address("listen", "local"),
                control: self.address("listen", "control"),
                admin: self.address("listen", "admin"),
            },
            advertise: Advertise {
                callers: self.optional_address("callers"),
                mesh: self.optional_address("mesh"),
                control: self.optional_address("control"),
            },
            target: self.address("target", "address"),
            platform: self.addresses("platform", "addresses"),
            seeds: self.optional_addresses("fleet", "seeds"),
            fleet_size: self.fleet_size("fleet", "size"),
            grace: self.optional_millis("shutdown", "grace_ms"),
            log_level: self.level("log", "level"),
            features: Features::default(),
        }
    }

    /// Reports unknown sections and keys, and those that are given more than once.
    fn check_keys(&mut self) {
        for (section, properties) in self.ini {
            let Some(section) = section else {
                for (key, _) in properties {
                    self.add_fault("", key, "is outside any section", "keys below a [section]");
                }
                continue;
            };
            let known = KNOWN_KEYS.iter().find(|(name, _)| *name == section);
            let Some((_, keys)) = known else {
                self.add_fault(
                    section,
                    "",
                    "unknown section",
                    &join_names(KNOWN_KEYS.iter().map(|(name, _)| *name)),
                );
                continue;
            };
            if self.ini.section_all(Some(section)).count() > 1 {
                self.add_fault(section, "", "given more than once", "once");
            }
            for (key, _) in properties {
                if !keys.contains(&key) {
                    self.add_fault(
                        section,
                        key,
                        "unknown key",
                        &join_names(keys.iter().copied()),
                    );
                } else if properties.get_all(key).count() > 1 {
                    self.add_fault(section, key, "given more than once", "once");
                }
            }
        }
        self.faults.dedup();
    }

    fn add_fault(&mut self, section: &str, key: &str, problem: &str, allowed: &str) {
        self.faults
            .push(Fault::new(self.file, section, key, problem, allowed));
    }

    fn get(&self, section: &str, key: &str) -> Option<String> {
        self.ini.get_from(Some(section), key).map(str::to_owned)
    }

    fn name(&mut self, section: &str, key: &str) -> String {
        const ALLOWED: &str = "1 to 64 of a-z, A-Z, 0-9, '-', '_', '.'";
        let Some(value) = self.get(section, key) else {
            self.add_fault(section, key, "missing", ALLOWED);
            return String::new();
        };
        let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
        if value.is_empty() || value.len() > 64 || !value.bytes().all(is_allowed) {
            self.add_fault(section, key, &format!("{value:?} is not a name"), ALLOWED);
        }
        value
    }

    fn address(&mut self, section: &str, key: &str) -> SocketAddr {
        const ALLOWED: &str = "ip:port, such as 127.0.0.1:4100";
        let placeholder = SocketAddr::from(([0, 0, 0, 0], 0));
        let Some(value) = self.get(section, key) else {
            self.add_fault(section, key, "missing", ALLOWED);
            return placeholder;
        };
        value.parse().unwrap_or_else(|_| {
            self.add_fault(
                section,
                key,
                &format!("{value:?} is not an address"),
                ALLOWED,
            );
            placeholder
        })
    }

    fn optional_address(&mut self, key: &str) -> Option<SocketAddr> {
        self.get("advertise", key)?;
        Some(self.address("advertise", key))
    }

    fn addresses(&mut self, section: &str, key: &str) -> Vec<SocketAddr> {
        const ALLOWED: &str = "ip:port, several with commas between";
        let Some(value) = self.get(section, key) else {
            self.add_fault(section, key, "missing", ALLOWED);
            return Vec::new();
        };
        let mut addresses = Vec::new();
        for part in value.split(',') {
            match part.trim().parse() {
                Ok(address) => addresses.push(address),
                Err(_) => self.add_fault(
                    section,
                    key,
                    &format!("{part:?} is not an address"),
                    ALLOWED,
                ),
            }
        }
        addresses
    }

    fn optional_addresses(&mut self, section: &str, key: &str) -> Vec<SocketAddr> {
        match self.get(section, key) {
            Some(_) => self.addresses(section, key),
            None => Vec::new(),
        }
    }

    fn fleet_size(&mut self, section: &str, key: &str) -> u32 {
        let Some(value) = self.get(section, key) else {
            return 0;
        };
        if let Ok(size @ 0..=MAX_FLEET_SIZE) = value.parse::<u32>() {
            return size;
        }
        let problem = format!("{value:?} is not a number of instances");
        self.add_fault(section, key, &problem, &format!("0 to {MAX_FLEET_SIZE}"));
        0
    }

    fn optional_millis(&mut self, section: &str, key: &str) -> Option<Duration> {
        const ALLOWED: &str = "whole milliseconds, 1 to 3600000";
        let value = self.get(section, key)?;
        if let Ok(ms @ 1..=3_600_000) = value.parse::<u64>() {
            return Some(Duration::from_millis(ms));
        }
        self.add_fault(section, key, &format!("{value:?} is not a time"), ALLOWED);
        None
    }

    fn level(&mut self, section: &str, key: &str) -> LevelFilter {
        let Some(value) = self.get(section, key) else {
            return LevelFilter::Info;
        };
        value.parse().unwrap_or_else(|_| {
            self.add_fault(
                section,
                key,
                &format!("{value:?} is not a level"),
                "off, error, warn, info, debug, trace",
            );
            LevelFilter::Info
        })
    }
}

fn join_names<'a>(all: impl Iterator<Item = &'a str>) -> String {
    all.collect::<Vec<_>>().join(", ")
}
