//! The replies of a backend.
use super::{Backend, Job};
use crate::context::Context;
use rand::Rng;

/// A reply that belongs to no request.
pub(super) const SURPLUS_REPLY: &[u8] = b"*3\r\n$1\r\nx\r\n$-1\r\n$-1\r\n";
/// The reply to a rejected request.
pub(super) const BUSY_REPLY: &[u8] = b"-BUSY\r\n";
/// The reply to a request that failed.
const ERROR_REPLY: &[u8] = b"-ERR failed\r\n";
/// Sizes in bytes of values that are too long for the gateway to buffer whole.
const LONG_VALUE_BYTES: std::ops::Range<usize> = 66_000..120_000;
/// Minimum length in bytes of a truncated reply.
const MIN_TRUNCATED_BYTES: usize = 100;
/// Replies that cannot be parsed.
const MALFORMED_REPLIES: [&[u8]; 5] =
    [b"*3\r\n$5\r\nab", b"noise\r\n", b"*3\r\n$3000000000\r\nxxxx", b"$5\r\nvalue\r\n", b"-what is this\r\n"];

impl Backend {
    /// Returns the reply to an executed job: a value that identifies request, customer and backend, an error, or a malformed reply.
    pub(super) fn build_reply(&self, ctx: &mut Context, job: &Job) -> Vec<u8> {
        if ctx.draw_bool(self.faults.errors) {
            return ERROR_REPLY.to_vec();
        }
        if ctx.draw_bool(self.faults.malformed_responses) {
            return MALFORMED_REPLIES[ctx.rng.gen_range(0..MALFORMED_REPLIES.len())].to_vec();
        }
        let Job { id, customer, units, .. } = job;
        let mut value = format!("{id:016x}:{customer:x}:{}.{}", self.index, self.incarnation).into_bytes();
        if job.long_value {
            value.resize(ctx.rng.gen_range(LONG_VALUE_BYTES), b'v');
        }
        let cost = format!("cost={units}");
        let mut reply = format!("*3\r\n${}\r\n", value.len()).into_bytes();
        reply.extend_from_slice(&value);
        reply.extend_from_slice(format!("\r\n${}\r\n{cost}\r\n$-1\r\n", cost.len()).as_bytes());
        if job.long_value && ctx.draw_bool(self.faults.truncated_values) {
            reply.truncate(ctx.rng.gen_range(MIN_TRUNCATED_BYTES..reply.len()));
        }
        if !job.long_value && ctx.draw_bool(self.faults.surplus_responses) {
            reply.extend_from_slice(SURPLUS_REPLY);
        }
        reply
    }
}
