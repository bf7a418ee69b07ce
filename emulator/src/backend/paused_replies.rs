//! Replies with long values that a backend writes in uneven parts.
use super::Backend;
use crate::context::Context;
use crate::network::{LinkId, Side};
use crate::scheduled_event::ScheduledEvent;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;

/// Range of the number of pauses within a reply.
const PAUSES: std::ops::RangeInclusive<usize> = 1..=3;
/// Range of the length of a pause, in seconds.
const PAUSE_SECONDS: std::ops::Range<f64> = 0.2..3.0;

/// A part of a reply, and the pause before it.
pub(super) struct ReplyPart {
    pause: f64,
    bytes: Vec<u8>,
    /// Whether the connection is closed after it.
    closes: bool,
}

/// Splits a reply with a long value into uneven parts. Returns one part without a pause if it is written at once.
/// `number` distinguishes the draws from those of other replies.
pub(super) fn split_reply(ctx: &Context, number: u64, mut bytes: Vec<u8>, closes: bool) -> Vec<ReplyPart> {
    // The draws are apart from those of the run, so that worlds without pauses are not changed.
    let mut rng = ChaCha8Rng::seed_from_u64(number);
    let mut pauses = 0;
    if rng.gen_bool(ctx.world.paused_values) {
        pauses = rng.gen_range(PAUSES);
    }
    let mut parts = vec![];
    for _ in 0..pauses {
        let rest = bytes.split_off(rng.gen_range(1..bytes.len()));
        // The rest is split again, so that parts are short near the end.
        parts.push(ReplyPart { pause: 0.0, bytes: std::mem::replace(&mut bytes, rest), closes: false });
        if bytes.len() < 2 {
            break;
        }
    }
    parts.push(ReplyPart { pause: 0.0, bytes, closes });
    for part in parts.iter_mut().skip(1) {
        part.pause = rng.gen_range(PAUSE_SECONDS);
    }
    parts
}

impl Backend {
    /// Adds parts to what is written to a connection.
    pub(super) fn queue_parts(&mut self, ctx: &mut Context, link: LinkId, parts: Vec<ReplyPart>) {
        let Some(connection) = self.connections.get_mut(&link) else { return };
        let is_idle = connection.parts.is_empty();
        connection.parts.extend(parts);
        if is_idle {
            self.schedule_part(ctx, link);
        }
    }

    fn schedule_part(&self, ctx: &mut Context, link: LinkId) {
        let next = self.connections.get(&link).and_then(|connection| connection.parts.front());
        if let Some(part) = next {
            let due = ScheduledEvent::ReplyPartDue { backend: self.index, link };
            ctx.schedule_in(part.pause, due);
        }
    }

    /// Writes the part of a reply whose pause has ended.
    pub fn reply_part_due(&mut self, ctx: &mut Context, link: LinkId) {
        let Some(connection) = self.connections.get_mut(&link) else { return };
        let Some(ReplyPart { bytes, closes, .. }) = connection.parts.pop_front() else { return };
        ctx.send(link, Side::Gateway, &bytes);
        if closes {
            return self.disconnect(ctx, link);
        }
        self.schedule_part(ctx, link);
    }
}

/// The parts that a connection has still to write.
pub(super) type ReplyParts = VecDeque<ReplyPart>;
