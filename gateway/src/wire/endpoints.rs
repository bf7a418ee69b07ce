//! Decoding of the endpoint list, which the list service sends as JSON.
use quillramp::types::EndpointStatus;
use serde::Deserialize;
use std::net::SocketAddr;

/// The complete endpoint list, or the endpoints that changed.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct EndpointList {
    /// Version of the list.
    pub index: u64,
    /// Whether `endpoints` is the complete list; otherwise it has only the endpoints that changed.
    pub snapshot: bool,
    /// The endpoints.
    pub endpoints: Vec<ListedEndpoint>,
}

/// A backend in the endpoint list.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct ListedEndpoint {
    /// Name of the backend.
    pub name: String,
    /// Address that the backend listens on.
    pub address: SocketAddr,
    /// Zone that the backend runs in.
    pub zone: String,
    /// Index of the cell that the backend belongs to.
    pub group: usize,
    /// Whether the backend is serving, draining or removed.
    #[serde(with = "status")]
    pub status: EndpointStatus,
    /// Relative weight in load balancing.
    pub weight: f64,
    /// Time of the last status change, in milliseconds since 1970.
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

/// Error of a response of the list service that can't be used.
#[derive(Debug, thiserror::Error)]
pub enum EndpointListError {
    /// The response's status code is not 200.
    #[error("unexpected HTTP status {0}")]
    Status(u16),
    /// The response's body is not a valid endpoint list.
    #[error("invalid endpoint list: {0}")]
    Body(#[from] serde_json::Error),
}

/// Decodes the body of a response of the list service.
pub fn decode(body: &[u8]) -> Result<EndpointList, EndpointListError> {
    Ok(serde_json::from_slice(body)?)
}
