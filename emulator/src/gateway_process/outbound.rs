//! Writes to connections and closes them.
use super::GatewayProcess;
use crate::context::Context;
use crate::network::{LinkId, Side};
use quillramp_gateway::state::connection::ConnectionId;

impl GatewayProcess {
    /// Flushes the write buffers of all connections.
    pub(super) fn flush_all(&mut self, ctx: &mut Context) {
        let unflushed = self.connections.iter().filter(|(_, connection)| !connection.write_buffer.is_empty());
        let unflushed: Vec<ConnectionId> = unflushed.map(|(id, _)| *id).collect();
        for id in unflushed {
            self.flush(ctx, id);
        }
    }

    /// Writes a connection's buffered bytes to the network; only half of them while backpressure is simulated on a backend link.
    pub(super) fn flush(&mut self, ctx: &mut Context, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let link_id = connection.link;
        let Some(link) = ctx.links.get(&link_id) else { return };
        let backpressure_until = link.backpressure_until;
        let limited = backpressure_until > ctx.now && matches!(id, ConnectionId::Backend(_));
        let buffered = connection.write_buffer.len();
        let length = if limited { buffered / 2 } else { buffered };
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

    /// Flushes a connection and closes it. Unsent bytes to a backend are discarded.
    pub(super) fn close(&mut self, ctx: &mut Context, id: ConnectionId) {
        // The socket layer does not send the buffered bytes of an abandoned attempt before the close either.
        if let (ConnectionId::Backend(_), Some(connection)) = (id, self.connections.get_mut(&id)) {
            connection.write_buffer.clear();
        }
        self.flush(ctx, id);
        let Some(connection) = self.connections.remove(&id) else { return };
        self.report_closed(ctx, id, connection.link, true);
        ctx.close(connection.link, Side::Gateway);
    }

    /// Reports the end of a connection to the checker.
    pub(super) fn report_closed(&self, ctx: &mut Context, id: ConnectionId, link: LinkId, by_gateway: bool) {
        match id {
            ConnectionId::Client(_) => ctx.checker.client_disconnected(ctx.now, link, by_gateway),
            ConnectionId::Backend(_) => ctx.checker.backend_disconnected(ctx.now, link, by_gateway),
            _ => {}
        }
    }
}
