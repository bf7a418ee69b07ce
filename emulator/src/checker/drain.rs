//! Tracks the endpoint lists that each process received, for the check on attempts to draining and removed backends in `attempts`.
use super::Checker;
use crate::network::LinkId;
use quillramp::types::EndpointStatus;
use quillramp_gateway::wire::{endpoints, http};
use std::collections::BTreeSet;

/// HTTP status of responses with an endpoint list.
const STATUS_OK: u16 = 200;

/// A connection from a process to the list service.
pub(super) struct DiscoveryConnection {
    process: usize,
    /// Received bytes that do not form a complete response yet.
    received: Vec<u8>,
}

impl Checker {
    /// Records that a process opened a connection to the list service.
    pub fn discovery_connected(&mut self, link: LinkId, process: usize) {
        self.discovery.insert(link, DiscoveryConnection { process, received: vec![] });
    }

    /// Processes bytes of the list service that arrived at a process.
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

    /// Records which backends are ready according to an endpoint list that a process received.
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
