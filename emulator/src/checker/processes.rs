//! Follows the gateway's processes: starts, stalls, shutdown requests, ends, and the descriptors that they hold.
use super::{Checker, Invariant};
use crate::network::LinkId;
use std::collections::{BTreeSet, HashMap};

/// What is known of a process from outside.
#[derive(Default)]
pub(super) struct ProcessState {
    /// It was killed, or has exited.
    pub ended: bool,
    /// When it was asked to shut down.
    pub shutdown_requested: Option<f64>,
    /// It stood still until then.
    pub stalled_until: f64,
    /// By backend, the endpoint names that it knows to be ready.
    pub ready_names: HashMap<usize, BTreeSet<String>>,
    /// By backend, since when none of its names has been ready.
    pub not_ready_since: HashMap<usize, f64>,
}

impl Checker {
    /// A process starts.
    pub fn process_started(&mut self, process: usize) {
        self.processes.entry(process).or_default();
    }

    /// A process was killed: what it had in flight is not expected to be answered.
    pub fn process_killed(&mut self, process: usize) {
        self.processes.entry(process).or_default().ended = true;
    }

    /// A process was asked to shut down.
    pub fn shutdown_requested(&mut self, now: f64, process: usize) {
        self.processes.entry(process).or_default().shutdown_requested.get_or_insert(now);
    }

    /// A process has exited by itself: requests that it has not answered are lost.
    pub fn process_exited(&mut self, now: f64, process: usize) {
        let own_clients = self.clients.iter().filter(|(_, client)| client.process == process);
        let links: BTreeSet<LinkId> = own_clients.map(|(link, _)| *link).collect();
        for link in links {
            self.client_disconnected(now, link, true);
        }
        self.process_killed(process);
    }

    /// A process does nothing until then.
    pub fn process_stalled(&mut self, until: f64, process: usize) {
        let stalled_until = &mut self.processes.entry(process).or_default().stalled_until;
        *stalled_until = stalled_until.max(until);
    }

    /// The processes of one gateway instance together hold so many descriptors, of so many that they may.
    pub fn descriptors_in_use(&mut self, now: f64, instance: usize, in_use: usize, limit: usize) {
        self.coverage.descriptor_checks += u64::from(2 * in_use > limit);
        if in_use > limit {
            let message = format!("instance {instance} holds {in_use} descriptors and may hold {limit}");
            self.record_violation(Invariant::DescriptorLimit, now, message);
        }
    }
}
