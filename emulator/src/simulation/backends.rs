//! Backends start, crash and are replaced, and the endpoint list follows.
use super::Simulation;
use crate::addresses;
use crate::backend::Lifecycle;
use crate::discovery::EndpointEntry;
use crate::scheduled_event::ScheduledEvent;

/// Seconds until the backend that replaces another one has started at its address.
const REPLACEMENT_DELAY: f64 = 0.4;

impl Simulation<'_> {
    /// A backend's entry on the endpoint list, with that status.
    pub(super) fn endpoint_entry(&self, backend: usize, status: &'static str) -> EndpointEntry {
        let world = &self.scenario.world;
        EndpointEntry {
            name: self.backend_names[backend].clone(),
            address: addresses::backend(backend),
            zone: format!("z{}", backend % world.zones),
            cell: backend % world.cells,
            status,
            started: self.backends[backend].started.unwrap_or(0.0),
        }
    }

    /// Publishes a backend's status on the endpoint list.
    pub(super) fn publish_status(&mut self, backend: usize, status: &'static str) {
        let entry = self.endpoint_entry(backend, status);
        self.discovery.publish(&mut self.ctx, entry);
    }

    /// A backend's process starts, unless one has started since that incarnation.
    pub(super) fn start_backend(&mut self, backend: usize, incarnation: u64) {
        let state = &mut self.backends[backend];
        if state.incarnation != incarnation || state.lifecycle == Lifecycle::Up {
            return;
        }
        state.start(&mut self.ctx);
        self.publish_status(backend, "SERVING");
    }

    /// A backend's process crashes, or its machine becomes unresponsive; the next one starts after so many seconds.
    pub(super) fn fail_backend(&mut self, backend: usize, failure: Lifecycle, duration: f64) {
        let state = &mut self.backends[backend];
        if state.lifecycle != Lifecycle::Up {
            return;
        }
        state.stop(&mut self.ctx, failure);
        let incarnation = state.incarnation;
        self.ctx.schedule_in(duration, ScheduledEvent::BackendStarts { backend, incarnation });
    }

    /// A backend leaves the endpoint list and ends; another one takes its address under a new name.
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
