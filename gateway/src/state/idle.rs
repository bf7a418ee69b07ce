//! Closing of idle connections, and of clients whose commands stay incomplete.
use super::client_table::Client;
use super::connection::CloseReason;
use super::counter_table::CounterConnection;
use super::effect::Effect;
use super::reducer::Reducer;
use super::timers::TimerKind;

/// Time after which an idle client is closed if it never sent a command or file descriptors are running out, in
/// seconds.
pub(super) const SHORT_CLIENT_IDLE_TIMEOUT: f64 = 2.0;
/// Time after which any other idle client is closed, in seconds.
const CLIENT_IDLE_TIMEOUT: f64 = 10.0;
/// Time after which the counter closes an idle connection at the latest, in seconds.
const COUNTER_IDLE_TIMEOUT: f64 = 10.0;
/// Maximum time from the first byte of a command to its body, and then without another byte, in seconds. A slow client
/// may need 2 s for what precedes the body, and a client that stops within a command must be closed within 3 s.
pub(super) const PARTIAL_COMMAND_TIMEOUT: f64 = 2.5;
/// Time by which a timer may fire early, in seconds.
const TIMER_TOLERANCE: f64 = 1e-3;
/// Interval between checks for idle connections, in seconds.
const IDLE_CHECK_INTERVAL: f64 = 0.5;

impl Reducer {
    /// Starts the timeout of a command whose first bytes have arrived.
    pub(super) fn partial_command_received(&mut self, now: f64, id: u64) {
        let Some(client) = self.clients.connections.get_mut(&id) else { return };
        if client.partial_since.is_some() {
            return;
        }
        client.partial_since = Some(now);
        if let Some(admission) = &mut self.admission {
            admission.partial_command(now, id);
        }
        self.timers.schedule(now + PARTIAL_COMMAND_TIMEOUT, TimerKind::PartialCommand(id));
    }

    /// Records the arrival of more bytes of a command's body. `has_capacity`: whether there is memory for the rest of it.
    pub(super) fn body_progressed(&mut self, now: f64, id: u64, has_capacity: bool) {
        self.partial_command_received(now, id);
        if let Some(client) = self.clients.connections.get_mut(&id) {
            client.body_progress_at = Some(if has_capacity { now } else { f64::INFINITY });
        }
    }

    /// Closes a client whose command is overdue, or checks again later.
    pub(super) fn partial_command_timed_out(&mut self, now: f64, id: u64) {
        let Some(client) = self.clients.connections.get(&id) else { return };
        let Some(since) = client.partial_since else { return };
        let due = client.body_progress_at.unwrap_or(since) + PARTIAL_COMMAND_TIMEOUT;
        let is_late = now > due - TIMER_TOLERANCE;
        if client.is_answered() && is_late {
            self.disconnect_client(id, CloseReason::Idle);
        } else if now - since > PARTIAL_COMMAND_TIMEOUT - TIMER_TOLERANCE {
            // A command that began later has another timer.
            let next_check = now + PARTIAL_COMMAND_TIMEOUT;
            let next_check = if is_late { next_check } else { due.min(next_check) };
            self.timers.schedule(next_check, TimerKind::PartialCommand(id));
        }
    }

    /// Closes connections that have been idle for too long, and does other periodic maintenance. Schedules itself again.
    pub(super) fn close_idle_connections(&mut self, now: f64) {
        for id in self.overdue_clients(now) {
            self.disconnect_client(id, CloseReason::Idle);
        }
        self.close_idle_clients(now);
        self.close_idle_backend_connections(now);
        self.close_idle_counter_connections(now);
        self.forget_removed_backends();
        self.announce_descriptor_limit();
        if let Some(admission) = &mut self.admission {
            admission.refresh_known(now);
        }
        self.timers.schedule(now + IDLE_CHECK_INTERVAL, TimerKind::IdleCheck);
    }

    fn close_idle_clients(&mut self, now: f64) {
        let is_crowded = 2 * self.used_descriptors() > self.config.max_descriptors;
        // A process that hands over its listener keeps connections on which no command has arrived.
        let keeps_unused = self.shutdown.hands_over_listener;
        let is_idle = |client: &Client| {
            let limit = if client.has_sent_command && !is_crowded {
                CLIENT_IDLE_TIMEOUT
            } else {
                SHORT_CLIENT_IDLE_TIMEOUT
            };
            let is_between_commands = client.is_answered() && client.partial_since.is_none();
            is_between_commands
                && client.last_active < now - limit
                && (client.has_sent_command || !keeps_unused)
        };
        let idle = self.clients.connections.iter().filter(|(_, client)| is_idle(client));
        let mut idle: Vec<u64> = idle.map(|(id, _)| *id).collect();
        idle.sort_unstable();
        // A command may have arrived just now, so the connection is closed only if nothing unread is on it.
        let close_if_idle = |client| Effect::CloseIfIdle { client, reason: CloseReason::Idle };
        self.effects.extend(idle.into_iter().map(close_if_idle));
    }

    /// Closes backend connections after half of the idle timeout of the backends, so that the backends do not close them
    /// first.
    fn close_idle_backend_connections(&mut self, now: f64) {
        let oldest = now - self.instance.connection_idle_timeout / 2.0;
        for backend in 0..self.backends.entries.len() {
            let connections = &self.backends.connections;
            let is_stale = |id: &u64| connections[id].idle_since < oldest;
            let idle = std::mem::take(&mut self.backends.entries[backend].idle_connections);
            let (stale, kept): (Vec<u64>, Vec<u64>) = idle.into_iter().partition(is_stale);
            self.backends.entries[backend].idle_connections = kept;
            for id in stale {
                self.close_backend_connection(id, CloseReason::Idle);
            }
        }
    }

    fn close_idle_counter_connections(&mut self, now: f64) {
        let oldest = now - COUNTER_IDLE_TIMEOUT / 2.0;
        let is_stale = |connection: &CounterConnection| connection.is_idle() && connection.last_used < oldest;
        let stale = self.counter.connections.iter().filter(|(_, connection)| is_stale(connection));
        for id in stale.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.close_counter_connection(id, CloseReason::Idle);
        }
    }
}
