//! Starts, fails and replaces backends, and publishes their status on the endpoint list.
use super::Simulation;
use crate::addresses;
use crate::backend::Lifecycle;
use crate::discovery::EndpointEntry;
use crate::scheduled_event::ScheduledEvent;

/// Seconds after which the replacement of a backend starts at the same address.
const REPLACEMENT_DELAY: f64 = 0.4;

impl Simulation<'_> {
    /// Returns a backend's entry on the endpoint list, with the given status.
    pub(super) fn endpoint_entry(&self, backend: usize, status: &'static str) -> EndpointEntry {
        let world = &self.scenario.world;
        EndpointEntry {
            name: self.backend_names[backend].clone(),
            address: addresses::backend(backend),
            zone: format!("z{}", backend % world.zones),
            cell: backend % world.cells,
            status,
            started_at: self.backends[backend].started_at.unwrap_or(0.0),
        }
    }

    /// Publishes a backend's status on the endpoint list.
    pub(super) fn publish_status(&mut self, backend: usize, status: &'static str) {
        let entry = self.endpoint_entry(backend, status);
        self.discovery.publish(&mut self.ctx, entry);
    }

    /// Starts a process of a backend, unless one runs or has started since the given incarnation.
    pub(super) fn start_backend(&mut self, backend: usize, incarnation: u64) {
        let state = &mut self.backends[backend];
        if state.incarnation != incarnation || state.lifecycle == Lifecycle::Up {
            return;
        }
        state.start(&mut self.ctx);
        self.publish_status(backend, "SERVING");
    }

    /// Crashes a backend's process, or makes its machine unresponsive. A new process starts after `duration` seconds.
    pub(super) fn fail_backend(&mut self, backend: usize, failure: Lifecycle, duration: f64) {
        let state = &mut self.backends[backend];
        if state.lifecycle != Lifecycle::Up {
            return;
        }
        state.stop(&mut self.ctx, failure);
        let incarnation = state.incarnation;
        self.ctx.schedule_in(duration, ScheduledEvent::BackendStarts { backend, incarnation });
    }

    /// Removes a backend from the endpoint list and stops its process. The replacement has a new name and the same address.
    pub(super) fn replace_backend(&mut self, backend: usize) {
        self.publish_status(backend, "DELETED");
        let state = &mut self.backends[backend];
        if state.lifecycle == Lifecycle::Up {
            state.stop(&mut self.ctx, Lifecycle::Crashed);
        }
        let incarnation = state.incarnation;
        let name = format!("s{backend}.{}", incarnation + 1);
        self.ctx.checker.backend_names.insert(name.clone(), backend);
        self.backend_names[backend] = name;
        let start = ScheduledEvent::BackendStarts { backend, incarnation };
        self.ctx.schedule_in(REPLACEMENT_DELAY, start);
    }
}
