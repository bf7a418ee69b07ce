//! RESP2: commands of clients, replies of backends, and what is sent to either.
mod arguments;
mod command;
mod extent;
mod framing;
mod reply;

pub use command::{decode_command, ClientCommand, RequestCommand};
pub use extent::{command_extent, Extent};
pub use reply::{
    decode_reply, decode_stream_head, decode_trailer, find_number, BackendReply, ClientReply, ReplyTrailer,
};

/// The longest value that is buffered in full, in bytes.
pub const MAX_BUFFERED_VALUE_BYTES: usize = 64 * 1024;
/// The longest value of all, in bytes: a reply of this size is streamed, a request's body waits for capacity.
pub const MAX_VALUE_BYTES: usize = 4 * 1024 * 1024;
/// The longest line, its line feed included, in bytes.
const MAX_LINE_BYTES: usize = 1024;
/// The longest message, long bodies apart, in bytes: a value, and the short items around it.
pub const MAX_MESSAGE_BYTES: usize = MAX_BUFFERED_VALUE_BYTES + 4 * MAX_LINE_BYTES;
