//! The instances of a simulation: starts, requests, steps and connection commands.
use super::servers::server_role;
use super::{address, ConnectionKey, Simulation, SimulationEvent};
use crate::scale::embedded::{ConnectionCommand, EmbeddedInstance, ServiceAddresses};
use crate::scale::error::ScaleError;
use quillramp_gateway::state::connection::ConnectionId;

/// One-way network latency in seconds between two machines of one zone.
pub(super) const ONE_WAY_LATENCY_SECONDS: f64 = 0.000_25;
/// Seconds from the first input of a batch until the instance processes it; about the time of a thread's wake-up.
const BATCH_SECONDS: f64 = 50e-6;
/// Port of the counter's address.
const COUNTER_PORT: u16 = 1;
/// Port of the list service's address.
const DISCOVERY_PORT: u16 = 2;

impl Simulation {
    pub(super) fn start(&mut self, slot: usize) -> Result<(), ScaleError> {
        let services =
            ServiceAddresses { counter: address(COUNTER_PORT), discovery: address(DISCOVERY_PORT) };
        let instance = EmbeddedInstance::new(self.events.now, &self.point, slot, services)?;
        self.slots[slot].instance = Some(instance);
        self.schedule_step(slot, self.events.now);
        if self.point.requests > 0.0 {
            self.schedule_request(slot);
        }
        Ok(())
    }

    fn schedule_request(&mut self, slot: usize) {
        let delay = self.slots[slot].requests.next_interarrival_seconds();
        self.events.push(self.events.now + delay, SimulationEvent::Request(slot));
    }

    pub(super) fn request(&mut self, slot: usize) {
        let request = self.slots[slot].requests.next_request();
        if let Some(instance) = &mut self.slots[slot].instance {
            instance.request(&request);
        }
        self.schedule_step(slot, self.events.now + BATCH_SECONDS);
        self.schedule_request(slot);
    }

    /// Calls `action` with the instance that a connection belongs to, and schedules its next step.
    pub(super) fn with_instance(&mut self, key: ConnectionKey, action: impl FnOnce(&mut EmbeddedInstance)) {
        if let Some(instance) = &mut self.slots[key.instance].instance {
            action(instance);
        }
        self.schedule_step(key.instance, self.events.now + BATCH_SECONDS);
    }

    fn schedule_step(&mut self, slot: usize, at: f64) {
        if at < self.slots[slot].step_at {
            self.slots[slot].step_at = at;
            self.events.push(at, SimulationEvent::Step(slot));
        }
    }

    pub(super) fn step(&mut self, slot: usize) {
        let now = self.events.now;
        let state = &mut self.slots[slot];
        if state.step_at > now {
            return; // stale event: the instance ran an earlier step, and the next one is due later
        }
        state.step_at = f64::INFINITY;
        let Some(instance) = &mut state.instance else { return };
        let step = instance.step(now);
        for command in step.commands {
            self.execute(slot, command);
        }
        if let Some(next_at) = step.next_at {
            self.schedule_step(slot, next_at.max(now));
        }
    }

    fn execute(&mut self, instance: usize, command: ConnectionCommand) {
        let key = |connection: ConnectionId| ConnectionKey { instance, connection };
        let now = self.events.now;
        match command {
            ConnectionCommand::Connect(connection, _) => {
                if let Some(role) = server_role(connection) {
                    self.traffic.of(role).count_connection();
                }
                self.events
                    .push(now + 2.0 * ONE_WAY_LATENCY_SECONDS, SimulationEvent::Connected(key(connection)));
            }
            ConnectionCommand::Send(connection, bytes) => {
                if let Some(role) = server_role(connection) {
                    self.traffic.of(role).count_received(bytes.len());
                    self.events
                        .push(now + ONE_WAY_LATENCY_SECONDS, SimulationEvent::Serve(key(connection), bytes));
                }
            }
            ConnectionCommand::Close(connection) => {
                self.watches.retain(|watch| watch.key != key(connection));
            }
        }
    }
}
