//! A whole fleet in one process: platform, targets and daemons on loopback.
//!
//! It serves benches and the demo. The tests in `proof` run each daemon as a process of
//! its own.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use config::Document;
use daemon::{Advertise, Daemon, Features, Identity, Listen, Settings};
use tokio::sync::oneshot;

use crate::caller::Caller;
use crate::instance_list::{ListedInstance, ListedState};
use crate::ledger::Ledger;
use crate::plan::TargetConfig;
use crate::platform::Platform;
use crate::target::Target;

/// Interval between two readiness checks.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// An instance: a target and the daemon beside it.
#[derive(Debug)]
pub struct LocalInstance {
    /// Its id, service and location.
    pub identity: Identity,
    /// Its target.
    pub target: Target,
    /// The addresses that its daemon listens on.
    pub addresses: Listen,
    target_config: TargetConfig,
    daemon: Option<Daemon>,
    stop: Option<oneshot::Sender<()>>,
}

/// A running fleet. Dropping it stops the daemons.
#[derive(Debug)]
pub struct LocalFleet {
    /// The platform that all daemons use.
    pub platform: Platform,
    /// All instances.
    pub instances: Vec<LocalInstance>,
    /// All runs at all targets.
    pub ledger: Ledger,
    features: Features,
}

impl LocalFleet {
    /// Starts a fleet and waits until every daemon is ready.
    ///
    /// # Errors
    ///
    /// If a port can't be bound.
    pub async fn start(
        document: &Document,
        instances: Vec<(Identity, TargetConfig)>,
    ) -> anyhow::Result<Self> {
        Self::start_with(document, instances, Features::default()).await
    }

    /// Starts a fleet whose daemons run with the given features.
    ///
    /// # Errors
    ///
    /// If a port can't be bound.
    pub async fn start_with(
        document: &Document,
        instances: Vec<(Identity, TargetConfig)>,
        features: Features,
    ) -> anyhow::Result<Self> {
        let mut fleet = LocalFleet {
            platform: Platform::start().await?,
            instances: Vec::new(),
            ledger: Ledger::default(),
            features,
        };
        fleet.platform.publish(document);
        for (identity, target) in instances {
            let instance = fleet.start_instance(identity, target).await?;
            fleet.instances.push(instance);
        }
        fleet.publish_instances([]);
        fleet.wait_until_ready(fleet.instances.len()).await;
        Ok(fleet)
    }

    /// Replaces an instance: starts and lists a new one, waits until it is ready, then
    /// stops the old one gracefully.
    ///
    /// # Errors
    ///
    /// If a port can't be bound.
    ///
    /// # Panics
    ///
    /// If there is no instance at this position.
    pub async fn replace(&mut self, position: usize) -> anyhow::Result<()> {
        let old = &self.instances[position];
        let mut identity = old.identity.clone();
        identity.id = format!("{}-next", identity.id).into();
        let mut target = old.target_config.clone();
        target.instance = identity.id.as_str().into();
        let next = self.start_instance(identity, target).await?;
        let mut old = std::mem::replace(&mut self.instances[position], next);
        self.publish_instances([old.listed()]);
        let caller = Caller::new();
        let url = format!("http://{}/ready", self.instances[position].addresses.admin);
        while !caller
            .get(&url)
            .await
            .is_ok_and(|(status, _)| status.is_success())
        {
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
        if let Some(daemon) = old.begin_stop() {
            let _ = tokio::task::spawn_blocking(|| daemon.join()).await;
        }
        self.publish_instances([]);
        Ok(())
    }

    /// Publishes the instance list: all instances and those that are about to stop.
    fn publish_instances(&self, stopping: impl IntoIterator<Item = ListedInstance>) {
        let listed = self
            .instances
            .iter()
            .map(LocalInstance::listed)
            .chain(stopping);
        self.platform.set_instances(&listed.collect::<Vec<_>>());
    }

    async fn start_instance(
        &self,
        identity: Identity,
        cfg: TargetConfig,
    ) -> anyhow::Result<LocalInstance> {
        let target = Target::start(cfg.clone(), self.ledger.clone()).await?;
        start_instance(
            identity,
            cfg,
            target,
            self.platform.address(),
            self.features,
        )
    }

    /// Addresses at which the daemons of one service accept calls of callers.
    #[must_use]
    pub fn entries(&self, service: &str) -> Vec<SocketAddr> {
        self.instances_of(service)
            .map(|instance| instance.addresses.callers)
            .collect()
    }

    /// The instances of one service.
    pub fn instances_of(&self, service: &str) -> impl Iterator<Item = &LocalInstance> {
        self.instances
            .iter()
            .filter(move |instance| instance.identity.service.as_str() == service)
    }

    /// Stops all daemons gracefully and waits until they have ended.
    pub async fn stop(mut self) {
        let daemons: Vec<Daemon> = self
            .instances
            .iter_mut()
            .filter_map(LocalInstance::begin_stop)
            .collect();
        let _ = tokio::task::spawn_blocking(|| daemons.into_iter().for_each(Daemon::join)).await;
    }

    async fn wait_until_ready(&self, expected_peers: usize) {
        let caller = Caller::new();
        for instance in &self.instances {
            let url = format!("http://{}/status", instance.addresses.admin);
            while !is_ready_with_peers(&caller, &url, expected_peers).await {
                tokio::time::sleep(READY_POLL_INTERVAL).await;
            }
        }
    }
}

impl LocalInstance {
    /// Its entry in the instance list.
    #[must_use]
    pub fn listed(&self) -> ListedInstance {
        ListedInstance {
            id: self.identity.id.clone(),
            service: self.identity.service.clone(),
            data_centre: self.identity.data_centre.clone(),
            region: self.identity.region.clone(),
            callers: self.addresses.callers,
            mesh: self.addresses.mesh,
            control: self.addresses.control,
            state: ListedState::Live,
        }
    }

    fn begin_stop(&mut self) -> Option<Daemon> {
        // The daemon also stops when the sender is dropped.
        drop(self.stop.take());
        self.daemon.take()
    }
}

fn start_instance(
    identity: Identity,
    target_config: TargetConfig,
    target: Target,
    platform: SocketAddr,
    features: Features,
) -> anyhow::Result<LocalInstance> {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let settings = Settings {
        identity: identity.clone(),
        listen: Listen {
            callers: any_port,
            mesh: any_port,
            local: any_port,
            control: any_port,
            admin: any_port,
        },
        advertise: Advertise::default(),
        target: target.address(),
        platform: vec![platform],
        seeds: Vec::new(),
        fleet_size: 0,
        grace: Some(Duration::from_secs(5)),
        log_level: log::LevelFilter::Off,
        features,
    };
    let (stop, stopped) = oneshot::channel::<()>();
    let daemon = daemon::start(settings, async {
        let _ = stopped.await;
    })?;
    let addresses = daemon.addresses();
    target.set_egress(addresses.local);
    Ok(LocalInstance {
        identity,
        target,
        addresses,
        target_config,
        daemon: Some(daemon),
        stop: Some(stop),
    })
}

async fn is_ready_with_peers(caller: &Caller, url: &str, expected_peers: usize) -> bool {
    let Ok((_, body)) = caller.get(url).await else {
        return false;
    };
    let Ok(status) = serde_json::from_slice::<serde_json::Value>(&body) else {
        return false;
    };
    status["ready"] == true && status["peers"] == expected_peers
}
