//! The configuration of a gateway instance: a JSON file that an environment variable names.
use crate::wire::endpoints::EndpointList;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;

/// Environment variable with the path of the configuration file.
pub const PATH_VARIABLE: &str = "EDGE_CONFIG";
/// Environment variable with the address for operators' calls.
const ADMIN_VARIABLE: &str = "EDGE_MGMT";

/// The contents of the configuration file.
#[derive(Deserialize)]
pub struct Configuration {
    /// Name of the instance.
    pub name: String,
    /// Address that clients connect to.
    pub listen: SocketAddr,
    /// Address of the list service.
    pub discovery: SocketAddr,
    /// Seed of the random number generator; hexadecimal in the file.
    #[serde(with = "hex")]
    pub seed: u64,
    /// Limits on the resources that the instance uses.
    pub limits: Limits,
    /// Address that gossip of peers is received on; `None` to receive none.
    pub peer_listen: Option<SocketAddr>,
    /// Addresses of the peers.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Address that reaches all peers.
    #[serde(rename = "peers_all")]
    pub peer_broadcast: Option<SocketAddr>,
    /// Address of the shared counter; `None` if there is none.
    pub counter: Option<SocketAddr>,
    /// Address for operators' calls; see [`admin_address`].
    #[serde(rename = "mgmt")]
    pub admin_listen: Option<SocketAddr>,
    /// Endpoint list at the start, used until the list service responds.
    #[serde(rename = "known")]
    pub initial_endpoints: EndpointList,
    /// Settings of the policy engine, which decodes them itself.
    pub settings: Box<RawValue>,
}

/// Limits on the resources that the instance uses.
#[derive(Deserialize)]
pub struct Limits {
    /// Maximum memory, in MiB.
    pub memory_mb: usize,
    /// Maximum number of file descriptors.
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

/// Error of reading the configuration.
#[derive(Debug, thiserror::Error)]
pub enum ConfigurationError {
    /// The environment variable is not set.
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
        /// The decoder's error.
        source: serde_json::Error,
    },
    /// The environment variable for operators' calls has no valid address.
    #[error("{ADMIN_VARIABLE}: expected an IP address and a port, found '{0}'")]
    AdminAddress(String),
}

/// Reads the file that the environment variable names.
pub fn read() -> Result<Configuration, ConfigurationError> {
    let path = std::env::var(PATH_VARIABLE).map_err(|_| ConfigurationError::NoPath)?;
    read_file(&path)
}

/// Reads the file at a path.
pub fn read_file(path: &str) -> Result<Configuration, ConfigurationError> {
    let text =
        std::fs::read(path).map_err(|source| ConfigurationError::Read { path: path.into(), source })?;
    decode(&text).map_err(|source| ConfigurationError::Decode { path: path.into(), source })
}

/// Returns the address for operators' calls: that of the environment variable if it is set, otherwise that of
/// the file, if any.
pub fn admin_address(configuration: &Configuration) -> Result<Option<SocketAddr>, ConfigurationError> {
    match std::env::var(ADMIN_VARIABLE) {
        Ok(text) => text.parse().map(Some).map_err(|_| ConfigurationError::AdminAddress(text)),
        Err(_) => Ok(configuration.admin_listen),
    }
}

/// Decodes the text of a configuration file.
pub fn decode(text: &[u8]) -> Result<Configuration, serde_json::Error> {
    serde_json::from_slice(text)
}
