//! Settings of one daemon, read from an INI file.

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
/// Most instances that a fleet may be said to have.
const MAX_FLEET_SIZE: u32 = 1_000_000;

/// Sections and keys that a settings file may hold.
const KNOWN: &[(&str, &[&str])] = &[
    ("instance", &["id", "service", "data_centre", "region"]),
    ("listen", &["callers", "mesh", "local", "control", "admin"]),
    ("advertise", &["callers", "mesh", "control"]),
    ("target", &["address"]),
    ("platform", &["addresses"]),
    ("fleet", &["seeds", "size"]),
    ("shutdown", &["grace_ms"]),
    ("log", &["level"]),
];

/// Who this daemon is and whom it stands beside.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The instance.
    pub id: InstanceId,
    /// The service that its target belongs to.
    pub service: ServiceName,
    /// The data centre it runs in.
    pub data_centre: DataCentre,
    /// The region of that data centre.
    pub region: Region,
}

/// Addresses that the daemon binds; port 0 lets the system choose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// Callers outside the fleet.
    pub callers: SocketAddr,
    /// Other daemons.
    pub mesh: SocketAddr,
    /// The own target's calls to other services.
    pub local: SocketAddr,
    /// Control messages of other daemons.
    pub control: SocketAddr,
    /// Metrics, status and readiness.
    pub admin: SocketAddr,
}

/// Addresses by which others reach the daemon, where they differ from the bound ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Advertise {
    /// For callers outside the fleet.
    pub callers: Option<SocketAddr>,
    /// For other daemons.
    pub mesh: Option<SocketAddr>,
    /// For control messages.
    pub control: Option<SocketAddr>,
}

/// Settings of one daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Who this daemon is.
    pub identity: Identity,
    /// What it binds.
    pub listen: Listen,
    /// What it is reached by.
    pub advertise: Advertise,
    /// Address of its own target.
    pub target: SocketAddr,
    /// Addresses of the platform, tried in turn.
    pub platform: Vec<SocketAddr>,
    /// Control addresses of daemons to ask while the platform does not answer.
    pub seeds: Vec<SocketAddr>,
    /// Size of the fleet to assume until the instance list is known.
    pub fleet_size: u32,
    /// Longest time that a graceful stop waits for requests in flight; without it, as long as
    /// any of them may take.
    pub grace: Option<Duration>,
    /// Least level that is logged.
    pub log_level: LevelFilter,
    /// The parts that decide; a settings file can't leave any out.
    pub features: Features,
}

impl Settings {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// If the file can't be read, isn't UTF-8 or INI, or holds wrong settings; the error
    /// names all of them.
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

    /// Reads settings from text; `file` is only named in errors.
    ///
    /// # Errors
    ///
    /// As [`Settings::load`].
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
        reader.refuse_unknown();
        let settings = reader.settings();
        if reader.faults.is_empty() {
            Ok(settings)
        } else {
            Err(Error::faults(reader.faults))
        }
    }
}

/// Collects every fault, so that one run of the check names them all.
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
            fleet_size: self.count("fleet", "size"),
            grace: self.optional_millis("shutdown", "grace_ms"),
            log_level: self.level("log", "level"),
            features: Features::default(),
        }
    }

    fn refuse_unknown(&mut self) {
        for (section, properties) in self.ini {
            let Some(section) = section else {
                for (key, _) in properties {
                    self.fault("", key, "stands before any section", "a section first");
                }
                continue;
            };
            let known = KNOWN.iter().find(|(name, _)| *name == section);
            let Some((_, keys)) = known else {
                self.fault(
                    section,
                    "",
                    "unknown section",
                    &names(KNOWN.iter().map(|(name, _)| *name)),
                );
                continue;
            };
            if self.ini.section_all(Some(section)).count() > 1 {
                self.fault(section, "", "stands more than once", "once");
            }
            for (key, _) in properties {
                if !keys.contains(&key) {
                    self.fault(section, key, "unknown key", &names(keys.iter().copied()));
                } else if properties.get_all(key).count() > 1 {
                    self.fault(section, key, "given more than once", "once");
                }
            }
        }
        self.faults.dedup();
    }

    fn fault(&mut self, section: &str, key: &str, wrong: &str, allowed: &str) {
        self.faults
            .push(Fault::new(self.file, section, key, wrong, allowed));
    }

    fn get(&self, section: &str, key: &str) -> Option<String> {
        self.ini.get_from(Some(section), key).map(str::to_owned)
    }

    fn name(&mut self, section: &str, key: &str) -> String {
        const ALLOWED: &str = "1 to 64 of a-z, A-Z, 0-9, '-', '_', '.'";
        let Some(value) = self.get(section, key) else {
            self.fault(section, key, "missing", ALLOWED);
            return String::new();
        };
        let plain = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
        if value.is_empty() || value.len() > 64 || !value.bytes().all(plain) {
            self.fault(section, key, &format!("{value:?} is not a name"), ALLOWED);
        }
        value
    }

    fn address(&mut self, section: &str, key: &str) -> SocketAddr {
        const ALLOWED: &str = "ip:port, such as 127.0.0.1:4100";
        let placeholder = SocketAddr::from(([0, 0, 0, 0], 0));
        let Some(value) = self.get(section, key) else {
            self.fault(section, key, "missing", ALLOWED);
            return placeholder;
        };
        value.parse().unwrap_or_else(|_| {
            self.fault(
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
            self.fault(section, key, "missing", ALLOWED);
            return Vec::new();
        };
        let mut addresses = Vec::new();
        for part in value.split(',') {
            match part.trim().parse() {
                Ok(address) => addresses.push(address),
                Err(_) => self.fault(
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

    fn count(&mut self, section: &str, key: &str) -> u32 {
        let Some(value) = self.get(section, key) else {
            return 0;
        };
        if let Ok(count @ 0..=MAX_FLEET_SIZE) = value.parse::<u32>() {
            return count;
        }
        let wrong = format!("{value:?} is not a number of instances");
        self.fault(section, key, &wrong, &format!("0 to {MAX_FLEET_SIZE}"));
        0
    }

    fn optional_millis(&mut self, section: &str, key: &str) -> Option<Duration> {
        const ALLOWED: &str = "whole milliseconds, 1 to 3600000";
        let value = self.get(section, key)?;
        if let Ok(ms @ 1..=3_600_000) = value.parse::<u64>() {
            return Some(Duration::from_millis(ms));
        }
        self.fault(section, key, &format!("{value:?} is not a time"), ALLOWED);
        None
    }

    fn level(&mut self, section: &str, key: &str) -> LevelFilter {
        let Some(value) = self.get(section, key) else {
            return LevelFilter::Info;
        };
        value.parse().unwrap_or_else(|_| {
            self.fault(
                section,
                key,
                &format!("{value:?} is not a level"),
                "off, error, warn, info, debug, trace",
            );
            LevelFilter::Info
        })
    }
}

fn names<'a>(all: impl Iterator<Item = &'a str>) -> String {
    all.collect::<Vec<_>>().join(", ")
}
