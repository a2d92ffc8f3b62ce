//! The instance list as the platform gives it.

use std::net::SocketAddr;

use bytes::Bytes;
use model::{DataCentre, InstanceId, Region, ServiceName};
use serde::{Deserialize, Serialize};

/// State of an instance in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// It takes work.
    #[default]
    Live,
    /// It is to take no more work.
    Leaving,
}

/// One entry of the instance list, with the advertised addresses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// The instance.
    pub id: InstanceId,
    /// Its service.
    pub service: ServiceName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its region.
    pub region: Region,
    /// Where its daemon takes callers.
    pub callers: SocketAddr,
    /// Where its daemon takes other daemons' calls.
    pub mesh: SocketAddr,
    /// Where its daemon takes control messages.
    pub control: SocketAddr,
    /// Whether it takes work.
    pub state: ListedState,
}

#[derive(Serialize)]
struct ListAnswer<'a> {
    version: u64,
    instances: &'a [ListedInstance],
}

/// The list as it is answered.
pub(crate) fn list_bytes(version: u64, instances: &[ListedInstance]) -> Bytes {
    let list = ListAnswer { version, instances };
    // Every field of the list has a text form.
    serde_json::to_vec(&list).unwrap_or_default().into()
}
