//! Admission: the controller is notified of what happens to clients' connections, and its verdicts are carried out.
use super::client_table::Client;
use super::connection::{CloseReason, ConnectionId};
use super::effect::Effect;
use super::log_message::LogMessage;
use super::reducer::Reducer;
use crate::wire::resp::ClientReply;
use quillramp_admission::{AdmissionController, CommandVerdict, ConnectionVerdict, Limits, OpenConnection};
use std::net::IpAddr;

impl Reducer {
    /// Limits from now on, or none. What is open above them stays.
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

    /// A controller that knows of the connections that are open already.
    fn new_admission_controller(&self, now: f64, limits: Limits) -> AdmissionController {
        let mut admission = AdmissionController::new(limits);
        for (id, client) in &self.clients.connections {
            let Some(from) = client.address else { continue };
            let pending = client.requests().filter_map(|request| self.requests.get(request));
            let unanswered = pending.map(|pending| pending.command.customer).collect();
            let open = OpenConnection { id: *id, from, has_spoken: client.has_sent_command, unanswered };
            admission.add_open(now, open);
        }
        admission
    }

    /// Whether a new connection is accepted. A client that is rejected gets the reason, and its connection ends.
    pub(super) fn admit_client(&mut self, now: f64, id: u64, address: IpAddr) -> bool {
        let Some(admission) = &mut self.admission else { return true };
        let verdict = admission.admit_connection(now, id, address);
        // What came with it in this batch was read before it was accepted.
        let unread = self.clients.commands_in_batch.get(&id).copied().unwrap_or(0);
        admission.commands_read(id, unread);
        match verdict {
            ConnectionVerdict::Accept => true,
            ConnectionVerdict::Replace(other) => {
                self.disconnect_client(other, CloseReason::DescriptorPressure);
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

    /// The reply to a command that may not be accepted now.
    pub(super) fn admit_command(&mut self, now: f64, id: u64, customer: u64) -> Option<ClientReply> {
        match self.admission.as_mut()?.admit_command(now, id, customer) {
            CommandVerdict::Accept => None,
            CommandVerdict::RetryAfter(seconds) => {
                let retry_after_ms = self.instance.sends_retry_after.then(|| (seconds * 1e3).ceil() as u64);
                Some(ClientReply::Busy { retry_after_ms })
            }
        }
    }

    /// Clients that have sent nothing for longer than they may.
    pub(super) fn overdue_clients(&self, now: f64) -> Vec<u64> {
        let Some(admission) = &self.admission else { return vec![] };
        let is_silent = |client: &Client| client.is_answered() && !client.has_sent_command;
        let overdue = admission.overdue(now).into_iter();
        overdue.filter(|id| self.clients.connections.get(id).is_some_and(is_silent)).collect()
    }
}
