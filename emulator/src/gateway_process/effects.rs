//! Applies the reducer's effects as the socket layer does.
use super::connection::Connection;
use super::{Addresses, GatewayProcess, ProcessRequest};
use crate::context::Context;
use crate::network::Remote;
use crate::scheduled_event::ScheduledEvent;
use quillramp::types::Idempotency;
use quillramp_gateway::state::connection::{CloseReason, ConnectionId};
use quillramp_gateway::state::effect::Effect;
use quillramp_gateway::state::event::Event;
use quillramp_gateway::state::stream_progress::StreamProgress;
use quillramp_gateway::wire::admin::AdminResponse;
use quillramp_gateway::wire::resp::{ClientReply, RequestCommand};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Seconds from the effect that requests the exit to the process's next run, which checks whether it can exit.
const EXIT_CHECK_INTERVAL: f64 = 0.01;

impl GatewayProcess {
    /// Applies an effect. Returns a request if the effect concerns neither the process nor the network.
    pub(super) fn apply_effect(
        &mut self,
        ctx: &mut Context,
        addresses: &Addresses,
        effect: Effect,
    ) -> Option<ProcessRequest> {
        match effect {
            Effect::Reply { client, reply } => self.respond(ctx, client, reply),
            Effect::Reject { client, reason } => self.reject(ctx, client, reason),
            Effect::SendAttempt { connection, attempt, request, timeout_ms } => {
                self.send_attempt(ctx, connection, attempt, &request, timeout_ms)
            }
            Effect::Withdraw { connection, attempt } => self.withdraw(ctx, connection, attempt),
            Effect::AdminRespond { connection, response } => self.respond_to_operator(connection, &response),
            Effect::SaveChange { call, change } => return Some(ProcessRequest::SaveChange { call, change }),
            Effect::AnnounceDescriptorLimit(limit) => {
                return Some(ProcessRequest::AnnounceDescriptorLimit(limit));
            }
            Effect::CloseIfIdle { client, reason } => self.close_if_idle(ctx, client, reason),
            Effect::StopReading(client) => self.stop_reading(client),
            Effect::Stream { connection, client } => self.start_stream(ctx, connection, client),
            Effect::CloseSilentStream { min_silence } => self.close_silent_stream(ctx, min_silence),
            Effect::HttpRequest { connection, request } => {
                if let Some(connection) = self.connections.get_mut(&connection) {
                    request.encode(self.own_address, connection.write_buffer.buffer());
                }
            }
            Effect::Connect { connection, address } => self.connect(ctx, addresses, connection, address),
            Effect::Close(id) => self.close(ctx, id),
            Effect::SendDatagram { to, body } => self.send_datagram(ctx, addresses, to, &body),
            Effect::Log(message) => {
                self.discard_late_input(&message);
                self.log(ctx, &message.to_string());
            }
            Effect::LogClosed(closed) => self.log(ctx, &closed.to_string()),
            Effect::StopAccepting => self.accepting = false,
            Effect::Exit => {
                self.exiting = true;
                self.wake(ctx, ctx.now + EXIT_CHECK_INTERVAL);
            }
            Effect::ExitImmediately => return Some(ProcessRequest::Exit),
        }
        None
    }

    fn log(&self, ctx: &mut Context, line: &str) {
        let line = format!("instance {} [{}]: {line}", self.instance, self.index);
        ctx.trace.record_line(ctx.now, &line);
    }

    fn respond(&mut self, ctx: &mut Context, client: u64, response: ClientReply) {
        let dropped = self.drops_response(ctx);
        let duplicated = self.duplicates_response(ctx);
        let response = self.altered_response(response);
        let connection = self.connections.get_mut(&ConnectionId::Client(client));
        let Some(connection) = connection.filter(|_| !dropped) else { return };
        response.encode(connection.write_buffer.buffer());
        if duplicated {
            response.encode(connection.write_buffer.buffer());
        }
    }

    fn respond_to_operator(&mut self, connection: u64, response: &AdminResponse) {
        if let Some(connection) = self.connections.get_mut(&ConnectionId::Admin(connection)) {
            response.encode(connection.write_buffer.buffer());
        }
    }

    fn stop_reading(&mut self, client: u64) {
        if let Some(connection) = self.connections.get_mut(&ConnectionId::Client(client)) {
            connection.reading_stopped = true;
        }
    }

    fn reject(&mut self, ctx: &mut Context, client: u64, reason: &'static str) {
        let Some(connection) = self.connections.get_mut(&ConnectionId::Client(client)) else { return };
        let known_address = ctx.links.get(&connection.link).is_some_and(|link| link.known_address);
        ctx.checker.connection_rejected(ctx.now, connection.link, known_address, reason);
        ClientReply::Error(reason.into()).encode(connection.write_buffer.buffer());
    }

