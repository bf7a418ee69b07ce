//! Input and output types of a [`Shard`](super::Shard).
use crate::fault_injection::InjectedFault;
use crate::shard_map::ShardId;

/// Id of a connection to the shard. The caller assigns it and never uses it for another connection.
pub type ConnectionId = u64;

/// Identity of a shard.
#[derive(Clone, Debug)]
pub struct ShardSettings {
    /// Id of the shard in the shard map.
    pub id: ShardId,
    /// Name of the shard's region.
    pub region: String,
    /// Incarnation of this process; higher for each later process of the shard.
    pub incarnation: u64,
    /// Fault for tests; `None` in production.
    #[doc(hidden)]
    pub injected_fault: Option<InjectedFault>,
}

/// Action that the caller must perform.
#[derive(Clone, Debug, PartialEq)]
pub enum ShardOutput {
    /// Write bytes to a connection.
    Send {
        /// The connection.
        connection: ConnectionId,
        /// Encoded frames.
        bytes: Vec<u8>,
    },
    /// Close a connection. The caller need not call `handle_disconnected`.
    Close {
        /// The connection.
        connection: ConnectionId,
    },
    /// Send bytes to another shard, without any guarantee of delivery.
    SendToPeer {
        /// Receiving shard.
        shard: ShardId,
        /// Encoded frames.
        bytes: Vec<u8>,
    },
}
