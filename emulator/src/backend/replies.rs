//! What a backend replies.
use super::{Backend, Job};
use crate::context::Context;
use rand::Rng;

/// A reply that belongs to nothing.
pub(super) const SURPLUS_REPLY: &[u8] = b"*3\r\n$1\r\nx\r\n$-1\r\n$-1\r\n";
/// The reply to what is rejected.
pub(super) const BUSY_REPLY: &[u8] = b"-BUSY\r\n";
const ERROR_REPLY: &[u8] = b"-ERR failed\r\n";
/// Bytes of a value that is too long to be held complete.
const LONG_VALUE_BYTES: std::ops::Range<usize> = 66_000..120_000;
/// Where a long value is truncated at the earliest.
const MIN_TRUNCATED_BYTES: usize = 100;
const MALFORMED_REPLIES: [&[u8]; 5] =
    [b"*3\r\n$5\r\nab", b"noise\r\n", b"*3\r\n$3000000000\r\nxxxx", b"$5\r\nvalue\r\n", b"-what is this\r\n"];

impl Backend {
    /// The reply to a job that was executed: a value that names the request and the backend, or a faulty one.
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
