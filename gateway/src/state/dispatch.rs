//! Passes each event and each timer to the method that handles it.
use super::connection::{CloseReason, ConnectionId};
use super::event::Event;
use super::log_message::LogMessage;
use super::reducer::Reducer;
use super::timers::TimerKind;
use crate::wire::http::Response;
use std::net::SocketAddr;

impl Reducer {
    /// Handles one event.
    pub fn handle(&mut self, now: f64, event: Event) {
        match event {
            Event::ClientAccepted { client, address } => self.client_accepted(now, client, address),
            Event::ClientCommand { client, command } => self.client_command(now, client, command),
            Event::BodyProgress { client, has_capacity } => self.body_progressed(now, client, has_capacity),
            Event::IdleClientClosed { client, reason } => self.idle_client_closed(client, reason),
            Event::ClientOutputWritten(client) => self.client_output_written(client),
            Event::BackendReply { connection, reply, more_received } => {
                self.backend_replied(now, connection, reply, more_received);
            }
            Event::StreamStarted(id) => self.stream_started(now, id),
            Event::StreamForwarded(id) => self.stream_forwarded(now, id),
            Event::StreamTrailer { connection, billed_units, load_report, more_received } => {
                self.stream_trailer_received(now, connection, billed_units, load_report, more_received);
            }
            Event::Withdrawn { connection, attempt } => self.attempt_withdrawn(now, connection, attempt),
            Event::HttpResponse { connection, response } => self.http_response(now, connection, response),
            Event::PartialMessage(connection) => self.partial_message(now, connection),
            Event::Connected(connection) => self.connected(now, connection),
            Event::ConnectionEnded { connection, reason, unsent } => {
                self.connection_ended(now, connection, reason, unsent);
            }
            Event::StreamInterrupted { connection, stream } => self.stream_interrupted(connection, stream),
            Event::Datagram { from, body } => self.datagram_received(now, from, &body),
            // A client that was rejected in this batch frees a file descriptor.
            Event::DescriptorsExhausted if self.clients.rejected_in_batch => {}
            Event::DescriptorsExhausted => self.free_descriptor_for_client(now),
            Event::AdminConnected(id) => self.admin_connected(now, id),
            Event::AdminCall { connection, call } => self.admin_call(now, connection, call),
            Event::SharedStateSaved { call, shared } => self.shared_state_saved(now, call, shared),
            Event::ReloadFailed(error) => self.reload_failed(error),
            Event::ConfigurationReloaded { discovery, counter } => {
                self.configuration_reloaded(now, discovery, counter);
            }
            Event::OperatorFileReloaded(update) => self.apply_operator_update(now, *update),
            Event::Shutdown => self.begin_shutdown(now),
        }
        self.report_ended_attempts(now);
    }

    fn http_response(&mut self, now: f64, connection: ConnectionId, response: Response) {
        match connection {
            ConnectionId::Counter(id) => self.counter_responded(now, id, response),
            ConnectionId::Discovery(id) => self.discovery_responded(now, id, response),
            ConnectionId::Client(_) | ConnectionId::Backend(_) | ConnectionId::Admin(_) => {}
        }
    }

    fn partial_message(&mut self, now: f64, connection: ConnectionId) {
        match connection {
            ConnectionId::Client(id) => self.partial_command_received(now, id),
            ConnectionId::Backend(id) => self.unexpected_backend_data(id),
            ConnectionId::Counter(id) => self.unexpected_counter_data(id),
            ConnectionId::Discovery(id) => self.partial_endpoint_list(now, id),
            ConnectionId::Admin(_) => {}
        }
    }

    fn connected(&mut self, now: f64, connection: ConnectionId) {
        match connection {
            ConnectionId::Backend(id) => self.backend_connected(now, id),
            ConnectionId::Counter(id) => self.counter_connected(id),
            other => self.send_watch(other),
        }
    }

    fn connection_ended(&mut self, now: f64, connection: ConnectionId, reason: CloseReason, unsent: bool) {
        self.log_closed(connection, reason);
        match connection {
            ConnectionId::Client(id) => self.client_disconnected(now, id),
            ConnectionId::Backend(id) => self.backend_connection_ended(now, id, unsent, reason),
            ConnectionId::Counter(id) => self.counter_connection_ended(now, id, unsent, reason),
            ConnectionId::Discovery(id) => self.discovery_connection_ended(now, id),
            ConnectionId::Admin(id) => self.admin_connection_ended(id),
        }
    }

    fn reload_failed(&mut self, error: String) {
        self.stats.reload_errors += 1;
        self.log(LogMessage::ConfigurationRejected { error });
    }

    fn configuration_reloaded(&mut self, now: f64, discovery: SocketAddr, counter: Option<SocketAddr>) {
        self.stats.reloads += 1;
        self.log(LogMessage::ConfigurationReloaded { discovery, counter });
        if std::mem::replace(&mut self.config.discovery, discovery) != discovery {
            self.discovery_address_changed(now);
        }
        if std::mem::replace(&mut self.config.counter, counter) != counter {
            self.counter_address_changed();
        }
    }

    /// Handles a timer that has fired.
    pub(super) fn timer_fired(&mut self, now: f64, kind: TimerKind) {
        match kind {
            TimerKind::ConnectTimeout(id) => self.connect_timed_out(now, id),
            // The timer is cancelled with its request, so the index still refers to that request.
            TimerKind::RequestTimeout(request) => self.time_out_attempts(now, request),
            TimerKind::PartialCommand(id) => self.partial_command_timed_out(now, id),
            TimerKind::CounterTimeout { connection, call } => {
                self.counter_call_timed_out(now, connection, call);
            }
            TimerKind::WatchTimeout(id) => self.watch_timed_out(now, id),
            TimerKind::RetryWatch => self.watch_if_not_pending(now),
            TimerKind::IdleCheck => self.close_idle_connections(now),
            TimerKind::AdminTimeout(id) => self.close_admin_connection(id),
            TimerKind::BeginDrain => self.begin_drain(now),
            TimerKind::RejectBusyClients => self.reject_busy_clients(now),
            TimerKind::EndBusyClients => self.end_busy_clients(now),
            TimerKind::MembershipCall => self.call_membership_counters(now),
            TimerKind::AnswerBeforeExit => self.answer_before_exit(now),
            TimerKind::Exit => self.exit_time_reached(),
        }
    }
}
