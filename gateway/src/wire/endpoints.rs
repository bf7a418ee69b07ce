//! The list of backends in the list service's JSON.
use quillramp::types::EndpointStatus;
use serde::Deserialize;
use std::net::SocketAddr;

#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct EndpointList {
    pub index: u64,
    /// The whole list; else what changed.
    pub snapshot: bool,
    pub endpoints: Vec<ListedEndpoint>,
}

#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct ListedEndpoint {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub group: usize,
    #[serde(with = "status")]
    pub status: EndpointStatus,
    pub weight: f64,
    pub since_ms: f64,
}

mod status {
    use super::{Deserialize, EndpointStatus};
    pub fn deserialize<'de, D: serde::Deserializer<'de>>(d: D) -> Result<EndpointStatus, D::Error> {
        match String::deserialize(d)?.as_str() {
            "SERVING" => Ok(EndpointStatus::Ready),
            "DRAINING" => Ok(EndpointStatus::Draining),
            "DELETED" => Ok(EndpointStatus::Removed),
            other => Err(serde::de::Error::custom(format!("unknown status '{other}'"))),
        }
    }
}

pub fn decode(body: &[u8]) -> Result<EndpointList, String> {
    serde_json::from_slice(body).map_err(|e| format!("list: {e}"))
}
