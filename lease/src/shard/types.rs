//! What the caller of a [`Shard`](super::Shard) passes in and gets out.
use crate::fault_injection::InjectedFault;
use crate::shard_map::ShardId;

/// Identifies a connection to the shard; chosen by the caller, never used twice.
pub type ConnectionId = u64;

/// Identity of a shard.
#[derive(Clone, Debug)]
pub struct ShardSettings {
    /// Its number in the shard map.
    pub id: ShardId,
    /// Name of its region.
    pub region: String,
    /// This process; grows with each start.
    pub incarnation: u64,
    /// For tests only.
    #[doc(hidden)]
    pub injected_fault: Option<InjectedFault>,
}

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum ShardOutput {
    /// Write bytes to a connection.
    Send {
        /// The connection.
        connection: ConnectionId,
        /// Complete frames.
        bytes: Vec<u8>,
    },
    /// Close a connection; no `handle_disconnected` is expected.
    Close {
        /// The connection.
        connection: ConnectionId,
    },
    /// Send bytes to another shard; they may be lost.
    SendToPeer {
        /// The other shard.
        shard: ShardId,
        /// Complete frames.
        bytes: Vec<u8>,
    },
}