    fn send_attempt(
        &mut self,
        ctx: &mut Context,
        connection: u64,
        attempt: u64,
        request: &RequestCommand,
        timeout_ms: u64,
    ) {
        let idempotency = self.idempotency.get(request.operation());
        let non_idempotent = idempotency == Some(&Idempotency::NonIdempotent);
        let duplicated = non_idempotent && self.duplicates_attempt(ctx);
        let Some(connection) = self.connections.get_mut(&ConnectionId::Backend(connection)) else { return };
        connection.reply_due_at = ctx.now + timeout_ms as f64 / 1e3;
        connection.write_buffer.append(attempt, |buffer| {
            request.encode(timeout_ms, buffer);
            if duplicated {
                request.encode(timeout_ms, buffer);
            }
        });
    }

    fn withdraw(&mut self, ctx: &mut Context, connection: u64, attempt: u64) {
        let open = self.connections.get_mut(&ConnectionId::Backend(connection));
        if open.is_some_and(|open| open.write_buffer.withdraw(attempt)) {
            self.deliver_event(ctx, Event::Withdrawn { connection, attempt });
        }
    }

    fn close_if_idle(&mut self, ctx: &mut Context, client: u64, reason: CloseReason) {
        let id = ConnectionId::Client(client);
        let is_read = |connection: &Connection| connection.reading_stopped || connection.received.is_empty();
        let all_read = self.connections.get(&id).is_some_and(is_read);
        let has_queued_command = self
            .inbox
            .iter()
            .any(|event| matches!(event, Event::ClientCommand { client: sender, .. } if *sender == client));
        if all_read && !has_queued_command {
            self.close(ctx, id);
            self.deliver_event(ctx, Event::IdleClientClosed { client, reason });
        }
    }

    /// Closes the connection whose long value has not moved for the longest time, if that is at least `min_silence` seconds.
    fn close_silent_stream(&mut self, ctx: &mut Context, min_silence: f64) {
        let silence = |connection: &Connection| Some(connection.stream_progress?.silence(ctx.now));
        let streams =
            self.connections.iter().filter_map(|(id, connection)| Some((silence(connection)?, *id)));
        let longest = streams.max_by(|(silence, id), (other_silence, other)| {
            silence.total_cmp(other_silence).then(other.cmp(id))
        });
        if let Some((_, id)) = longest.filter(|(silence, _)| *silence >= min_silence) {
            self.connection_failed(ctx, id, CloseReason::DescriptorPressure, false);
        }
    }

    /// Starts to stream a long value to a client, or to read and discard it if `client` is `None`.
    fn start_stream(&mut self, ctx: &mut Context, backend: u64, client: Option<u64>) {
        let id = ConnectionId::Backend(backend);
        let connection = self.connections.get_mut(&id);
        let Some(length) = connection.and_then(|connection| connection.reader.start_streaming()) else {
            return;
        };
        let recipient =
            client.map(ConnectionId::Client).filter(|recipient| self.connections.contains_key(recipient));
        if let Some(client) = recipient.and_then(|recipient| self.connections.get_mut(&recipient)) {
            client.write_buffer.buffer().extend_from_slice(format!("${length}\r\n").as_bytes());
        }
        let connection = self.connections.get_mut(&id).expect("the connection was just used");
        connection.stream_to = recipient;
        connection.stream_progress = recipient.map(|_| StreamProgress::start(ctx.now, length));
        self.decode(ctx, id);
        let ended = |open: &Connection| open.remote_closed && !open.reader.is_stream_pending();
        if self.connections.get(&id).is_some_and(ended) {
            self.connection_failed(ctx, id, CloseReason::Closed, false);
        }
    }

    fn connect(&mut self, ctx: &mut Context, addresses: &Addresses, id: ConnectionId, to: SocketAddr) {
        let remote = addresses.remotes.get(&to).copied().unwrap_or(Remote::Unreachable);
        let link = ctx.open_link(self.index, id, remote);
        match (id, remote) {
            (ConnectionId::Backend(_), Remote::Backend(backend)) => {
                ctx.checker.backend_connected(link, backend)
            }
            (ConnectionId::Discovery(_), _) => ctx.checker.discovery_connected(link, self.index),
            _ => {}
        }
        self.connections.insert(id, Connection::new(link, id, false));
        let delay = ctx.draw_delay();
        ctx.schedule_in(delay, ScheduledEvent::ConnectRequested(link));
    }

    fn send_datagram(&self, ctx: &mut Context, addresses: &Addresses, to: SocketAddr, body: &[u8]) {
        let broadcast = addresses.broadcast == Some(to);
        let recipients = addresses.instances.iter().filter(|(address, _)| broadcast || **address == to);
        let instances: BTreeSet<usize> = recipients.map(|(_, instance)| *instance).collect();
        for instance in instances.into_iter().filter(|instance| *instance != self.instance) {
            if !ctx.draw_bool(ctx.datagram_loss) {
                let delay = ctx.draw_delay();
                let from = self.own_address;
                let datagram = ScheduledEvent::DatagramArrived { instance, from, body: body.to_vec() };
                ctx.schedule_in(delay, datagram);
            }
        }
    }
}
