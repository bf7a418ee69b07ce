//! What a process writes, and how it closes connections.
use super::GatewayProcess;
use crate::context::Context;
use crate::network::{LinkId, Side};
use quillramp_gateway::state::connection::ConnectionId;

impl GatewayProcess {
    /// Writes what waits on any connection.
    pub(super) fn flush_all(&mut self, ctx: &mut Context) {
        let waiting = self.connections.iter().filter(|(_, connection)| !connection.write_buffer.is_empty());
        let waiting: Vec<ConnectionId> = waiting.map(|(id, _)| *id).collect();
        for id in waiting {
            self.flush(ctx, id);
        }
    }

    /// Writes what waits on a connection, as far as the network takes it.
    pub(super) fn flush(&mut self, ctx: &mut Context, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let link_id = connection.link;
        let Some(link) = ctx.links.get(&link_id) else { return };
        let backpressure_until = link.backpressure_until;
        let limited = backpressure_until > ctx.now && matches!(id, ConnectionId::Backend(_));
        let waiting = connection.write_buffer.len();
        let length = if limited { waiting / 2 } else { waiting };
        let bytes = connection.write_buffer.bytes()[..length].to_vec();
        connection.write_buffer.consume(length);
        if limited {
            self.wake(ctx, backpressure_until);
        }
        if bytes.is_empty() {
            return;
        }
        ctx.trace.record_bytes(&bytes);
        match id {
            ConnectionId::Client(_) => ctx.checker.response_bytes_written(ctx.now, link_id, &bytes),
            ConnectionId::Backend(_) => {
                ctx.checker.request_bytes_written(ctx.now, link_id, self.index, &bytes)
            }
            _ => {}
        }
        ctx.send(link_id, Side::Remote, &bytes);
    }

    /// Closes a connection; what was written before is sent first, as far as the network takes it.
    pub(super) fn close(&mut self, ctx: &mut Context, id: ConnectionId) {
        // Nothing of an attempt that was given up is sent with the close, as on sockets.
        if let (ConnectionId::Backend(_), Some(connection)) = (id, self.connections.get_mut(&id)) {
            connection.write_buffer.clear();
        }
        self.flush(ctx, id);
        let Some(connection) = self.connections.remove(&id) else { return };
        self.report_closed(ctx, id, connection.link, true);
        ctx.close(connection.link, Side::Gateway);
    }

    /// Tells the checker of the end of a connection.
    pub(super) fn report_closed(&self, ctx: &mut Context, id: ConnectionId, link: LinkId, by_gateway: bool) {
        match id {
            ConnectionId::Client(_) => ctx.checker.client_disconnected(ctx.now, link, by_gateway),
            ConnectionId::Backend(_) => ctx.checker.backend_disconnected(ctx.now, link),
            _ => {}
        }
    }
}
