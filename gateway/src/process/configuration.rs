//! The configuration of a gateway instance: the JSON file that the environment names.
use crate::wire::endpoints::EndpointList;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;

/// The environment variable that names the file.
pub const PATH_VARIABLE: &str = "EDGE_CONFIG";
/// The environment variable that names the admin address.
const ADMIN_VARIABLE: &str = "EDGE_MGMT";

/// The configuration.
#[derive(Deserialize)]
pub struct Configuration {
    /// The instance's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where the list service is.
    pub discovery: SocketAddr,
    /// The seed of all random draws, in hexadecimal in the file.
    #[serde(with = "hex")]
    pub seed: u64,
    /// What the instance may use of the machine.
    pub limits: Limits,
    /// Where datagrams of peers arrive.
    pub peer_listen: Option<SocketAddr>,
    /// The peers, one by one.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// One address that reaches all peers.
    #[serde(rename = "peers_all")]
    pub peer_broadcast: Option<SocketAddr>,
    /// Where the shared counter is.
    pub counter: Option<SocketAddr>,
    /// Where operators call; the environment may name it too.
    #[serde(rename = "mgmt")]
    pub admin_listen: Option<SocketAddr>,
    /// The backends that are known at the start.
    #[serde(rename = "known")]
    pub initial_endpoints: EndpointList,
    /// The settings of the decisions, which have a decoder of their own.
    pub settings: Box<RawValue>,
}

/// What the instance may use of the machine.
#[derive(Deserialize)]
pub struct Limits {
    /// Memory, in MiB.
    pub memory_mb: usize,
    /// File descriptors.
    pub sockets: usize,
}

mod hex {
    use serde::Deserialize;

    pub fn deserialize<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
        let text = String::deserialize(deserializer)?;
        u64::from_str_radix(&text, 16)
            .map_err(|error| serde::de::Error::custom(format!("seed '{text}': {error}")))
    }
}

/// Why there is no configuration.
#[derive(Debug, thiserror::Error)]
pub enum ConfigurationError {
    /// The environment names none.
    #[error("{PATH_VARIABLE} names no configuration file")]
    NoPath,
    /// The file can't be read.
    #[error("{path}: {source}")]
    Read {
        /// The file.
        path: String,
        /// The file system's error.
        source: std::io::Error,
    },
    /// The file can't be decoded.
    #[error("{path}: {source}")]
    Decode {
        /// The file.
        path: String,
        /// What is wrong with the JSON.
        source: serde_json::Error,
    },
    /// The environment's admin address can't be parsed.
    #[error("{ADMIN_VARIABLE}: '{0}' is no address")]
    AdminAddress(String),
}

/// Reads the file that the environment names.
pub fn read() -> Result<Configuration, ConfigurationError> {
    let path = std::env::var(PATH_VARIABLE).map_err(|_| ConfigurationError::NoPath)?;
    read_file(&path)
}

/// Reads this file.
pub fn read_file(path: &str) -> Result<Configuration, ConfigurationError> {
    let text =
        std::fs::read(path).map_err(|source| ConfigurationError::Read { path: path.into(), source })?;
    decode(&text).map_err(|source| ConfigurationError::Decode { path: path.into(), source })
}

/// Where operators call, if they may: as the environment has it, else as the file does.
pub fn admin_address(configuration: &Configuration) -> Result<Option<SocketAddr>, ConfigurationError> {
    match std::env::var(ADMIN_VARIABLE) {
        Ok(text) => text.parse().map(Some).map_err(|_| ConfigurationError::AdminAddress(text)),
        Err(_) => Ok(configuration.admin_listen),
    }
}

/// Decodes the text of a file.
pub fn decode(text: &[u8]) -> Result<Configuration, serde_json::Error> {
    serde_json::from_slice(text)
}
