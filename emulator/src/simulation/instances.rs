//! Starts, upgrades, shuts down and kills the processes of gateway instances.
use super::Simulation;
use crate::addresses;
use crate::deployment::admission_limits;
use crate::gateway_process::{GatewayProcess, ProcessRequest, StartOptions};
use crate::network::{Remote, Side};
use crate::operator_files;
use crate::scheduled_event::ScheduledEvent;
use quillramp::settings;
use quillramp_gateway::state::connection::ConnectionId;
use quillramp_gateway::state::event::{Event, OperatorUpdate};
use quillramp_gateway::state::reducer::ReducerConfig;
use quillramp_gateway::state::shared_state::SharedState;
use serde_json::json;
use std::collections::BTreeMap;

/// Seconds after which a process that was asked to shut down is killed.
pub(super) const SHUTDOWN_TIMEOUT: f64 = 3.7;

/// Factor on the scenario's seed in the seed of a process, which keeps the process seeds of scenarios with consecutive seeds apart.
const SCENARIO_SEED_FACTOR: u64 = 31;
/// Distance between the process seeds of consecutive instances. The starts of one instance use consecutive seeds.
const INSTANCE_SEED_STRIDE: u64 = 1009;

/// A gateway instance, which may have no process, one, or several during an upgrade.
#[derive(Default)]
pub(super) struct Instance {
    /// Indexes of the running processes, oldest first.
    pub processes: Vec<usize>,
    /// Backends that operators ejected at this instance, as its processes save them.
    ejected_backends: BTreeMap<String, f64>,
    /// Whether operators drained the instance.
    drained: bool,
    /// Number of processes started so far.
    starts: u64,
}

impl Instance {
    /// Returns the process that accepts new connections, if one runs.
    pub fn newest_process(&self) -> Option<usize> {
        self.processes.last().copied()
    }
}

/// An operator's call whose change has been saved.
#[derive(Clone, Copy)]
struct SavedCall {
    process: usize,
    call: u64,
}

