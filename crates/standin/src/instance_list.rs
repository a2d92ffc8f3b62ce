//! The instance list as the platform serves it.

use std::net::SocketAddr;

use bytes::Bytes;
use model::{DataCentre, InstanceId, Region, ServiceName};
use serde::{Deserialize, Serialize};

/// State of an instance in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// It accepts calls.
    #[default]
    Live,
    /// It is to receive no more calls.
    Leaving,
}

/// An entry of the instance list, with the addresses that the daemon advertises.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Its id.
    pub id: InstanceId,
    /// Its service.
    pub service: ServiceName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its region.
    pub region: Region,
    /// Where its daemon accepts calls of callers.
    pub callers: SocketAddr,
    /// Where its daemon accepts calls of other daemons.
    pub mesh: SocketAddr,
    /// Where its daemon accepts control messages.
    pub control: SocketAddr,
    /// Whether it accepts calls.
    pub state: ListedState,
}

#[derive(Serialize)]
struct ListBody<'a> {
    version: u64,
    instances: &'a [ListedInstance],
}

/// Serializes the list as the body of a response.
pub(crate) fn list_bytes(version: u64, instances: &[ListedInstance]) -> Bytes {
    let list = ListBody { version, instances };
    // Serialization can't fail: every field has a JSON representation.
    serde_json::to_vec(&list).unwrap_or_default().into()
}
