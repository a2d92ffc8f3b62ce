//! A daemon's view of the fleet, published for the data path.

use std::net::SocketAddr;
use std::sync::Arc;

use config::Index;
use derive_more::Display;
use model::{DataCentre, InstanceId, Region, ServiceName};

/// One instance as seen by this daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Identifier of the instance.
    pub id: InstanceId,
    /// Service that its target runs.
    pub service: ServiceName,
    /// Data centre that it runs in.
    pub data_centre: DataCentre,
    /// Region of that data centre.
    pub region: Region,
    /// Advertised address for callers outside the fleet.
    pub callers: SocketAddr,
    /// Advertised address for calls between daemons.
    pub mesh: SocketAddr,
    /// Advertised address for control messages between daemons.
    pub control: SocketAddr,
    /// Its state as believed by this daemon.
    pub standing: MemberStanding,
}

/// State of an instance as believed by one daemon.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberStanding {
    /// It is listed and not known to be failing or stopping.
    #[default]
    #[display("live")]
    Live,
    /// It failed direct and indirect probes, or this daemon can't reach it or its data centre.
    #[display("suspect")]
    Suspect,
    /// It is stopping: it finishes the calls that it runs and accepts no new ones.
    #[display("leaving")]
    Leaving,
    /// It was suspect and did not refute that in time.
    #[display("dead")]
    Dead,
}

/// An immutable snapshot of the configuration and the members. Changes publish a new one.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Index of the document in force, or `None` while the daemon is not ready.
    pub index: Option<Arc<Index>>,
    /// All listed instances, sorted by identifier.
    pub members: Arc<Vec<Member>>,
}
