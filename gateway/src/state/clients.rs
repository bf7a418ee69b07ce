//! Clients' commands, and the replies to them in the same order.
use super::client_table::{Client, PendingReply};
use super::connection::{CloseReason, ConnectionId};
use super::effect::Effect;
use super::reducer::Reducer;
use super::requests::{AttemptId, PendingRequest};
use super::validation::{validate, InvalidCommand, ValidCommand};
use crate::wire::resp::{ClientCommand, ClientReply, RequestCommand};
use quillramp::types::*;
use quillramp_broker::Grant;
use std::net::IpAddr;
use std::sync::Arc;

/// Identifies a command of a client.
#[derive(Clone, Copy)]
pub(super) struct CommandId {
    /// The client's connection.
    pub client: u64,
    /// The number of the command on that connection, from 0.
    pub number: u64,
}

impl Reducer {
    /// Handles a new client connection: registers it, or closes it if the instance is stopping or admission rejects it.
    pub(super) fn client_accepted(&mut self, now: f64, id: u64, address: IpAddr) {
        let has_commands = self.clients.commands_in_batch.contains_key(&id);
        let is_closing_clients = self.shutdown.is_draining && self.shutdown.is_stopping;
        if is_closing_clients && !self.config.inherited_listener && !has_commands {
            return self.close(ConnectionId::Client(id), CloseReason::Stopping);
        }
        if self.admit_client(now, id, address) {
            let client = Client { last_active: now, address: Some(address), ..Client::default() };
            self.clients.connections.insert(id, client);
            self.ensure_free_descriptor(now);
        }
    }

    /// Handles a command: accepts it as a request, or replies at once.
    pub(super) fn client_command(&mut self, now: f64, id: u64, command: ClientCommand) {
        let accepts_clients = self.accepts_clients();
        if let Some(admission) = &mut self.admission {
            admission.command_started(now, id);
        }
        let Some(client) = self.clients.connections.get_mut(&id) else { return };
        client.last_active = now;
        client.has_sent_command = true;
        client.partial_since = None;
        client.body_progress_at = None;
        client.has_late_command |= self.shutdown.rejects_busy_clients;
        let command_id = CommandId { client: id, number: client.next_command_number() };
        let reply = match command {
            ClientCommand::Ping if accepts_clients => ClientReply::Pong,
            ClientCommand::Ping => ClientReply::Error("draining".into()),
            ClientCommand::Auth(token) => self.authenticate_client(now, id, &token),
            ClientCommand::Invalid(error) => ClientReply::Error(error),
            ClientCommand::Dropped => ClientReply::busy(self.engine.retry_after_overload()),
            ClientCommand::OutOfMemory { operation } => self.reject_out_of_memory(&operation),
            ClientCommand::ProtocolError(error) => {
                client.has_protocol_error = true;
                ClientReply::Error(format!("protocol: {error}"))
            }
            ClientCommand::Request(command) => match self.request_command(now, command_id, *command) {
                Ok(()) => return,
                Err(reply) => reply,
            },
        };
        let client =
            self.clients.connections.get_mut(&id).expect("the connection is open during its command");
        client.pending_replies.push_back(PendingReply::Ready(reply));
        self.send_ready_replies(id);
    }

    /// Accepts a request, or returns the reply that rejects it.
    fn request_command(
        &mut self,
        now: f64,
        command_id: CommandId,
        command: RequestCommand,
    ) -> Result<(), ClientReply> {
        let valid = self.validate_request(&command).map_err(|error| ClientReply::Error(error.to_string()))?;
        if self.rejects_request_of(command_id.client) {
            self.stats.rejected[valid.operation] += 1;
            self.stats.rejected_while_draining += 1;
            return Err(ClientReply::busy(self.engine.retry_after_while_draining()));
        }
        if !self.admits_customer(now, command_id.client, command.customer) {
            self.stats.rejected[valid.operation] += 1;
            self.stats.rejected_new_customers += 1;
            return Err(ClientReply::busy(self.engine.retry_after_overload()));
        }
        let attributes = self.request_attributes(now, &command, &valid);
        match self.authorize(now, command_id.client, &command, &attributes) {
            Ok(grant) => {
                self.accept_request(now, command_id, command, attributes, grant);
                Ok(())
            }
            Err(reply) => {
                self.stats.rejected[attributes.operation] += 1;
                Err(reply)
            }
        }
    }

