//! Starts and ends the faults of a scenario.
use super::instances::SHUTDOWN_TIMEOUT;
use super::Simulation;
use crate::addresses;
use crate::backend::Lifecycle;
use crate::network::{Partition, Remote};
use crate::scenario::{Fault, FaultKind};
use crate::scheduled_event::ScheduledEvent;
use quillramp_gateway::state::event::Event;

/// Seconds after a split of the counter for which ceilings are not checked: units granted by both counters may still be in use.
const SPLIT_SETTLING_TIME: f64 = 5.0;

/// The start or the end of a fault.
struct Boundary {
    fault: Fault,
    ended: bool,
}

impl Boundary {
    fn is_start(&self) -> bool {
        !self.ended
    }

    /// Returns the severity as a fraction or a rate: 0 at the end of the fault.
    fn fraction(&self) -> f64 {
        if self.ended {
            0.0
        } else {
            self.severity()
        }
    }

    /// Returns the severity as a factor: 1 at the end of the fault.
    fn factor(&self) -> f64 {
        if self.ended {
            1.0
        } else {
            self.severity()
        }
    }

    fn severity(&self) -> f64 {
        self.fault.severity.unwrap_or(0.0)
    }

    /// Returns the duration of the fault in seconds, 0 for a fault without one.
    fn duration(&self) -> f64 {
        self.fault.duration.unwrap_or(0.0)
    }

    fn backend(&self) -> usize {
        self.fault.backend.unwrap_or(0)
    }

    fn instance(&self) -> usize {
        self.fault.instance.unwrap_or(0)
    }

    fn trace_line(&self) -> String {
        let Fault { backend, instance, zone, .. } = self.fault;
        let target = backend.or(instance).or(zone).map_or(String::new(), |index| format!(" {index}"));
        format!("{}{target} {}", self.fault.kind.name(), if self.ended { "ends" } else { "starts" })
    }
}

