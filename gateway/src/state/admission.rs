//! Admission: the gate is told what happens to clients' connections, and what it says is carried out.
use super::event::{CloseReason, ConnectionId, Effect, OperatorUpdate};
use super::kept::Client;
use super::reducer::Reducer;
use crate::wire::resp::ClientReply;
use quillramp::types::RequestIndex;
use quillramp_admission::{AdmissionController, CommandVerdict, ConnectionVerdict, Limits, OpenConnection};
use std::net::IpAddr;

impl Reducer {
    /// What an operator's file says holds from now on. Invocations that were taken keep what they began under.
    pub fn apply_operator_update(&mut self, now: f64, declares: OperatorUpdate) {
        let OperatorUpdate { admission, routes, presence_interval: presence, broker, identity } = declares;
        self.set_trust(identity);
        self.set_contracts(now, broker);
        self.set_presence_interval(now, presence);
        if routes != self.routes {
            self.effects.push(Effect::Log(format!("limits declared: {routes}")));
            self.routes = routes;
        }
        self.set_admission_limits(now, admission);
    }

    /// Limits from now on, or none. What is open above them stays.
    pub fn set_admission_limits(&mut self, now: f64, limits: Option<Limits>) {
        let says = match (&self.admission, &limits) {
            (None, None) => return,
            (_, None) => "admission: no limits from now on".into(),
            (_, Some(l)) => {
                format!("admission: {} connections, {} kept for known addresses", l.connections, l.reserve)
            }
        };
        self.effects.push(Effect::Log(says));
        match (&mut self.admission, limits) {
            (Some(gate), Some(limits)) => gate.set_limits(now, limits),
            (_, None) => self.admission = None,
            (None, Some(limits)) => {
                // Who is here already is held too.
                let mut gate = AdmissionController::new(limits);
                for (id, client) in &self.clients {
                    let Some(from) = client.from else { continue };
                    let of = |inv: RequestIndex| self.requests[inv].as_ref().map(|h| h.call.customer);
                    let unanswered = client.owed.iter().filter_map(|(inv, _)| inv.and_then(of)).collect();
                    let open = OpenConnection { id: *id, from, has_spoken: client.said, unanswered };
                    gate.add_open(now, open);
                }
                self.admission = Some(gate);
            }
        }
    }

    /// Whether a connection that has just come is held. One that is not hears why, and ends.
    pub(super) fn admit_client(&mut self, now: f64, id: u64, from: IpAddr) -> bool {
        let gate = self.admission.as_mut();
        let verdict = gate.map_or(ConnectionVerdict::Accept, |gate| gate.admit_connection(now, id, from));
        // What came with it in this batch was read before it was held.
        let read = self.unread_commands.get(&id).copied().unwrap_or(0);
        self.admission.iter_mut().for_each(|gate| gate.commands_read(id, read));
        match verdict {
            ConnectionVerdict::Accept => true,
            ConnectionVerdict::Replace(other) => {
                self.disconnect_client(other, CloseReason::DescriptorPressure);
                true
            }
            ConnectionVerdict::Reject(reason) => {
                self.rejected_in_batch = true;
                self.effects.push(Effect::Reject(id, reason.message()));
                self.close(ConnectionId::Client(id), CloseReason::Rejected);
                false
            }
        }
    }

    /// What a client hears in place of an answer, where its command may not be taken now.
    pub(super) fn admit_command(&mut self, now: f64, id: u64, customer: u64) -> Option<ClientReply> {
        match self.admission.as_mut()?.admit_command(now, id, customer) {
            CommandVerdict::Accept => None,
            CommandVerdict::RetryAfter(seconds) => {
                let retry_after_ms = self.instance.sends_retry_after.then(|| (seconds * 1e3).ceil() as u64);
                Some(ClientReply::Busy { retry_after_ms })
            }
        }
    }

    /// Connections that say nothing for longer than they may.
    pub(super) fn overdue_clients(&self, now: f64) -> Vec<u64> {
        let overdue = self.admission.as_ref().map_or(vec![], |gate| gate.overdue(now));
        let free = |id: &u64| self.clients.get(id).is_some_and(|c| c.owed.is_empty() && !c.said);
        overdue.into_iter().filter(free).collect()
    }

    /// A client's connection is over.
    pub(super) fn remove_client(&mut self, id: u64) -> Option<Client> {
        if let Some(gate) = &mut self.admission {
            gate.connection_closed(id);
        }
        self.clients.remove(&id)
    }
}
