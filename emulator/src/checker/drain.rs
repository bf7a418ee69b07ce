//! Follows what each process was notified of by the discovery service, for the check on draining and removed backends.
use super::Checker;
use crate::network::LinkId;
use quillramp::types::EndpointStatus;
use quillramp_gateway::wire::{endpoints, http};
use std::collections::BTreeSet;

/// HTTP status of a usable response.
const STATUS_OK: u16 = 200;

/// A connection from a process to the discovery service.
pub(super) struct DiscoveryConnection {
    process: usize,
    received: Vec<u8>,
}

impl Checker {
    /// A process opens a connection to the discovery service.
    pub fn discovery_connected(&mut self, link: LinkId, process: usize) {
        self.discovery.insert(link, DiscoveryConnection { process, received: vec![] });
    }

    /// These bytes of the discovery service have arrived at a process.
    pub fn discovery_bytes_received(&mut self, now: f64, link: LinkId, bytes: &[u8]) {
        let Some(connection) = self.discovery.get_mut(&link) else { return };
        let process = connection.process;
        connection.received.extend_from_slice(bytes);
        while let Ok(Some(decoded)) = http::decode_response(&connection.received) {
            connection.received.drain(..decoded.length);
            let response = decoded.value;
            let list = endpoints::decode(&response.body).ok().filter(|_| response.status == STATUS_OK);
            if let Some(list) = list {
                return self.endpoint_list_received(now, process, &list);
            }
        }
    }

    /// A process knows this endpoint list from now on.
    pub fn endpoint_list_received(&mut self, now: f64, process: usize, list: &endpoints::EndpointList) {
        let state = self.processes.entry(process).or_default();
        if list.snapshot {
            state.ready_names.values_mut().for_each(BTreeSet::clear);
        }
        for endpoint in &list.endpoints {
            let Some(&backend) = self.backend_names.get(&endpoint.name) else { continue };
            let names = state.ready_names.entry(backend).or_default();
            if endpoint.status == EndpointStatus::Ready {
                names.insert(endpoint.name.clone());
            } else {
                self.coverage.drain_checks += 1;
                names.remove(&endpoint.name);
            }
        }
        for (backend, names) in &state.ready_names {
            if names.is_empty() {
                state.not_ready_since.entry(*backend).or_insert(now);
            } else {
                state.not_ready_since.remove(backend);
            }
        }
    }
}
