//! Reads the platform's instance list.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::Full;
use model::{DataCentre, ServiceName};
use serde::Deserialize;

use crate::body::Body;
use crate::error::Error;
use crate::transport::{HttpResult, Transport};

/// Maximum size of the list in bytes.
const MAX_LIST_BYTES: usize = 8 << 20;

/// Timeout for the head of the platform's response, and again for its body.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// An instance in the platform's list.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Instance {
    pub(crate) service: ServiceName,
    pub(crate) data_centre: DataCentre,
    /// Address that accepts calls from callers.
    pub(crate) callers: SocketAddr,
    state: State,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
enum State {
    Live,
    Leaving,
}

#[derive(Debug, Deserialize)]
struct List {
    instances: Vec<Instance>,
}

/// Reads the live instances from the first platform address that answers.
pub(crate) async fn read(
    transport: &Transport,
    platforms: &[SocketAddr],
) -> Result<Vec<Instance>, Error> {
    let mut last_error = Error::no_entry();
    for platform in platforms {
        match read_from(transport, *platform).await {
            Ok(instances) => return Ok(instances),
            Err(error) => last_error = error,
        }
    }
    Err(last_error)
}

async fn read_from(transport: &Transport, platform: SocketAddr) -> Result<Vec<Instance>, Error> {
    let req = Request::builder()
        .method(Method::GET)
        .uri(format!("http://{platform}/v1/instances"))
        .body(Full::new(Bytes::new()))
        .map_err(|cause| Error::instance_list(&cause))?;
    let HttpResult::Response(response) = transport.send(req, READ_TIMEOUT).await else {
        return Err(Error::instance_list(&format!("{platform} does not answer")));
    };
    if !response.status().is_success() {
        let status = response.status();
        return Err(Error::instance_list(&format!(
            "{platform} answered {status}"
        )));
    }
    let body = Body::new(response.into_body()).collect(MAX_LIST_BYTES);
    let body = match tokio::time::timeout(READ_TIMEOUT, body).await {
        Ok(Ok(body)) => body,
        Ok(Err(cause)) => return Err(Error::instance_list(&cause)),
        Err(cause) => return Err(Error::instance_list(&cause)),
    };
    let list: List = serde_json::from_slice(&body).map_err(|cause| Error::instance_list(&cause))?;
    let live = |instance: &Instance| instance.state == State::Live;
    Ok(list.instances.into_iter().filter(live).collect())
}
