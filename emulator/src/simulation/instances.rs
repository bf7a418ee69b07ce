//! Gateway instances: their processes start, shut down, are replaced and are killed.
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

/// A process that was asked to shut down is killed after so many seconds.
pub(super) const SHUTDOWN_TIMEOUT: f64 = 3.7;

/// Set the seeds of instances' processes apart: by scenario,
const SCENARIO_SEED: u64 = 31;
/// and by instance; the starts of one instance follow each other.
const INSTANCE_SEED: u64 = 1009;

/// A gateway instance, whatever processes it has.
#[derive(Default)]
pub(super) struct Instance {
    /// Its running processes, the newest last.
    pub processes: Vec<usize>,
    /// The backends that its operators ejected, as its processes save them.
    ejected_backends: BTreeMap<String, f64>,
    /// Its operators drained it.
    drained: bool,
    /// Counts its processes.
    starts: u64,
}

impl Instance {
    /// The process that takes new connections.
    pub fn newest_process(&self) -> Option<usize> {
        self.processes.last().copied()
    }
}

/// An operator's call to a process that asked for a change.
#[derive(Clone, Copy)]
struct SavedCall {
    process: usize,
    call: u64,
}

impl Simulation<'_> {
    /// By instance, the process that takes new connections.
    pub(super) fn serving_processes(&self) -> Vec<Option<usize>> {
        self.instances.iter().map(Instance::newest_process).collect()
    }

    /// What a process of an instance, or one that is about to start, shares with the others.
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

    /// Starts an instance, unless one of its processes runs.
    pub(super) fn start_instance(&mut self, instance: usize) {
        if self.instances[instance].processes.is_empty() {
            self.start_process(instance);
        }
    }

    /// Starts a process of an instance.
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

    /// The configuration of an instance's next process, with a seed of its own.
    fn configuration(&self, instance: usize) -> settings::Loaded {
        let mut settings = self.settings.clone();
        settings["slot_no"] = json!(instance);
        let start = instance as u64 * INSTANCE_SEED + self.instances[instance].starts;
        let seed = self.scenario.seed.wrapping_mul(SCENARIO_SEED).wrapping_add(start);
        settings::load(seed, settings.to_string().as_bytes()).expect("settings of our own")
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
            inherited_listener: world.inherits_listener,
            admin_enabled: true,
            saves_changes: true,
        }
    }

    /// What an operator's file declares: limits of admission and membership as the world has them, and drawn routes if asked for.
    pub(super) fn operator_update(&mut self, draw_routes: bool) -> OperatorUpdate {
        let world = &self.scenario.world;
        let drawn = if draw_routes {
            operator_files::generate(&mut self.ctx.rng, &self.platform)
        } else {
            OperatorUpdate::default()
        };
        OperatorUpdate {
            admission: world.admission.then(|| admission_limits(world)),
            membership_interval: (world.membership_interval > 0.0).then_some(world.membership_interval),
            ..drawn
        }
    }

    /// Does what a process asked for.
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

    /// Notifies the processes of an instance of what they share now.
    fn notify_shared_state(&mut self, instance: usize, saved: Option<SavedCall>) {
        for process in self.instances[instance].processes.clone() {
            let call = saved.filter(|saved| saved.process == process).map(|saved| saved.call);
            let shared = Ok(self.shared_state(instance, Some(process)));
            let event = Event::SharedStateSaved { call, shared };
            self.processes[process].deliver_event(&mut self.ctx, event);
        }
    }

    /// A process is killed, or exits by itself.
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

    /// Asks a process to shut down, and kills it when its time is over.
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

    /// Kills all processes of an instance.
    pub(super) fn kill_instance(&mut self, instance: usize) {
        for process in self.instances[instance].processes.clone() {
            self.end_process(process, true);
        }
    }

    /// Starts the next version beside an instance's only process, which is asked to shut down.
    pub(super) fn upgrade_instance(&mut self, instance: usize) {
        let &[old] = &self.instances[instance].processes[..] else { return };
        self.start_process(instance);
        self.notify_shared_state(instance, None);
        self.shut_down(old);
    }

    /// An operator calls an instance.
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