    /// Counts a request of this operation that was not stored for lack of memory; returns the reply to it.
    fn reject_out_of_memory(&mut self, operation: &[u8]) -> ClientReply {
        let mut operations = self.instance.operations.iter();
        if let Some(index) = operations.position(|known| known.name.as_bytes() == operation) {
            self.stats.rejected[index] += 1;
        }
        self.stats.rejected_out_of_memory += 1;
        ClientReply::busy(self.engine.retry_after_overload())
    }

    /// Checks a request against admission limits, the caller's token and the contracts between teams, in this order.
    /// Returns the grant of the contract, or the reply that rejects the request.
    fn authorize(
        &mut self,
        now: f64,
        client: u64,
        command: &RequestCommand,
        attributes: &RequestAttributes,
    ) -> Result<Option<Grant>, ClientReply> {
        if let Some(reply) = self.admit_command(now, client, command.customer) {
            return Err(reply);
        }
        let team = self.authorize_caller(now, client, attributes.operation, command);
        let granted = team.and_then(|team| self.request_grant(now, team, command, attributes));
        if granted.is_err() {
            if let Some(admission) = &mut self.admission {
                admission.command_answered(now, client, command.customer, false);
            }
        }
        granted
    }

    /// Returns what a command refers to, or why it is invalid.
    fn validate_request(&self, command: &RequestCommand) -> Result<ValidCommand, InvalidCommand> {
        let valid = validate(&self.instance, command)?;
        if self.requests.open_ids.contains(&command.id) {
            return Err(InvalidCommand::IdInUse);
        }
        Ok(valid)
    }

    /// Returns the attributes of a request for the policy engine.
    fn request_attributes(
        &mut self,
        now: f64,
        command: &RequestCommand,
        valid: &ValidCommand,
    ) -> RequestAttributes {
        let ValidCommand { operation, plan } = *valid;
        let customer = self.customers.intern(&command.customer);
        let instances = InstanceRange { first: command.first_instance, count: command.instance_count };
        // The limits declared now apply to this request, even if others are declared later.
        let class = self.routes.lookup(operation, plan, command.customer);
        let max_timeout = class.map_or(f64::INFINITY, |class| class.timeout);
        let deadline = (now + (command.timeout_ms / 1e3).min(max_timeout)).min(self.shutdown.answer_deadline);
        let limits = class.map(|class| class.request_limits).unwrap_or_default();
        let membership = self.membership.as_mut();
        let absent_fraction = membership.map_or(0.0, |membership| membership.absent_fraction(now, instances));
        RequestAttributes {
            operation,
            plan,
            customer,
            units: command.units,
            instances,
            deadline,
            absent_fraction,
            limits,
        }
    }

    fn accept_request(
        &mut self,
        now: f64,
        command_id: CommandId,
        command: RequestCommand,
        attributes: RequestAttributes,
        grant: Option<Grant>,
    ) {
        self.requests.open_ids.insert(command.id);
        let request = self.requests.slots.insert(PendingRequest {
            attributes,
            command: Arc::new(command),
            client: command_id.client,
            command_number: command_id.number,
            attempts: vec![],
            is_closed: false,
            timeout: None,
            streaming_attempt: None,
            is_forwarding: false,
            grant,
        });
        let client = self
            .clients
            .connections
            .get_mut(&command_id.client)
            .expect("the connection is open during its command");
        client.pending_replies.push_back(PendingReply::Request(request));
        self.route_request(now, request);
    }

