//! The instances of a simulation: their starts, requests and steps.
use super::servers::role;
use super::{address, Port, Simulation, SimulationEvent};
use crate::scale::embedded::{ConnectionCommand, EmbeddedInstance, Services};
use crate::scale::error::ScaleError;
use quillramp_gateway::state::connection::ConnectionId;

/// Seconds from one machine to another, one way: within one zone.
pub(super) const LATENCY: f64 = 0.000_25;
/// Seconds in which what comes to an instance makes one batch: about what a wake-up takes.
const BATCH: f64 = 50e-6;
/// The ports that the services are listed with.
const COUNTER_PORT: u16 = 1;
const DISCOVERY_PORT: u16 = 2;

impl Simulation {
    pub(super) fn start(&mut self, slot: usize) -> Result<(), ScaleError> {
        let services = Services { counter: address(COUNTER_PORT), discovery: address(DISCOVERY_PORT) };
        let instance = EmbeddedInstance::new(self.events.now, &self.point, slot, services)?;
        self.slots[slot].instance = Some(instance);
        self.wake(slot, self.events.now);
        if self.point.requests > 0.0 {
            self.schedule_request(slot);
        }
        Ok(())
    }

    fn schedule_request(&mut self, slot: usize) {
        let gap = self.slots[slot].requests.next_gap();
        self.events.push(self.events.now + gap, SimulationEvent::Request(slot));
    }

    pub(super) fn request(&mut self, slot: usize) {
        let request = self.slots[slot].requests.next_request();
        if let Some(instance) = &mut self.slots[slot].instance {
            instance.request(&request);
        }
        self.wake(slot, self.events.now + BATCH);
        self.schedule_request(slot);
    }

    /// Calls the instance that a connection belongs to.
    pub(super) fn with_instance(&mut self, port: Port, action: impl FnOnce(&mut EmbeddedInstance)) {
        if let Some(instance) = &mut self.slots[port.instance].instance {
            action(instance);
        }
        self.wake(port.instance, self.events.now + BATCH);
    }

    fn wake(&mut self, slot: usize, at: f64) {
        if at < self.slots[slot].step_at {
            self.slots[slot].step_at = at;
            self.events.push(at, SimulationEvent::Step(slot));
        }
    }

    pub(super) fn step(&mut self, slot: usize) {
        let now = self.events.now;
        let state = &mut self.slots[slot];
        if state.step_at > now {
            return; // it was postponed since
        }
        state.step_at = f64::INFINITY;
        let Some(instance) = &mut state.instance else { return };
        let step = instance.step(now);
        for command in step.commands {
            self.execute(slot, command);
        }
        if let Some(next_at) = step.next_at {
            self.wake(slot, next_at.max(now));
        }
    }

    fn execute(&mut self, instance: usize, command: ConnectionCommand) {
        let port = |connection: ConnectionId| Port { instance, connection };
        let now = self.events.now;
        match command {
            ConnectionCommand::Connect(connection, _) => {
                if let Some(role) = role(connection) {
                    self.loads.of(role).count_connection();
                }
                self.events.push(now + 2.0 * LATENCY, SimulationEvent::Connected(port(connection)));
            }
            ConnectionCommand::Send(connection, bytes) => {
                if let Some(role) = role(connection) {
                    self.loads.of(role).count_received(bytes.len());
                    self.events.push(now + LATENCY, SimulationEvent::Serve(port(connection), bytes));
                }
            }
            ConnectionCommand::Close(connection) => {
                self.watches.retain(|watch| watch.port != port(connection));
            }
        }
    }
}
