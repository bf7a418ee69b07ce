//! Codec of RESP2, the protocol of clients and backends: commands and replies, decoded and encoded.
mod arguments;
mod command;
mod extent;
mod framing;
mod reply;

pub use command::{decode_command, ClientCommand, RequestCommand};
pub use extent::{command_extent, command_timeout_ms, has_begun_body, Extent};
pub use reply::{
    decode_reply, decode_stream_head, decode_trailer, find_number, BackendReply, ClientReply, ReplyTrailer,
};

/// Maximum length of a value that is buffered in full, in bytes.
pub const MAX_BUFFERED_VALUE_BYTES: usize = 64 * 1024;
/// Maximum length of a value, in bytes. Above `MAX_BUFFERED_VALUE_BYTES`, a reply's value is streamed and a
/// request's body waits for memory.
pub const MAX_VALUE_BYTES: usize = 4 * 1024 * 1024;
/// Maximum length of a line, including its line feed, in bytes.
const MAX_LINE_BYTES: usize = 1024;
/// Maximum length of a message without a long body, in bytes: one value and the short items around it.
pub const MAX_MESSAGE_BYTES: usize = MAX_BUFFERED_VALUE_BYTES + 4 * MAX_LINE_BYTES;
