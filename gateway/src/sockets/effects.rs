//! Carries out the effects that the reducer returns.
use super::connection::Connection;
use super::driver::{Batch, Driver};
use crate::state::connection::{CloseReason, ClosedConnection, ConnectionId};
use crate::state::effect::Effect;
use crate::state::event::Event;
use crate::wire::admin::AdminResponse;
use crate::wire::resp::ClientReply;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// The error that takes the place of a value for which there is no memory, because its client and others do not read
/// their replies.
const REPLY_DISCARDED: &str = "reply discarded: too many replies are not read";

impl Driver {
    /// Carries out an effect; output that it writes is flushed at the end of the batch.
    pub(super) fn carry_out(&self, effect: Effect, batch: &mut Batch) {
        match effect {
            Effect::Reply { client, reply } => self.reply(client, &reply, batch),
            Effect::Reject { client, reason } => self.reject(client, reason, batch),
            Effect::SendAttempt { connection, attempt, request, timeout_ms } => {
                self.write(ConnectionId::Backend(connection), batch, |connection| {
                    connection.write_buffer.borrow_mut().append_request(attempt, &request, timeout_ms);
                })
            }
            Effect::Withdraw { connection, attempt } => self.withdraw(connection, attempt),
            Effect::AdminRespond { connection, response } => self.respond(connection, &response, batch),
            Effect::SaveChange { call, change } => {
                if let Some(store) = &self.store {
                    store.write(call, change);
                }
            }
            Effect::AnnounceDescriptorLimit(limit) => {
                self.store.iter().for_each(|store| store.announce_descriptor_limit(limit))
            }
            Effect::Stream { connection, client } => self.stream(connection, client, batch),
            Effect::CloseSilentStream { min_silence } => self.close_silent_stream(min_silence, batch),
            Effect::StopReading(client) => self.stop_reading(client),
            Effect::CloseIfIdle { client, reason } => self.close_if_idle(client, reason, batch),
            Effect::HttpRequest { connection, request } => self.write(connection, batch, |connection| {
                request.encode(connection.peer, connection.write_buffer.borrow_mut().buffer())
            }),
            Effect::Connect { connection, address } => self.connect(connection, address),
            Effect::Close(id) => self.close(id, batch),
            Effect::SendDatagram { to, body } => self.gossip.iter().for_each(|gossip| gossip.send(to, &body)),
            Effect::Log(message) => tracing::info!("{message}"),
            Effect::LogClosed(closed) => log_closed(&closed),
            Effect::StopAccepting => self.stop_accepting(),
            Effect::Exit => self.exit_after_flush(batch),
            Effect::ExitImmediately => batch.exits_after_flush = true,
        }
    }

    /// Calls `encode` to write to the connection's buffer, if the connection is open; the buffer is flushed
    /// at the end of the batch.
    fn write(&self, id: ConnectionId, batch: &mut Batch, encode: impl FnOnce(&Arc<Connection>)) {
        if self.connections.with(id, |connection| encode(connection)).is_some() {
            batch.written.push(id);
        }
    }

    fn reply(&self, client: u64, reply: &ClientReply, batch: &mut Batch) {
        self.write(ConnectionId::Client(client), batch, |connection| {
            let discarded = ClientReply::Error(REPLY_DISCARDED.into());
            let fits = reply.value_bytes() == 0 || !connection.lacks_memory_for_reply(reply.value_bytes());
            let reply = if fits { reply } else { &discarded };
            let mut write_buffer = connection.write_buffer.borrow_mut();
            reply.encode(write_buffer.buffer());
            connection.count_output(&write_buffer);
            drop(write_buffer);
            connection.command_answered();
        });
    }

    fn reject(&self, client: u64, reason: &str, batch: &mut Batch) {
        let reply = ClientReply::Error(reason.into());
        self.write(ConnectionId::Client(client), batch, |connection| {
            reply.encode(connection.write_buffer.borrow_mut().buffer());
        });
    }

    fn respond(&self, operator: u64, response: &AdminResponse, batch: &mut Batch) {
        self.write(ConnectionId::Admin(operator), batch, |connection| {
            response.encode(connection.write_buffer.borrow_mut().buffer());
            connection.mark_operator_answered();
        });
    }

    fn stop_reading(&self, client: u64) {
        self.connections.with(ConnectionId::Client(client), |connection| connection.stop_reading());
    }

    fn stop_accepting(&self) {
        self.stop_accepting.store(true, Ordering::Relaxed);
        self.context.wake_acceptors();
    }

    fn withdraw(&self, backend: u64, attempt: u64) {
        let withdrawn = self.connections.with(ConnectionId::Backend(backend), |connection| {
            connection.write_buffer.borrow_mut().withdraw(attempt)
        });
        if withdrawn == Some(true) {
            self.context.events.push(Event::Withdrawn { connection: backend, attempt });
        }
    }

    /// Streams the pending value of a backend's connection to a client, or discards it if `client` is `None`.
    fn stream(&self, backend: u64, client: Option<u64>, batch: &mut Batch) {
        let client = client.map(ConnectionId::Client);
        let streamed = self.connections.with(ConnectionId::Backend(backend), |source| {
            let target = client.and_then(|id| self.connections.with(id, |connection| connection.clone()));
            source.stream_to(target);
        });
        if streamed.is_some() {
            batch.written.extend(client);
        }
    }

    /// Closes the backend's connection whose streamed value has not moved for the longest time, if that is at least
    /// `min_silence` seconds.
    fn close_silent_stream(&self, min_silence: f64, batch: &mut Batch) {
        let longest = self.connections.most_silent_stream();
        let Some((id, connection)) = longest.filter(|(_, connection)| {
            connection.stream_silence().is_some_and(|silence| silence >= min_silence)
        }) else {
            return;
        };
        connection.discard_stream_output();
        if let Some(stream) = connection.interrupted_stream() {
            self.context.events.push(Event::StreamInterrupted { connection: id, stream });
        }
        self.close(id, batch);
        let reason = CloseReason::DescriptorPressure;
        self.context.events.push(Event::ConnectionEnded { connection: id, reason, unsent: false });
    }

    /// Closes a client's connection unless it has unread input or unwritten output. Such input is read and
    /// answered first, and such output is written first, after which the reducer checks the connection again.
    fn close_if_idle(&self, client: u64, reason: CloseReason, batch: &mut Batch) {
        let id = ConnectionId::Client(client);
        let idle = self
            .connections
            .with(id, |connection| !connection.has_unread_input() && connection.flush_or_report_later());
        if idle == Some(true) {
            self.close(id, batch);
            self.context.events.push(Event::IdleClientClosed { client, reason });
        }
    }

    fn connect(&self, id: ConnectionId, address: SocketAddr) {
        match Connection::connect(id, address, &self.context) {
            Ok(connection) => self.connections.insert(id, connection),
            Err(error) => {
                tracing::warn!("connecting to {address} failed: {error}");
                let reason = CloseReason::Refused;
                self.context.events.push(Event::ConnectionEnded { connection: id, reason, unsent: true });
            }
        }
    }

    fn close(&self, id: ConnectionId, batch: &mut Batch) {
        if let Some(connection) = self.connections.remove(id) {
            connection.close();
            if matches!(id, ConnectionId::Client(_)) && !connection.is_flushed() {
                batch.closing.push(connection);
            }
        }
    }
}

fn log_closed(closed: &ClosedConnection) {
    let ClosedConnection { kind, id, name, reason, .. } = closed;
    tracing::info!(connection = kind, id, name, why = reason.code(), "{closed}");
}
