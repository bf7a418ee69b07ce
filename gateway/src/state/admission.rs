//! Admission: notifies the controller of events on clients' connections, and carries out its verdicts.
use super::client_table::Client;
use super::connection::{CloseReason, ConnectionId};
use super::effect::Effect;
use super::log_message::LogMessage;
use super::reducer::Reducer;
use crate::wire::resp::ClientReply;
use quillramp_admission::{AdmissionController, CommandVerdict, ConnectionVerdict, Limits, OpenConnection};
use std::net::IpAddr;

impl Reducer {
    /// Replaces the admission limits, or removes them. Connections beyond the new limits stay open.
    pub(super) fn set_admission_limits(&mut self, now: f64, limits: Option<Limits>) {
        self.log(match (&self.admission, &limits) {
            (None, None) => return,
            (_, None) => LogMessage::AdmissionLimitsRemoved,
            (_, Some(Limits { connections, reserve, .. })) => {
                LogMessage::AdmissionLimits { connections: *connections, reserve: *reserve }
            }
        });
        match (&mut self.admission, limits) {
            (Some(admission), Some(limits)) => admission.set_limits(now, limits),
            (_, None) => self.admission = None,
            (None, Some(limits)) => self.admission = Some(self.new_admission_controller(now, limits)),
        }
    }

    /// Creates a controller with the client connections that are open now.
    fn new_admission_controller(&self, now: f64, limits: Limits) -> AdmissionController {
        let mut admission = AdmissionController::new(limits);
        for (id, client) in &self.clients.connections {
            let Some(from) = client.address else { continue };
            let pending = client.requests().filter_map(|request| self.requests.get(request));
            let customers = pending.map(|pending| pending.command.customer).collect();
            let open = OpenConnection {
                id: *id,
                from,
                has_sent_command: client.has_sent_command,
                pending: customers,
            };
            admission.add_open(now, open);
        }
        admission
    }

    /// Returns whether a new connection is accepted. A rejected client gets the reason, and its connection is closed.
    pub(super) fn admit_client(&mut self, now: f64, id: u64, address: IpAddr) -> bool {
        let Some(admission) = &mut self.admission else { return true };
        let verdict = admission.admit_connection(now, id, address);
        // The commands of this batch were counted when the controller did not have the connection yet.
        let command_count = self.clients.commands_in_batch.get(&id).copied().unwrap_or(0);
        admission.commands_read(id, command_count);
        match verdict {
            ConnectionVerdict::Accept => true,
            ConnectionVerdict::Replace(evicted) => {
                self.disconnect_client(evicted, CloseReason::DescriptorPressure);
                true
            }
            ConnectionVerdict::Reject(reason) => {
                self.clients.rejected_in_batch = true;
                self.effects.push(Effect::Reject { client: id, reason: reason.message() });
                self.close(ConnectionId::Client(id), CloseReason::Rejected);
                false
            }
        }
    }

    /// Returns the reply that rejects a command, or `None` if the command is admitted.
    pub(super) fn admit_command(&mut self, now: f64, id: u64, customer: u64) -> Option<ClientReply> {
        match self.admission.as_mut()?.admit_command(now, id, customer) {
            CommandVerdict::Accept => None,
            CommandVerdict::RetryAfter(seconds) => {
                Some(ClientReply::busy(self.instance.sends_retry_after.then_some(seconds)))
            }
        }
    }

    /// Returns the clients that sent no command within the time that the admission limits allow for the first one.
    pub(super) fn overdue_clients(&self, now: f64) -> Vec<u64> {
        let Some(admission) = &self.admission else { return vec![] };
        let has_sent_no_command = |client: &Client| client.is_answered() && !client.has_sent_command;
        let overdue = admission.overdue(now).into_iter();
        overdue.filter(|id| self.clients.connections.get(id).is_some_and(has_sent_no_command)).collect()
    }
}
