//! Converts connection requests, received bytes and closed links to events of the reducer.
use super::connection::{Connection, DecodedInput};
use super::{GatewayProcess, OTHER_DESCRIPTORS};
use crate::context::Context;
use crate::network::{LinkId, Remote, Side};
use quillramp_gateway::state::connection::{CloseReason, ConnectionId};
use quillramp_gateway::state::event::Event;

impl GatewayProcess {
    /// Adds a connection from a client or an operator to the backlog, or resets it if the process does not accept connections.
    pub fn connect_requested(&mut self, ctx: &mut Context, link: LinkId) {
        if !self.alive || !self.accepting {
            return ctx.abort(link, Side::Gateway);
        }
        let valid_client = |link: &crate::network::Link| link.remote == Remote::Client && !link.malformed;
        if ctx.links.get(&link).is_some_and(valid_client) {
            ctx.checker.client_connected(ctx.now, link, self.index, false);
        }
        self.backlog.push_back(link);
        self.accept(ctx);
    }

    /// Accepts connections from the backlog while descriptors are available. Connections from operators are accepted regardless.
    pub(super) fn accept(&mut self, ctx: &mut Context) {
        while let Some(&id) = self.backlog.front() {
            let Some(link) = ctx.links.get(&id) else {
                self.backlog.pop_front();
                continue;
            };
            let out_of_descriptors = self.connections.len() + OTHER_DESCRIPTORS >= self.max_descriptors;
            if link.remote != Remote::Operator && out_of_descriptors {
                return self.report_exhaustion(ctx);
            }
            self.backlog.pop_front();
            self.accept_link(ctx, id);
        }
    }

    /// Notifies the reducer that no descriptor is available for a waiting connection, at most once per batch.
    fn report_exhaustion(&mut self, ctx: &mut Context) {
        if !self.inbox.iter().any(|event| matches!(event, Event::DescriptorsExhausted)) {
            self.deliver_event(ctx, Event::DescriptorsExhausted);
        }
    }

    /// Accepts the connection on a link, and decodes the bytes received before.
    fn accept_link(&mut self, ctx: &mut Context, id: LinkId) {
        self.accepted_connections += 1;
        let number = self.accepted_connections;
        let Some(link) = ctx.links.get_mut(&id) else { return };
        let (connection_id, event) = if link.remote == Remote::Operator {
            (ConnectionId::Admin(number), Event::AdminConnected(number))
        } else {
            (
                ConnectionId::Client(number),
                Event::ClientAccepted { client: number, address: link.client_address },
            )
        };
        link.connection = connection_id;
        if link.malformed {
            ctx.checker.client_connected(ctx.now, id, self.index, true);
        }
        let mut connection = Connection::new(id, connection_id, true);
        connection.received = self.backlog_bytes.remove(&id).unwrap_or_default();
        self.connections.insert(connection_id, connection);
        self.deliver_event(ctx, event);
        self.decode(ctx, connection_id);
    }

    /// Returns the id of the process's connection on a link.
    fn connection_on(&self, ctx: &Context, link: LinkId) -> Option<ConnectionId> {
        let id = ctx.links.get(&link)?.connection;
        self.connections.get(&id).filter(|connection| connection.link == link).map(|_| id)
    }

    /// Handles the acceptance or refusal of a connection that this process opened.
    pub fn connect_completed(&mut self, ctx: &mut Context, link: LinkId, accepted: bool) {
        let Some(id) = self.connection_on(ctx, link) else { return };
        if accepted {
            self.connections.get_mut(&id).expect("the connection was just found").established = true;
            return self.deliver_event(ctx, Event::Connected(id));
        }
        self.connection_failed(ctx, id, CloseReason::Refused, true);
    }

