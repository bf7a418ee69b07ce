//! Tracks the starts, stalls, shutdown requests and ends of gateway processes, and checks the number of descriptors that they hold.
use super::client_connection::LostRequest;
use super::{Checker, Invariant, TOLERANCE};
use crate::network::LinkId;
use std::collections::{BTreeSet, HashMap};

/// Seconds after a shutdown request from which a request must not be pending when the shutdown timeout expires.
const SHUTDOWN_INTAKE: f64 = 0.7;

/// The state of a process as observed from outside.
#[derive(Default)]
pub(super) struct ProcessState {
    /// Whether the process was killed or has exited.
    pub ended: bool,
    /// Time at which the process was asked to shut down.
    pub shutdown_at: Option<f64>,
    /// End of the latest stall, 0 without a stall.
    pub stalled_until: f64,
    /// Names of each backend that are ready according to the endpoint lists that the process received, by the backend's index.
    pub ready_names: HashMap<usize, BTreeSet<String>>,
    /// Time since which none of a backend's names has been ready, by the backend's index.
    pub not_ready_since: HashMap<usize, f64>,
}

impl Checker {
    /// Records that a process started.
    pub fn process_started(&mut self, process: usize) {
        self.processes.entry(process).or_default();
    }

    /// Records that a process was killed. Its requests in flight no longer require a response.
    pub fn process_killed(&mut self, process: usize) {
        self.processes.entry(process).or_default().ended = true;
    }

    /// Records that a process was asked to shut down. Repeated shutdown requests have no effect.
    pub fn shutdown_requested(&mut self, now: f64, process: usize) {
        self.processes.entry(process).or_default().shutdown_at.get_or_insert(now);
    }

    /// Checks a process whose shutdown timeout has expired, before it is killed: requests that it received more than `SHUTDOWN_INTAKE`
    /// after the shutdown request are lost without a response.
    pub fn shutdown_timed_out(&mut self, now: f64, process: usize) {
        let Some(state) = self.processes.get(&process) else { return };
        let Some(shutdown_at) = state.shutdown_at.filter(|_| now > state.stalled_until + TOLERANCE) else {
            return;
        };
        let process_clients = self.clients.iter().filter(|(_, client)| client.process == process);
        let unanswered = process_clients.filter_map(|(link, client)| {
            let request = client.lost_request_since(shutdown_at + SHUTDOWN_INTAKE)?;
            Some((*link, request))
        });
        if let Some((link, LostRequest { id, received_at })) = unanswered.min_by_key(|(link, _)| *link) {
            let message = format!(
                "request {id:016x}, received at {received_at:.4} on connection {link}: the process was killed before it responded"
            );
            self.record_request_violation(Invariant::SingleResponse, now, id, message);
        }
    }

    /// Records that a process exited by itself, and checks that it leaves no request without a response.
    pub fn process_exited(&mut self, now: f64, process: usize) {
        let process_clients = self.clients.iter().filter(|(_, client)| client.process == process);
        let links: BTreeSet<LinkId> = process_clients.map(|(link, _)| *link).collect();
        for link in links {
            self.client_disconnected(now, link, true);
        }
        self.process_killed(process);
    }

    /// Records that a process is suspended until the time `until`.
    pub fn process_stalled(&mut self, until: f64, process: usize) {
        let stalled_until = &mut self.processes.entry(process).or_default().stalled_until;
        *stalled_until = stalled_until.max(until);
    }

    /// Checks the number of descriptors that the processes of a gateway instance hold together against the instance's limit.
    pub fn descriptors_in_use(&mut self, now: f64, instance: usize, in_use: usize, limit: usize) {
        self.coverage.descriptor_checks += u64::from(2 * in_use > limit);
        if in_use > limit {
            let message = format!("instance {instance} holds {in_use} descriptors, limit {limit}");
            self.record_violation(Invariant::DescriptorLimit, now, message);
        }
    }
}