impl Simulation<'_> {
    /// Applies the start or the end of a fault of the scenario.
    pub(super) fn fault_boundary(&mut self, index: usize, ended: bool) {
        let boundary = Boundary { fault: self.scenario.faults[index].clone(), ended };
        self.ctx.trace.record_line(self.ctx.now, &boundary.trace_line());
        if boundary.is_start() {
            *self.fault_counts.entry(boundary.fault.kind).or_default() += 1;
            if let Some(duration) = boundary.fault.duration {
                self.ctx.schedule_in(duration, ScheduledEvent::FaultBoundary { index, ended: true });
            }
        }
        self.backend_fault(&boundary);
        self.zone_fault(&boundary);
        self.instance_fault(&boundary);
        self.counter_fault(&boundary);
        self.discovery_fault(&boundary);
        self.network_fault(&boundary);
        self.client_fault(&boundary);
    }

    fn backend_fault(&mut self, boundary: &Boundary) {
        let backend = boundary.backend();
        let Some(state) = self.backends.get_mut(backend) else { return };
        match boundary.fault.kind {
            FaultKind::Crash if boundary.is_start() => {
                self.fail_backend(backend, Lifecycle::Crashed, boundary.duration())
            }
            FaultKind::Unresponsive if boundary.is_start() => {
                self.fail_backend(backend, Lifecycle::Unresponsive, boundary.duration())
            }
            FaultKind::Drain if boundary.is_start() => {
                state.draining = true;
                self.publish_status(backend, "DRAINING");
            }
            FaultKind::Drain => self.replace_backend(backend),
            FaultKind::Replace if boundary.is_start() => self.replace_backend(backend),
            FaultKind::Slow => state.faults.slowdown = boundary.factor(),
            FaultKind::LostResponses => state.faults.lost_responses = boundary.fraction(),
            FaultKind::MalformedResponses => state.faults.malformed_responses = boundary.fraction(),
            FaultKind::SurplusResponses => state.faults.surplus_responses = boundary.fraction(),
            FaultKind::Errors => state.faults.errors = boundary.fraction(),
            FaultKind::Rejections => state.faults.rejections = boundary.fraction(),
            FaultKind::CloseAfterResponse => state.faults.closes_after_response = boundary.fraction(),
            FaultKind::TruncatedValues => state.faults.truncated_values = boundary.fraction(),
            _ => {}
        }
    }

    fn zone_fault(&mut self, boundary: &Boundary) {
        let now = self.ctx.now;
        match boundary.fault.kind {
            FaultKind::ZoneLoss if boundary.is_start() => {
                for backend in self.backends_of_zone(boundary.fault.zone) {
                    self.fail_backend(backend, Lifecycle::Crashed, boundary.duration());
                }
            }
            FaultKind::ZonePartition => {
                if boundary.is_start() {
                    let zone = boundary.fault.zone.unwrap_or(0);
                    self.ctx.partitions.push(Partition { zone, until: now + boundary.duration() });
                }
                self.ctx.partitions.retain(|partition| partition.until > now);
            }
            _ => {}
        }
    }

    /// Returns the indexes of a zone's backends.
    fn backends_of_zone(&self, zone: Option<usize>) -> Vec<usize> {
        let zones = self.scenario.world.zones;
        (0..self.backends.len()).filter(|backend| Some(backend % zones) == zone).collect()
    }

    fn instance_fault(&mut self, boundary: &Boundary) {
        let instance = boundary.instance();
        match boundary.fault.kind {
            FaultKind::DrainInstance if boundary.is_start() => {
                self.operator_call(instance, "/healthcheck/fail")
            }
            FaultKind::DrainInstance => self.operator_call(instance, "/healthcheck/ok"),
            FaultKind::EjectBackend => {
                let name = self.backend_names[boundary.backend()].clone();
                let change = if boundary.ended { "ready" } else { "maint" };
                self.operator_call(instance, &format!("/backends/{name}/{change}"));
            }
            FaultKind::Kill if boundary.is_start() => {
                self.kill_instance(instance);
                self.ctx.schedule_in(boundary.duration(), ScheduledEvent::InstanceStarts(instance));
            }
            FaultKind::Terminate if boundary.is_start() => {
                self.shut_down_instance(instance);
                let restart = SHUTDOWN_TIMEOUT + boundary.duration();
                self.ctx.schedule_in(restart, ScheduledEvent::InstanceStarts(instance));
            }
            FaultKind::Upgrade if boundary.is_start() => self.upgrade_instance(instance),
            FaultKind::ReloadConfiguration if boundary.is_start() => {
                self.discovery.disconnect_instance(&mut self.ctx, instance);
                self.process_fault(boundary);
            }
            FaultKind::Stall | FaultKind::ReloadOperatorFile | FaultKind::WriteBackpressure
                if boundary.is_start() =>
            {
                self.process_fault(boundary)
            }
            _ => {}
        }
    }

    /// Applies a fault that affects only the newest process of an instance.
    fn process_fault(&mut self, boundary: &Boundary) {
        let instance = boundary.instance();
        let Some(process) = self.instances[instance].newest_process() else { return };
        match boundary.fault.kind {
            FaultKind::Stall => self.processes[process].stall(&mut self.ctx, boundary.duration()),
            FaultKind::ReloadConfiguration => {
                let discovery = addresses::discovery(1);
                let counter = Some(addresses::counter(1));
                let event = Event::ConfigurationReloaded { discovery, counter };
                self.processes[process].deliver_event(&mut self.ctx, event);
            }
            FaultKind::ReloadOperatorFile => {
                let update = self.operator_update(true);
                let event = Event::OperatorFileReloaded(Box::new(update));
                self.processes[process].deliver_event(&mut self.ctx, event);
            }
            FaultKind::WriteBackpressure => {
                let until = self.ctx.now + boundary.duration();
                for link in self.ctx.links.values_mut() {
                    if link.process == process && matches!(link.remote, Remote::Backend(_)) {
                        link.backpressure_until = until;
                    }
                }
            }
            _ => {}
        }
    }

    fn counter_fault(&mut self, boundary: &Boundary) {
        match boundary.fault.kind {
            FaultKind::CounterDown if boundary.is_start() => self.counter.crash(&mut self.ctx),
            FaultKind::CounterDown => self.counter.down = false,
            FaultKind::CounterUnresponsive if boundary.is_start() => self.counter.unresponsive = true,
            FaultKind::CounterUnresponsive => self.counter.resume(&mut self.ctx),
            FaultKind::CounterSlow => self.counter.slowdown = boundary.factor(),
            FaultKind::CounterReset => self.counter.clear(),
            FaultKind::CounterSplit if boundary.is_start() => {
                let until = self.ctx.now + boundary.duration() + SPLIT_SETTLING_TIME;
                self.ctx.checker.counter_split_until(until);
                self.counter.split();
            }
            FaultKind::CounterSplit => self.counter.merge(),
            FaultKind::CounterMalformedResponses => self.counter.malformed_responses = boundary.fraction(),
            FaultKind::CounterLostResponses => self.counter.lost_responses = boundary.fraction(),
            FaultKind::CounterRejections => self.counter.rejections = boundary.fraction(),
            _ => {}
        }
    }

    fn discovery_fault(&mut self, boundary: &Boundary) {
        match boundary.fault.kind {
            FaultKind::DiscoveryDelayed => {
                self.discovery.extra_delay = if boundary.ended { 0.0 } else { boundary.duration() }
            }
            FaultKind::DiscoveryDown => self.discovery.down = boundary.is_start(),
            FaultKind::DiscoveryMalformed => self.discovery.malformed_responses = boundary.is_start(),
            FaultKind::DiscoveryStale => {
                let version = self.discovery.latest_version();
                self.discovery.stale_version = boundary.is_start().then_some(version);
                self.discovery.force_snapshots(&mut self.ctx);
            }
            FaultKind::DiscoveryTruncated => {
                let names = &self.backend_names;
                let hidden_count = ((names.len() as f64 * boundary.fraction()) as usize).min(names.len() - 1);
                self.discovery.hidden_backends = names[..hidden_count].to_vec();
                self.discovery.force_snapshots(&mut self.ctx);
            }
            _ => {}
        }
    }

    fn network_fault(&mut self, boundary: &Boundary) {
        match boundary.fault.kind {
            FaultKind::RandomResets => {
                self.reset_rate = boundary.fraction();
                self.ctx.schedule_in(0.0, ScheduledEvent::RandomReset);
            }
            FaultKind::DatagramLoss => self.ctx.datagram_loss = boundary.fraction(),
            FaultKind::NetworkDelay => self.ctx.delay_factor = boundary.factor(),
            _ => {}
        }
    }

    fn client_fault(&mut self, boundary: &Boundary) {
        match boundary.fault.kind {
            FaultKind::TrafficBurst => self.clients.rate_factor = boundary.factor(),
            FaultKind::EarlyDisconnects => self.clients.early_disconnects = boundary.fraction(),
            FaultKind::MalformedClients => {
                self.clients.malformed_rate = boundary.fraction();
                self.ctx.schedule_in(0.0, ScheduledEvent::MalformedClientDue);
            }
            FaultKind::IdleConnections => {
                let serving = self.serving_processes();
                self.clients.open_idle_connections(&mut self.ctx, &serving, boundary.severity() as usize);
            }
            _ => {}
        }
    }
}