    /// Handles bytes that arrive on a link.
    pub fn bytes_received(&mut self, ctx: &mut Context, link: LinkId, bytes: &[u8]) {
        if !self.alive {
            return;
        }
        let id = self.connection_on(ctx, link);
        if id.is_some_and(|id| self.connections[&id].reading_stopped) {
            // These bytes stay in the kernel. The rules allow a close over a request that was not read: it resets the connection, and the
            // client sends the request again.
            return;
        }
        // For the checker, bytes from a client count as received when they reach the machine, even if the process has not read them.
        if ctx.links.get(&link).is_some_and(|link| link.remote == Remote::Client) {
            ctx.checker.client_bytes_received(ctx.now, link, bytes);
        }
        if self.backlog.contains(&link) {
            return self.backlog_bytes.entry(link).or_default().extend_from_slice(bytes);
        }
        let Some(id) = id else { return };
        match id {
            ConnectionId::Backend(_) => ctx.checker.backend_bytes_received(ctx.now, link, bytes),
            ConnectionId::Discovery(_) => ctx.checker.discovery_bytes_received(ctx.now, link, bytes),
            _ => {}
        }
        self.connections
            .get_mut(&id)
            .expect("the connection was just found")
            .received
            .extend_from_slice(bytes);
        self.decode(ctx, id);
    }

    /// Decodes all complete messages in the received bytes of a connection. Bytes that cannot be decoded end the connection.
    pub(super) fn decode(&mut self, ctx: &mut Context, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let mut input = DecodedInput::default();
        let decoded = if connection.reader.discard {
            Ok(connection.received.len())
        } else {
            connection.reader.decode(&connection.received, &mut input)
        };
        if let Ok(length) = decoded {
            connection.received.drain(..length);
        }
        let unsent = !connection.write_buffer.is_empty();
        if let Some(progress) = &mut connection.stream_progress {
            progress.record_received(ctx.now, input.streamed.len());
        }
        let stream_to = connection.stream_to;
        if input.stream_ended {
            connection.stream_to = None;
            connection.stream_progress = None;
        }
        self.forward_stream(ctx, stream_to, &mut input.streamed);
        for event in input.events {
            let event = self.altered_event(event);
            self.deliver_event(ctx, event);
        }
        if let Err(reason) = decoded {
            self.connection_failed(ctx, id, reason, unsent);
        }
    }

    /// Writes the bytes of a long value to its client.
    fn forward_stream(&mut self, ctx: &mut Context, to: Option<ConnectionId>, bytes: &mut Vec<u8>) {
        let Some(to) = to.filter(|_| !bytes.is_empty()) else { return };
        let Some(client) = self.connections.get_mut(&to) else { return };
        client.write_buffer.buffer().append(bytes);
        self.flush(ctx, to);
    }

    /// Handles a link that was reset or closed by the remote.
    pub fn link_closed(&mut self, ctx: &mut Context, link: LinkId, reset: bool) {
        self.backlog.retain(|waiting| *waiting != link);
        if let Some(id) = self.connection_on(ctx, link) {
            self.remote_closed(ctx, id, reset);
        }
        ctx.mark_closed(link, Side::Gateway);
    }

    /// Reports the end of a connection to the reducer, unless a long value has to be streamed before.
    fn remote_closed(&mut self, ctx: &mut Context, id: ConnectionId, reset: bool) {
        let connection = self.connections.get_mut(&id).expect("the connection was just found");
        if !reset && connection.reader.is_stream_pending() && !connection.received.is_empty() {
            // The bytes received before the close are streamed first.
            connection.remote_closed = true;
            return;
        }
        let reason = match (connection.established, reset) {
            (false, _) => CloseReason::Refused,
            (true, true) => CloseReason::Reset,
            (true, false) => CloseReason::Closed,
        };
        let unsent = !connection.write_buffer.is_empty();
        self.connection_failed(ctx, id, reason, unsent);
    }

    /// Removes a connection that the reducer did not ask to close, and notifies the reducer.
    pub(super) fn connection_failed(
        &mut self,
        ctx: &mut Context,
        id: ConnectionId,
        reason: CloseReason,
        unsent: bool,
    ) {
        let Some(connection) = self.connections.remove(&id) else { return };
        let by_gateway = reason == CloseReason::DescriptorPressure;
        self.report_closed(ctx, id, connection.link, by_gateway);
        ctx.close(connection.link, Side::Gateway);
        if let Some(progress) = connection.stream_progress {
            let stream = progress.interrupted(ctx.now);
            self.deliver_event(ctx, Event::StreamInterrupted { connection: id, stream });
        }
        self.deliver_event(ctx, Event::ConnectionEnded { connection: id, reason, unsent });
    }
}
