//! File descriptors: how many this process may hold, and which connections are closed when they run out.
use super::admin::MAX_ADMIN_CONNECTIONS;
use super::client_table::Client;
use super::connection::CloseReason;
use super::effect::Effect;
use super::idle::{PARTIAL_COMMAND_TIMEOUT, SHORT_CLIENT_IDLE_TIMEOUT};
use super::reducer::Reducer;

/// Number of file descriptors reserved for listening sockets, the log, the event loop and similar.
const RESERVED_DESCRIPTORS: usize = 32;
/// Number of file descriptors that a process that is shutting down keeps beyond those it holds, for attempts of its
/// pending requests.
const SHUTDOWN_SPARE_DESCRIPTORS: usize = 8;
/// Time after which a client that has sent nothing yet counts as inactive, in seconds. A client that has just
/// connected may need that long to send something.
const FIRST_COMMAND_TIMEOUT: f64 = 0.05;
/// Number of file descriptors that clients never get: those for the list service, the counter, some backends,
/// operators and the process itself. An operator's file may assign all others to clients (`admission.connections`).
const NON_CLIENT_DESCRIPTORS: usize = 64;

/// Returns the maximum number of open client connections for this number of file descriptors; at least a quarter of
/// them.
pub fn max_clients(descriptors: usize) -> usize {
    descriptors.saturating_sub(NON_CLIENT_DESCRIPTORS).max(descriptors / 4)
}

impl Reducer {
    /// Returns the number of file descriptors that connections hold now, with one for the list service.
    pub(super) fn used_descriptors(&self) -> usize {
        self.clients.connections.len()
            + self.backends.connections.len()
            + self.counter.connections.len()
            + 1
            + usize::from(self.discovery.overdue_watch.is_some())
    }

    /// Returns whether file descriptors are running out: more are needed than this process may hold.
    pub(super) fn is_short_of_descriptors(&self) -> bool {
        self.needed_descriptors() > self.allowed_descriptors()
    }

    /// Returns the number of file descriptors that are in use or reserved.
    fn needed_descriptors(&self) -> usize {
        let operators = if self.config.admin_enabled { MAX_ADMIN_CONNECTIONS } else { 0 };
        self.used_descriptors() + RESERVED_DESCRIPTORS + operators
    }

    /// Returns the number of file descriptors that this process may hold. The limit of the machine applies to both
    /// processes of an instance together: each may hold half, until the one that is shutting down announces a lower limit.
    /// The other may use the rest only after the announcement, so that together they never exceed the limit.
    fn allowed_descriptors(&self) -> usize {
        let max = self.config.max_descriptors;
        let half = max / 2;
        if let Some(announced) = self.shutdown.announced_descriptor_limit {
            return announced;
        }
        if !self.admin.shared.peer_process_running {
            return max;
        }
        self.admin.shared.peer_descriptor_limit.map_or(half, |peer| max - peer.min(half))
    }

    /// Announces a lower limit of file descriptors, as a process that is shutting down needs fewer over time.
    pub(super) fn announce_descriptor_limit(&mut self) {
        let announced = self.shutdown.announced_descriptor_limit;
        let current = announced.unwrap_or(self.config.max_descriptors / 2);
        let limit = (self.needed_descriptors() + SHUTDOWN_SPARE_DESCRIPTORS).min(current);
        let is_worthwhile = announced.is_none() || limit + SHUTDOWN_SPARE_DESCRIPTORS <= current;
        if self.shutdown.hands_over_listener && is_worthwhile {
            self.shutdown.announced_descriptor_limit = Some(limit);
            self.effects.push(Effect::AnnounceDescriptorLimit(limit));
        }
    }

    /// Closes an idle connection if file descriptors are running out.
    pub(super) fn ensure_free_descriptor(&mut self, now: f64) {
        if self.is_short_of_descriptors() {
            self.free_descriptor(now);
        }
    }

    /// Closes idle connections until enough file descriptors are free or no idle connection is left.
    pub(super) fn free_descriptors(&mut self, now: f64) {
        while self.is_short_of_descriptors() && self.free_descriptor(now) {}
    }

    /// Closes an idle connection: an inactive client's, else the backend connection that has been idle longest, else any
    /// idle client's. Backend connections come second because reopening one costs a handshake. Returns false if there was
    /// none.
    fn free_descriptor(&mut self, now: f64) -> bool {
        self.close_inactive_client(now)
            || self.close_oldest_idle_backend_connection()
            || self.close_any_idle_client(now)
            || self.close_slowest_sender(now)
            || self.close_silent_stream()
    }