    /// Sets the final answer to a request. It is sent once all earlier replies on the connection have been sent.
    pub(super) fn answer_request(&mut self, now: f64, request: RequestIndex, reply: ClientReply) {
        let reply = self.limit_waiting_value(request, reply);
        let Some(pending) = self.requests.get_open_mut(request) else { return };
        pending.is_closed = true;
        let has_value = matches!(reply, ClientReply::Value(_) | ClientReply::Streamed);
        let counts = match reply {
            ClientReply::Value(_) | ClientReply::Streamed => &mut self.stats.completed,
            ClientReply::Busy { .. } => &mut self.stats.rejected,
            _ => &mut self.stats.failed,
        };
        counts[pending.attributes.operation] += 1;
        let client_id = pending.client;
        if let Some(admission) = &mut self.admission {
            admission.command_answered(now, client_id, pending.command.customer, has_value);
        }
        let Some(client) = self.clients.connections.get_mut(&client_id) else { return };
        client.last_active = now;
        self.clients.waiting_value_bytes += reply.value_bytes();
        client.set_reply(pending.command_number, reply);
        self.send_ready_replies(client_id);
    }

    /// Returns the reply to a request, or an error in its place if it would have to wait for earlier replies and there is
    /// no memory for that.
    fn limit_waiting_value(&self, request: RequestIndex, reply: ClientReply) -> ClientReply {
        let Some(pending) = self.requests.get_open(request) else { return reply };
        let client = self.clients.connections.get(&pending.client);
        let waits = client.is_some_and(|client| client.next_request() != Some(request));
        let bytes = reply.value_bytes();
        if !waits
            || bytes == 0
            || self.clients.waiting_value_bytes + bytes <= self.config.max_waiting_value_bytes
        {
            return reply;
        }
        ClientReply::Error("reply discarded: too many replies wait for earlier ones".into())
    }

    /// Sends the replies that are next in order and ready; closes the connection after the last one if that is due.
    fn send_ready_replies(&mut self, id: u64) {
        let Some(client) = self.clients.connections.get_mut(&id) else { return };
        while let Some(reply) = client.take_ready_reply() {
            self.clients.waiting_value_bytes -= reply.value_bytes();
            self.effects.push(Effect::Reply { client: id, reply });
        }
        if let Some(request) = client.next_request() {
            self.forward_stream_in_turn(request);
        } else if client.has_protocol_error {
            self.disconnect_client(id, CloseReason::BadFraming);
            self.exit_if_done();
        } else if self.shutdown.is_draining || client.is_reading_stopped {
            self.shutdown.closing_clients.insert(id);
        }
    }

    /// Handles the end of a client's connection: closes its requests, and withdraws their attempts that are not written
    /// yet.
    pub(super) fn client_disconnected(&mut self, now: f64, id: u64) {
        let Some(client) = self.remove_client(id) else { return };
        for request in client.requests() {
            let Some(pending) = self.requests.get_mut(request) else { continue };
            pending.is_closed = true;
            let deadline = pending.attributes.deadline;
            for attempt in 0..pending.attempts.len() {
                self.withdraw_attempt(AttemptId { request, attempt });
            }
            self.engine.request_closed(now, request);
            self.time_out_stream_at(deadline.max(now), request);
            self.release_if_finished(request);
        }
        self.exit_if_done();
    }

    /// Removes and closes a client's connection.
    pub(super) fn disconnect_client(&mut self, id: u64, reason: CloseReason) {
        self.remove_client(id);
        self.close(ConnectionId::Client(id), reason);
    }

    /// Removes a client's connection from the table; returns it if it was there.
    pub(super) fn remove_client(&mut self, id: u64) -> Option<Client> {
        if let Some(admission) = &mut self.admission {
            admission.connection_closed(id);
        }
        let client = self.clients.connections.remove(&id)?;
        self.clients.waiting_value_bytes -= client.waiting_value_bytes();
        Some(client)
    }
}
