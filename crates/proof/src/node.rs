//! One instance: its daemon, its target and the proxies around them.

use std::collections::HashMap;
use std::fmt::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use smol_str::SmolStr;
use standin::{FaultProxy, Ledger, ListedInstance, ListedState, Target, TargetConfig};

use crate::process::{Bound, DaemonProcess};

const DEFAULT_SLOTS: usize = 160;

/// A connection of a daemon that can go through a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Link {
    /// From callers to the daemon.
    Callers,
    /// From other daemons to the daemon.
    Mesh,
    /// From other daemons' control connections to the daemon.
    Control,
    /// From the daemon to its target.
    Target,
    /// From the daemon to the platform.
    Platform,
}

/// What a node is started with.
#[derive(Clone, Debug)]
pub struct NodeSpec {
    pub(crate) service: SmolStr,
    pub(crate) data_centre: SmolStr,
    pub(crate) id: SmolStr,
    pub(crate) target: TargetConfig,
    pub(crate) links: Vec<Link>,
    pub(crate) grace: Option<Duration>,
}

impl NodeSpec {
    /// An instance of a service in a data centre, with a target that answers at once.
    #[must_use]
    pub fn new(service: &str, data_centre: &str, id: &str) -> Self {
        NodeSpec {
            service: service.into(),
            data_centre: data_centre.into(),
            id: id.into(),
            target: TargetConfig::new(service, id, DEFAULT_SLOTS),
            links: Vec::new(),
            grace: None,
        }
    }

    /// Its service.
    #[must_use]
    pub fn service(&self) -> &str {
        &self.service
    }

    /// Its name.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Replaces the target's configuration.
    #[must_use]
    pub fn target(mut self, target: TargetConfig) -> Self {
        self.target = target;
        self
    }

    /// Places a proxy on a connection.
    #[must_use]
    pub fn through(mut self, link: Link) -> Self {
        self.links.push(link);
        self
    }

    /// Sets how long a graceful stop may take, in place of the daemon's own choice.
    #[must_use]
    pub fn grace(mut self, grace: Duration) -> Self {
        self.grace = Some(grace);
        self
    }
}

/// One running instance.
#[derive(Debug)]
pub struct Node {
    /// What it was started with.
    pub spec: NodeSpec,
    /// Its target.
    pub target: Target,
    /// Its daemon.
    pub daemon: DaemonProcess,
    /// Its state in the instance list.
    pub state: ListedState,
    proxies: HashMap<Link, FaultProxy>,
    settings: PathBuf,
}

impl Node {
    pub(crate) async fn start(
        spec: NodeSpec,
        place: &Place<'_>,
        ledger: Ledger,
        seed: u64,
    ) -> anyhow::Result<Self> {
        let target = Target::start(spec.target.clone(), ledger).await?;
        let mut proxies = HashMap::new();
        for link in &spec.links {
            // Where the daemon listens is known only once it runs.
            let upstream = match link {
                Link::Target => target.address(),
                Link::Platform => place.platform,
                _ => SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
            };
            proxies.insert(*link, FaultProxy::start(upstream, seed).await?);
        }
        let settings = place.dir.join(format!("{}.ini", spec.id));
        let text = settings_text(&spec, target.address(), place.platform, &proxies);
        std::fs::write(&settings, text)?;
        let daemon = DaemonProcess::start(place.program, &settings).await?;
        let node = Node {
            spec,
            target,
            daemon,
            state: ListedState::Live,
            proxies,
            settings,
        };
        node.connect();
        Ok(node)
    }

    /// Starts its daemon anew, with the same settings.
    pub(crate) async fn restart(&mut self, program: &Path) -> anyhow::Result<()> {
        self.daemon = DaemonProcess::start(program, &self.settings).await?;
        self.connect();
        Ok(())
    }

    /// The proxy of a link that the node was started with.
    #[must_use]
    pub fn proxy(&self, link: Link) -> Option<&FaultProxy> {
        self.proxies.get(&link)
    }

    /// Where callers reach it.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        self.advertised(Link::Callers, self.daemon.bound().callers)
    }

    /// Its entry in the instance list.
    #[must_use]
    pub fn listed(&self) -> ListedInstance {
        let bound = self.daemon.bound();
        ListedInstance {
            id: self.spec.id.as_str().into(),
            service: self.spec.service.as_str().into(),
            data_centre: self.spec.data_centre.as_str().into(),
            region: region(&self.spec.data_centre).into(),
            callers: self.callers(),
            mesh: self.advertised(Link::Mesh, bound.mesh),
            control: self.advertised(Link::Control, bound.control),
            state: self.state,
        }
    }

    fn advertised(&self, link: Link, bound: SocketAddr) -> SocketAddr {
        self.proxies.get(&link).map_or(bound, FaultProxy::address)
    }

    /// Points the proxies and the target at the daemon that runs now.
    fn connect(&self) {
        let Bound {
            callers,
            mesh,
            control,
            local,
            ..
        } = self.daemon.bound();
        for (link, bound) in [
            (Link::Callers, callers),
            (Link::Mesh, mesh),
            (Link::Control, control),
        ] {
            if let Some(proxy) = self.proxies.get(&link) {
                proxy.set_upstream(bound);
            }
        }
        self.target.set_egress(local);
    }
}

/// Where nodes are started.
pub(crate) struct Place<'a> {
    pub(crate) program: &'a Path,
    pub(crate) dir: &'a Path,
    pub(crate) platform: SocketAddr,
}

fn settings_text(
    spec: &NodeSpec,
    target: SocketAddr,
    platform: SocketAddr,
    proxies: &HashMap<Link, FaultProxy>,
) -> String {
    let through = |link, direct| proxies.get(&link).map_or(direct, FaultProxy::address);
    let mut text = format!(
        "[instance]\nid = {}\nservice = {}\ndata_centre = {}\nregion = {}\n[listen]\n",
        spec.id,
        spec.service,
        spec.data_centre,
        region(&spec.data_centre)
    );
    for name in ["callers", "mesh", "local", "control", "admin"] {
        // Writing to a string does not fail.
        let _ = writeln!(text, "{name} = 127.0.0.1:0");
    }
    text.push_str("[advertise]\n");
    for (name, link) in [
        ("callers", Link::Callers),
        ("mesh", Link::Mesh),
        ("control", Link::Control),
    ] {
        if let Some(proxy) = proxies.get(&link) {
            let _ = writeln!(text, "{name} = {}", proxy.address());
        }
    }
    let _ = write!(
        text,
        "[target]\naddress = {}\n[platform]\naddresses = {}\n[log]\nlevel = debug\n",
        through(Link::Target, target),
        through(Link::Platform, platform),
    );
    if let Some(grace) = spec.grace {
        let _ = writeln!(text, "[shutdown]\ngrace_ms = {}", grace.as_millis());
    }
    text
}

/// The region of a data centre named `region-letter`.
fn region(data_centre: &str) -> &str {
    data_centre
        .rsplit_once('-')
        .map_or(data_centre, |(region, _)| region)
}