impl Simulation<'_> {
    /// Returns for each instance the process that accepts new connections, if one runs.
    pub(super) fn serving_processes(&self) -> Vec<Option<usize>> {
        self.instances.iter().map(Instance::newest_process).collect()
    }

    /// Returns the state that a process shares with the other processes of its instance. `process` is `None` for a process that is
    /// about to start.
    fn shared_state(&self, instance: usize, process: Option<usize>) -> SharedState {
        let Instance { processes, ejected_backends, drained, .. } = &self.instances[instance];
        let peer_running = processes.iter().any(|other| Some(*other) != process);
        let peer = processes.iter().find(|other| Some(**other) != process);
        SharedState {
            ejected_backends: ejected_backends.clone(),
            drained: *drained,
            peer_process_running: peer_running,
            peer_process_newer: peer_running && processes.last().copied() != process && process.is_some(),
            peer_descriptor_limit: peer.and_then(|peer| self.descriptor_limits.get(peer).copied()),
        }
    }

    /// Starts a process of an instance, unless one already runs.
    pub(super) fn start_instance(&mut self, instance: usize) {
        if self.instances[instance].processes.is_empty() {
            self.start_process(instance);
        }
    }

    /// Starts a new process of an instance, which becomes its newest process.
    pub(super) fn start_process(&mut self, instance: usize) {
        self.instances[instance].starts += 1;
        let index = self.processes.len();
        let shared_state = SharedState { drained: false, ..self.shared_state(instance, None) };
        self.instances[instance].drained = false;
        let options = StartOptions {
            index,
            instance,
            own_address: addresses::instance(instance),
            configuration: self.configuration(instance),
            idempotency: self.idempotency.clone(),
            reducer: self.reducer_config(),
            endpoints: self.discovery.snapshot_of(instance),
            shared_state,
            operator_update: self.operator_update(self.scenario.world.operator_files),
            defect: self.defect,
        };
        let process = GatewayProcess::start(&mut self.ctx, options);
        self.ctx.trace.record_line(self.ctx.now, &format!("instance {instance} [{index}] starts"));
        self.processes.push(process);
        self.instances[instance].processes.push(index);
    }

    /// Returns the configuration of an instance's next process, with a seed that is different for each start.
    fn configuration(&self, instance: usize) -> settings::Loaded {
        let mut settings = self.settings.clone();
        settings["slot_no"] = json!(instance);
        let seed_offset = instance as u64 * INSTANCE_SEED_STRIDE + self.instances[instance].starts;
        let seed = self.scenario.seed.wrapping_mul(SCENARIO_SEED_FACTOR).wrapping_add(seed_offset);
        settings::load(seed, settings.to_string().as_bytes()).expect("the generated settings are valid")
    }

    fn reducer_config(&self) -> ReducerConfig {
        let world = &self.scenario.world;
        let peers =
            if world.gossip { (0..world.instances).map(addresses::instance).collect() } else { vec![] };
        ReducerConfig {
            peers,
            peer_broadcast: self.addresses.broadcast,
            counter: Some(addresses::counter(0)),
            discovery: addresses::discovery(0),
            max_descriptors: world.max_descriptors,
            max_customers: usize::MAX,
            max_waiting_value_bytes: usize::MAX,
            inherited_listener: world.inherits_listener,
            admin_enabled: true,
            saves_changes: true,
        }
    }

    /// Returns the contents of an operator's file: the world's admission limits and membership interval, and random routes if
    /// `random_routes` is set.
    pub(super) fn operator_update(&mut self, random_routes: bool) -> OperatorUpdate {
        let world = &self.scenario.world;
        let generated = if random_routes {
            operator_files::generate(&mut self.ctx.rng, &self.platform)
        } else {
            OperatorUpdate::default()
        };
        OperatorUpdate {
            admission: world.admission.then(|| admission_limits(world)),
            membership_interval: (world.membership_interval > 0.0).then_some(world.membership_interval),
            ..generated
        }
    }

    /// Handles a request of a process to its surroundings.
    pub(super) fn process_request(&mut self, process: usize, request: ProcessRequest) {
        let instance = self.processes[process].instance;
        match request {
            ProcessRequest::Exit => self.end_process(process, false),
            ProcessRequest::AnnounceDescriptorLimit(limit) => {
                self.descriptor_limits.insert(process, limit);
                self.notify_shared_state(instance, None);
            }
            ProcessRequest::SaveChange { call, change } => {
                let Instance { ejected_backends, drained, .. } = &mut self.instances[instance];
                change.apply(ejected_backends, drained);
                self.notify_shared_state(instance, Some(SavedCall { process, call }));
            }
        }
    }

    /// Notifies the processes of an instance of their current shared state. `saved` is the operator's call that caused the change, if
    /// any.
    fn notify_shared_state(&mut self, instance: usize, saved: Option<SavedCall>) {
        for process in self.instances[instance].processes.clone() {
            let call = saved.filter(|saved| saved.process == process).map(|saved| saved.call);
            let shared = Ok(self.shared_state(instance, Some(process)));
            let event = Event::SharedStateSaved { call, shared };
            self.processes[process].deliver_event(&mut self.ctx, event);
        }
    }

    /// Ends a process: it was killed, or it exits.
    pub(super) fn end_process(&mut self, process: usize, killed: bool) {
        if !self.processes[process].alive {
            return;
        }
        let instance = self.processes[process].instance;
        let how = if killed { "is killed" } else { "exits" };
        self.ctx.trace.record_line(self.ctx.now, &format!("instance {instance} [{process}] {how}"));
        self.processes[process].terminate(&mut self.ctx, killed);
        self.instances[instance].processes.retain(|other| *other != process);
        self.notify_shared_state(instance, None);
    }

    /// Asks a process to shut down, and schedules its kill for the end of the shutdown timeout.
    fn shut_down(&mut self, process: usize) {
        self.ctx.checker.shutdown_requested(self.ctx.now, process);
        self.processes[process].deliver_event(&mut self.ctx, Event::Shutdown);
        self.ctx.schedule_in(SHUTDOWN_TIMEOUT, ScheduledEvent::ProcessKilled(process));
    }

    /// Asks all processes of an instance to shut down.
    pub(super) fn shut_down_instance(&mut self, instance: usize) {
        for process in self.instances[instance].processes.clone() {
            self.shut_down(process);
        }
    }

    /// Kills a process that has not exited within the shutdown timeout.
    pub(super) fn kill_after_shutdown(&mut self, process: usize) {
        if self.processes[process].alive {
            self.ctx.checker.shutdown_timed_out(self.ctx.now, process);
        }
        self.end_process(process, true);
    }

    /// Kills all processes of an instance.
    pub(super) fn kill_instance(&mut self, instance: usize) {
        for process in self.instances[instance].processes.clone() {
            self.end_process(process, true);
        }
    }

    /// Upgrades an instance that has one process: starts a new process and asks the old one to shut down.
    pub(super) fn upgrade_instance(&mut self, instance: usize) {
        let &[old_process] = &self.instances[instance].processes[..] else { return };
        self.start_process(instance);
        self.notify_shared_state(instance, None);
        self.shut_down(old_process);
    }

    /// Sends an operator's call to the newest process of an instance.
    pub(super) fn operator_call(&mut self, instance: usize, path: &str) {
        let Some(process) = self.instances[instance].newest_process() else { return };
        let id = self.ctx.open_link(process, ConnectionId::Admin(0), Remote::Operator);
        if let Some(link) = self.ctx.links.get_mut(&id) {
            link.remote_open = true;
        }
        self.ctx.connect_to_gateway(id);
        let call = format!("POST {path} HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
        self.ctx.send(id, Side::Gateway, call.as_bytes());
    }
}
