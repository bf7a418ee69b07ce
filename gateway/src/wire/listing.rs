//! The list of backends in the list service's JSON.
use quillramp::types::Standing;
use serde::Deserialize;
use std::net::SocketAddr;

#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Listing {
    pub index: u64,
    /// The whole list; else what changed.
    pub snapshot: bool,
    pub endpoints: Vec<Endpoint>,
}

#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Endpoint {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub group: usize,
    #[serde(with = "status")]
    pub status: Standing,
    pub weight: f64,
    pub since_ms: f64,
}

mod status {
    use super::{Deserialize, Standing};
    pub fn deserialize<'de, D: serde::Deserializer<'de>>(d: D) -> Result<Standing, D::Error> {
        match String::deserialize(d)?.as_str() {
            "SERVING" => Ok(Standing::Ready),
            "DRAINING" => Ok(Standing::Draining),
            "DELETED" => Ok(Standing::Gone),
            other => Err(serde::de::Error::custom(format!("unknown status '{other}'"))),
        }
    }
}

pub fn decode(body: &[u8]) -> Result<Listing, String> {
    serde_json::from_slice(body).map_err(|e| format!("list: {e}"))
}