    /// Closes a client's connection so that another client can be accepted. Closing a backend's connection would not
    /// help, because client connections have their own limit (`max_clients`).
    pub(super) fn free_descriptor_for_client(&mut self, now: f64) {
        let _closed_one = self.close_inactive_client(now)
            || self.close_client_without_command()
            || self.close_any_idle_client(now)
            || self.close_slowest_sender(now)
            || self.close_silent_stream();
    }

    /// Returns the idle client that has been inactive longest among those that may be evicted.
    fn least_recently_active_client(&self, may_be_evicted: impl Fn(&Client) -> bool) -> Option<u64> {
        // A client with a command in this batch still gets a reply, even if the command is handled later.
        let commands_in_batch = &self.clients.commands_in_batch;
        let idle = self.clients.connections.iter().filter(|(id, client)| {
            client.is_answered() && !commands_in_batch.contains_key(id) && may_be_evicted(client)
        });
        let oldest = idle.min_by(|(id, client), (other_id, other)| {
            client.last_active.total_cmp(&other.last_active).then(id.cmp(other_id))
        });
        oldest.map(|(id, _)| *id)
    }

    /// Closes the connection of a client that has sent nothing for a while; returns false if there was none.
    fn close_inactive_client(&mut self, now: f64) -> bool {
        let is_inactive = |client: &Client| {
            let limit =
                if client.has_sent_command { SHORT_CLIENT_IDLE_TIMEOUT } else { FIRST_COMMAND_TIMEOUT };
            client.partial_since.is_none() && client.last_active < now - limit
        };
        let overdue = self.overdue_clients(now).first().copied();
        let evicted = overdue.or_else(|| self.least_recently_active_client(is_inactive));
        self.evict_client(evicted)
    }

    /// Closes the backend connection that has been idle longest; returns false if there was none.
    fn close_oldest_idle_backend_connection(&mut self) -> bool {
        let connections = &self.backends.connections;
        let idle = self.backends.entries.iter().filter_map(|entry| entry.idle_connections.first()).copied();
        let oldest = idle.min_by(|a, b| connections[a].idle_since.total_cmp(&connections[b].idle_since));
        let Some(id) = oldest else { return false };
        let backend = connections[&id].backend;
        self.backends.entries[backend].remove_idle(id);
        self.close_backend_connection(id, CloseReason::DescriptorPressure);
        true
    }

    /// Closes the connection of a client that has sent nothing yet, however recently it connected; returns false if there
    /// was none. With admission limits, the admission controller selects the client to evict instead.
    fn close_client_without_command(&mut self) -> bool {
        if self.admission.is_some() {
            return false;
        }
        let has_sent_nothing = |client: &Client| !client.has_sent_command && client.partial_since.is_none();
        let evicted = self.least_recently_active_client(has_sent_nothing);
        self.evict_client(evicted)
    }

    /// Closes the connection of any client that waits for no reply; returns false if there was none.
    fn close_any_idle_client(&mut self, now: f64) -> bool {
        let evicted = match &mut self.admission {
            Some(admission) => admission.evict(now),
            None => self.least_recently_active_client(|_| true),
        };
        self.evict_client(evicted)
    }

    /// Closes the client whose command has been incomplete for the longest time, if a client that stops in the middle of a
    /// command would have been closed by now; returns false if there was none.
    fn close_slowest_sender(&mut self, now: f64) -> bool {
        let senders = self.clients.connections.iter().filter(|(_, client)| client.is_answered());
        let overdue = senders.filter_map(|(id, client)| Some((client.partial_since?, *id)));
        let overdue = overdue.filter(|(since, _)| now - since >= PARTIAL_COMMAND_TIMEOUT);
        let slowest = overdue
            .min_by(|(since, id), (other_since, other)| since.total_cmp(other_since).then(id.cmp(other)));
        self.evict_client(slowest.map(|(_, id)| id))
    }

    /// Requests that the value be given up that has not moved for the longest time, if that is longer than backends leave
    /// a connection open on which nothing moves. Nothing is closed before the effect is carried out.
    fn close_silent_stream(&mut self) -> bool {
        let min_silence = self.instance.connection_idle_timeout;
        let is_requested = |effect: &Effect| matches!(effect, Effect::CloseSilentStream { .. });
        if self.forwarded_values() > 0 && !self.effects.iter().any(is_requested) {
            self.effects.push(Effect::CloseSilentStream { min_silence });
        }
        false
    }

    fn evict_client(&mut self, client: Option<u64>) -> bool {
        if let Some(id) = client {
            self.disconnect_client(id, CloseReason::DescriptorPressure);
        }
        client.is_some()
    }
}
