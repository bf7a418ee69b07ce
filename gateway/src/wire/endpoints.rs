//! The endpoint list: the backends, in the list service's JSON.
use quillramp::types::EndpointStatus;
use serde::Deserialize;
use std::net::SocketAddr;

/// The endpoint list, or a change to it.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct EndpointList {
    /// The list's version.
    pub index: u64,
    /// Whether this is the complete list; else it is what changed.
    pub snapshot: bool,
    /// The backends.
    pub endpoints: Vec<ListedEndpoint>,
}

/// One backend on the list.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct ListedEndpoint {
    /// The backend's id.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The zone that it runs in.
    pub zone: String,
    /// The group that it belongs to, by index.
    pub group: usize,
    /// Whether it serves, drains or is gone.
    #[serde(with = "status")]
    pub status: EndpointStatus,
    /// Its weight in load balancing, relative to the others'.
    pub weight: f64,
    /// Since when it has had this status, in milliseconds since 1970.
    pub since_ms: f64,
}

mod status {
    use super::{Deserialize, EndpointStatus};

    pub fn deserialize<'de, D: serde::Deserializer<'de>>(
        deserializer: D,
    ) -> Result<EndpointStatus, D::Error> {
        match String::deserialize(deserializer)?.as_str() {
            "SERVING" => Ok(EndpointStatus::Ready),
            "DRAINING" => Ok(EndpointStatus::Draining),
            "DELETED" => Ok(EndpointStatus::Removed),
            other => Err(serde::de::Error::custom(format!("unknown status '{other}'"))),
        }
    }
}

/// A response of the list service that can't be used.
#[derive(Debug, thiserror::Error)]
pub enum EndpointListError {
    /// Its status is not 200.
    #[error("status {0}")]
    Status(u16),
    /// Its body can't be decoded.
    #[error("list: {0}")]
    Body(#[from] serde_json::Error),
}

/// Decodes the body of the list service's response.
pub fn decode(body: &[u8]) -> Result<EndpointList, EndpointListError> {
    Ok(serde_json::from_slice(body)?)
}
