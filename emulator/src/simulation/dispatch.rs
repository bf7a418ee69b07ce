//! Dispatches each scheduled event to the gateway process or model that handles it.
use super::Simulation;
use crate::gateway_process::OTHER_DESCRIPTORS;
use crate::network::{LinkId, Remote, Side};
use crate::scheduled_event::ScheduledEvent;
use quillramp_gateway::state::event::Event;
use rand::Rng;

/// Seconds after which a connection to an address without a listener is refused.
const REFUSAL_DELAY: f64 = 0.001;

impl Simulation<'_> {
    /// Handles an event at the current virtual time.
    pub(super) fn handle(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::BytesArrived { link, at: Side::Gateway, bytes } => {
                self.bytes_to_gateway(link, &bytes)
            }
            ScheduledEvent::BytesArrived { link, at: Side::Remote, bytes } => {
                self.bytes_to_remote(link, &bytes)
            }
            ScheduledEvent::LinkClosed { link, at: Side::Gateway, reset } => {
                self.closed_at_gateway(link, reset)
            }
            ScheduledEvent::LinkClosed { link, at: Side::Remote, .. } => self.closed_at_remote(link),
            ScheduledEvent::ConnectRequested(link) => self.connect_requested(link),
            ScheduledEvent::ConnectCompleted { link, accepted } => self.connect_completed(link, accepted),
            ScheduledEvent::RandomReset => self.random_reset(),
            ScheduledEvent::ProcessWake(process) => self.run_process(process),
            ScheduledEvent::ProcessKilled(process) => self.kill_after_shutdown(process),
            ScheduledEvent::InstanceStarts(instance) => self.start_instance(instance),
            ScheduledEvent::DatagramArrived { instance, from, body } => {
                self.deliver_datagram(instance, Event::Datagram { from, body })
            }
            ScheduledEvent::JobCompleted { backend, job } => {
                self.backends[backend].job_completed(&mut self.ctx, job)
            }
            ScheduledEvent::ReplyPartDue { backend, link } => {
                self.backends[backend].reply_part_due(&mut self.ctx, link)
            }
            ScheduledEvent::BackendStarts { backend, incarnation } => {
                self.start_backend(backend, incarnation)
            }
            ScheduledEvent::FaultBoundary { index, ended } => self.fault_boundary(index, ended),
            ScheduledEvent::CounterCallCompleted(link) => self.counter.complete_call(&mut self.ctx, link),
            ScheduledEvent::WatchTimedOut { link, watch } => {
                self.discovery.watch_timed_out(&mut self.ctx, link, watch)
            }
            ScheduledEvent::EndpointUpdate(instance) => self.discovery.agent_updated(&mut self.ctx, instance),
            ScheduledEvent::RequestDue => self.request_due(),
            ScheduledEvent::RetryDue(request) => self.retry_due(request),
            ScheduledEvent::MalformedClientDue => self.malformed_client_due(),
            ScheduledEvent::ClientDisconnects(link) => self.clients.disconnect(&mut self.ctx, link),
        }
    }

    fn request_due(&mut self) {
        let until = self.clients_stop_at();
        let serving = self.serving_processes();
        self.clients.next_request(&mut self.ctx, &serving, until);
    }

    fn retry_due(&mut self, request: usize) {
        if self.ctx.now < self.clients_stop_at() {
            let serving = self.serving_processes();
            self.clients.send_request(&mut self.ctx, &serving, request);
        }
    }

    fn malformed_client_due(&mut self) {
        let serving = self.serving_processes();
        self.clients.next_malformed_client(&mut self.ctx, &serving);
    }

    /// Delivers a datagram to the instance's process that accepts new connections.
    fn deliver_datagram(&mut self, instance: usize, datagram: Event) {
        if let Some(process) = self.instances[instance].newest_process() {
            self.processes[process].deliver_event(&mut self.ctx, datagram);
        }
    }

    fn bytes_to_gateway(&mut self, id: LinkId, bytes: &[u8]) {
        let Some(link) = self.ctx.links.get(&id).filter(|link| link.gateway_open) else { return };
        let process = link.process;
        self.processes[process].bytes_received(&mut self.ctx, id, bytes);
    }

    fn bytes_to_remote(&mut self, id: LinkId, bytes: &[u8]) {
        let ctx = &mut self.ctx;
        let Some(link) = ctx.links.get(&id).filter(|link| link.remote_open) else { return };
        match link.remote {
            Remote::Client => self.clients.bytes_received(ctx, id, bytes),
            Remote::Backend(backend) => self.backends[backend].bytes_received(ctx, id, bytes),
            Remote::Counter => self.counter.bytes_received(ctx, id, bytes),
            Remote::Discovery => self.discovery.bytes_received(ctx, id, bytes),
            Remote::Operator | Remote::Unreachable => {}
        }
    }

    fn closed_at_gateway(&mut self, id: LinkId, reset: bool) {
        let Some(link) = self.ctx.links.get(&id) else { return };
        let process = link.process;
        self.processes[process].link_closed(&mut self.ctx, id, reset);
    }

    fn closed_at_remote(&mut self, id: LinkId) {
        let ctx = &mut self.ctx;
        let Some(link) = ctx.links.get(&id) else { return };
        match link.remote {
            Remote::Client => self.clients.link_closed(ctx, id),
            Remote::Backend(backend) => self.backends[backend].link_closed(ctx, id),
            Remote::Counter => self.counter.link_closed(ctx, id),
            Remote::Discovery => self.discovery.link_closed(ctx, id),
            Remote::Operator | Remote::Unreachable => ctx.mark_closed(id, Side::Remote),
        }
    }

    fn connect_requested(&mut self, id: LinkId) {
        let ctx = &mut self.ctx;
        let Some(link) = ctx.links.get(&id).filter(|link| link.gateway_open) else { return };
        let process = link.process;
        let instance = self.processes[process].instance;
        match link.remote {
            Remote::Client | Remote::Operator => self.processes[process].connect_requested(ctx, id),
            Remote::Backend(backend) => self.backends[backend].connect_requested(ctx, id),
            Remote::Counter => self.counter.connect_requested(ctx, id, instance),
            Remote::Discovery => self.discovery.connect_requested(ctx, id, instance),
            Remote::Unreachable => {
                let refused = ScheduledEvent::ConnectCompleted { link: id, accepted: false };
                ctx.schedule_in(REFUSAL_DELAY, refused);
            }
        }
    }

    fn connect_completed(&mut self, id: LinkId, accepted: bool) {
        let Some(link) = self.ctx.links.get(&id).filter(|link| link.gateway_open) else { return };
        let process = link.process;
        self.processes[process].connect_completed(&mut self.ctx, id, accepted);
    }

    fn run_process(&mut self, process: usize) {
        let requests = self.processes[process].run(&mut self.ctx, &self.addresses);
        let instance = self.processes[process].instance;
        let descriptors = |process: &usize| self.processes[*process].connection_count() + OTHER_DESCRIPTORS;
        let in_use = self.instances[instance].processes.iter().map(descriptors).sum();
        let limit = self.ctx.world.max_descriptors;
        self.ctx.checker.descriptors_in_use(self.ctx.now, instance, in_use, limit);
        for request in requests {
            self.process_request(process, request);
        }
    }

    /// Resets a random open link other than those of operators, and schedules the next reset.
    fn random_reset(&mut self) {
        if self.reset_rate <= 0.0 {
            return;
        }
        let links = self.ctx.links_matching(|link| link.remote != Remote::Operator && link.remote_open);
        if !links.is_empty() {
            let link = links[self.ctx.rng.gen_range(0..links.len())];
            self.ctx.reset(link);
        }
        self.ctx.schedule_in(1.0 / self.reset_rate, ScheduledEvent::RandomReset);
    }
}
