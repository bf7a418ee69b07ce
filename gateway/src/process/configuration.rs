//! What a front door is told at its start, from the JSON file that the environment names.
use crate::wire::endpoints::EndpointList;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;

pub const PATH_VARIABLE: &str = "EDGE_CONFIG";
const MGMT: &str = "EDGE_MGMT";

#[derive(Deserialize)]
pub struct Configuration {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    #[serde(with = "hex")]
    pub seed: u64,
    pub limits: Limits,
    pub peer_listen: Option<SocketAddr>,
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    pub peers_all: Option<SocketAddr>,
    pub counter: Option<SocketAddr>,
    /// Where operators call; the environment may name it too.
    pub mgmt: Option<SocketAddr>,
    pub known: EndpointList,
    /// What the decisions are given on the bench too.
    pub settings: Box<RawValue>,
}

#[derive(Deserialize)]
pub struct Limits {
    pub memory_mb: usize,
    pub sockets: usize,
}

mod hex {
    use serde::Deserialize;
    pub fn deserialize<'de, D: serde::Deserializer<'de>>(d: D) -> Result<u64, D::Error> {
        let text = String::deserialize(d)?;
        u64::from_str_radix(&text, 16).map_err(|e| serde::de::Error::custom(format!("seed '{text}': {e}")))
    }
}

/// Reads it, or says plainly what is wrong.
pub fn read() -> Result<Configuration, String> {
    let path =
        std::env::var(PATH_VARIABLE).map_err(|_| format!("{PATH_VARIABLE} names no configuration file"))?;
    let text = std::fs::read(&path).map_err(|e| format!("{path}: {e}"))?;
    decode(&text).map_err(|e| format!("{path}: {e}"))
}

/// Where operators call, if they may: as the environment has it, else as the file does.
pub fn admin_address(told: &Configuration) -> Result<Option<SocketAddr>, String> {
    match std::env::var(MGMT) {
        Ok(text) => text.parse().map(Some).map_err(|_| format!("{MGMT}: '{text}' is no address")),
        Err(_) => Ok(told.mgmt),
    }
}

pub fn decode(text: &[u8]) -> Result<Configuration, String> {
    serde_json::from_slice(text).map_err(|e| e.to_string())
}
