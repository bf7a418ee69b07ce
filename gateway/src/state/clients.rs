//! Clients: their commands in, their answers out in the same order.
use super::event::{CloseReason, ConnectionId, Effect};
use super::kept::*;
use super::reducer::Reducer;
use crate::wire::resp::{ClientCommand, ClientReply, RequestCommand};
use quillramp::settings::{InstanceSettings, OfferedOperation};
use quillramp::types::*;
use quillramp_broker::Grant;
use std::sync::Arc;

impl Reducer {
    pub(super) fn command(&mut self, now: f64, id: u64, command: ClientCommand) {
        let takes = self.takes_clients();
        if let Some(gate) = &mut self.admission {
            gate.command_started(now, id);
        }
        let Some(client) = self.clients.get_mut(&id) else { return };
        (client.used, client.said, client.half, client.grown) = (now, true, None, None);
        let no = client.first + client.owed.len() as u64;
        let answer = match command {
            ClientCommand::Ping if takes => ClientReply::Pong,
            ClientCommand::Ping => ClientReply::Error("draining".into()),
            ClientCommand::Auth(token) => self.authenticated(now, id, &token),
            ClientCommand::Invalid(why) => ClientReply::Error(why),
            ClientCommand::Dropped => ClientReply::Busy { retry_after_ms: None },
            ClientCommand::ProtocolError(why) => {
                client.broken = true;
                ClientReply::Error(format!("protocol: {why}"))
            }
            ClientCommand::Request(call) => match self.ask(now, &call) {
                Ok(ask) => match self.may_ask(now, id, call.customer) {
                    None => match self.contracted(now, (id, &call), &ask) {
                        Ok(grant) => return self.take(now, (id, no), *call, ask, grant),
                        Err(answer) => {
                            self.stats.rejected[ask.operation] += 1;
                            answer
                        }
                    },
                    Some(later) => {
                        self.stats.rejected[ask.operation] += 1;
                        later
                    }
                },
                Err(why) => ClientReply::Error(why),
            },
        };
        self.clients.get_mut(&id).expect("checked").owed.push_back((None, Some(answer)));
        self.answer_in_order(id);
    }

    pub(super) fn ask(&mut self, now: f64, call: &RequestCommand) -> Result<RequestAttributes, String> {
        let InstanceSettings { operations, plans, instances: doors, max_units: most_units, .. } =
            &self.instance;
        let operation = operations.iter().position(|o| o.name.as_bytes() == call.operation());
        let operation = operation.ok_or("unknown operation")?;
        let plan = plans.iter().position(|p| p.as_bytes() == call.plan()).ok_or("unknown plan")?;
        let OfferedOperation { idempotency: effect, timeout, .. } = operations[operation];
        if call.idempotent != (effect == quillramp::types::Idempotency::Idempotent) {
            return Err(
                "not by this command: CALL.GET is for what may be repeated, CALL.POST for all else".into()
            );
        }
        if call.first_instance >= *doors || !(1..=*doors).contains(&call.instance_count) {
            return Err("first and spread: no such front doors".into());
        }
        if call.units <= 0.0 || call.units > *most_units {
            return Err(format!("units: expected more than 0, and {most_units} at the most"));
        }
        let longest = (timeout * 1e3).ceil();
        if call.timeout_ms < 1.0 || call.timeout_ms > longest {
            return Err(format!("d: expected 1 to {longest} ms"));
        }
        if self.open_request_ids.contains(&call.id) {
            return Err("id: an invocation under it is open".into());
        }
        let customer = self.customers.intern(&call.customer);
        let of = InstanceRange { first: call.first_instance, count: call.instance_count };
        // Taken under what is declared now, and kept under it whatever is declared later.
        let held = self.routes.lookup(operation, plan, call.customer);
        let longest = held.map_or(f64::INFINITY, |h| h.timeout);
        let until = (now + (call.timeout_ms / 1e3).min(longest)).min(self.shutdown_deadline);
        let declared = held.map(|h| h.request_limits).unwrap_or_default();
        let absent = self.presence.as_mut().map_or(0.0, |r| r.absent(now, of));
        Ok(RequestAttributes {
            operation,
            plan,
            customer,
            units: call.units,
            instances: of,
            deadline: until,
            absent_fraction: absent,
            limits: declared,
        })
    }

    pub(super) fn take(
        &mut self,
        now: f64,
        (client, command): (u64, u64),
        call: RequestCommand,
        ask: RequestAttributes,
        grant: Option<Grant>,
    ) {
        let call = Arc::new(call);
        self.open_request_ids.insert(call.id);
        let (deliveries, closed, ends, begun, passes) = (vec![], false, None, None, false);
        let inv = self.requests.insert(Held {
            ask,
            call,
            client,
            command,
            deliveries,
            closed,
            ends,
            begun,
            passes,
            grant,
        });
        self.clients.get_mut(&client).expect("checked").owed.push_back((Some(inv), None));
        self.place(now, inv);
    }

    /// The final answer; it goes out once all before it on the connection have.
    pub(super) fn answer(&mut self, now: f64, inv: RequestIndex, answer: ClientReply) {
        let Some(held) = self.requests[inv].as_mut().filter(|h| !h.closed) else { return };
        held.closed = true;
        let counts = match answer {
            ClientReply::Value(_) | ClientReply::Streamed => &mut self.stats.completed,
            ClientReply::Busy { .. } => &mut self.stats.rejected,
            _ => &mut self.stats.failed,
        };
        counts[held.ask.operation] += 1;
        let (id, command) = (held.client, held.command);
        if let Some(gate) = &mut self.admission {
            let well = matches!(answer, ClientReply::Value(_) | ClientReply::Streamed);
            gate.command_answered(now, id, held.call.customer, well);
        }
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.used = now;
        let place = command.checked_sub(client.first).and_then(|i| client.owed.get_mut(i as usize));
        if let Some(place) = place {
            *place = (None, Some(answer));
        }
        self.answer_in_order(id);
    }

    pub(super) fn answer_in_order(&mut self, id: u64) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        while let Some((_, Some(_))) = client.owed.front() {
            let answer = client.owed.pop_front().and_then(|(_, a)| a).expect("checked");
            client.first += 1;
            self.effects.push(Effect::Reply(id, answer));
        }
        let next = client.owed.front().and_then(|(inv, _)| *inv);
        if let Some(inv) = next {
            self.pass_on(inv);
        } else if client.owed.is_empty() && client.broken {
            self.no_client(id);
            self.close(ConnectionId::Client(id), CloseReason::BadFraming);
            self.exit_when_done();
        } else if client.owed.is_empty() && (self.draining || client.muted) {
            self.closing_clients.insert(id);
        }
    }

    pub(super) fn client_gone(&mut self, now: f64, id: u64) {
        let Some(client) = self.no_client(id) else { return };
        for inv in client.owed.into_iter().filter_map(|(inv, _)| inv) {
            if let Some(held) = self.requests[inv].as_mut() {
                held.closed = true;
                let deliveries = held.deliveries.len();
                for delivery in 0..deliveries {
                    self.withdraw(inv, delivery);
                }
                self.engine.request_closed(now, inv);
                self.release(inv);
            }
        }
        self.exit_when_done();
    }
}
