//! File descriptors: how many this process may hold, and what is closed when they are short.
use super::admin::MAX_ADMIN_CONNECTIONS;
use super::client_table::Client;
use super::connection::CloseReason;
use super::effect::Effect;
use super::idle::SHORT_CLIENT_IDLE_TIMEOUT;
use super::reducer::Reducer;

/// Descriptors that are kept for listening, the log, the event loop and the like.
const RESERVED_DESCRIPTORS: usize = 32;
/// What a process that shuts down keeps beyond what it holds, for attempts of its pending requests.
const SHUTDOWN_SPARE_DESCRIPTORS: usize = 8;
/// A client that has just connected may need so long to send something, in seconds.
const FIRST_COMMAND_TIMEOUT: f64 = 0.05;
/// Descriptors that clients never get: those for discovery, the counter, some backends, operators and the process itself.
/// An operator's file may give the rest away too (`admission.connections`).
const NON_CLIENT_DESCRIPTORS: usize = 64;

/// How many clients' connections may be open at once, of so many descriptors in all; a quarter if there are few.
pub fn max_clients(descriptors: usize) -> usize {
    descriptors.saturating_sub(NON_CLIENT_DESCRIPTORS).max(descriptors / 4)
}

impl Reducer {
    /// The descriptors that connections hold now; one is for discovery.
    pub(super) fn used_descriptors(&self) -> usize {
        self.clients.connections.len()
            + self.backends.connections.len()
            + self.counter.connections.len()
            + 1
            + usize::from(self.discovery.overdue_watch.is_some())
    }

    /// No descriptor is left for one more connection.
    pub(super) fn is_short_of_descriptors(&self) -> bool {
        self.needed_descriptors() > self.allowed_descriptors()
    }

    /// Descriptors that are in use, or are kept free for what must always be possible.
    fn needed_descriptors(&self) -> usize {
        let operators = if self.config.admin_enabled { MAX_ADMIN_CONNECTIONS } else { 0 };
        self.used_descriptors() + RESERVED_DESCRIPTORS + operators
    }

    /// The machine's limit is for both processes of an instance together: half for each, until the one that shuts down
    /// announces a limit. It does so before the other one takes the rest, so that together they never exceed it.
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

    /// A process that shuts down needs fewer and fewer descriptors, and announces it.
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

    /// Closes an idle connection if descriptors are short.
    pub(super) fn ensure_free_descriptor(&mut self, now: f64) {
        if self.is_short_of_descriptors() {
            self.free_descriptor(now);
        }
    }

    /// Closes idle connections until descriptors are not short, or none is left.
    pub(super) fn free_descriptors(&mut self, now: f64) {
        while self.is_short_of_descriptors() && self.free_descriptor(now) {}
    }

    /// Closes an idle connection: of a client that only holds on to it, else the backend's that has been idle longest,
    /// for it costs a handshake to have it again, else any client's. False if there was none.
    fn free_descriptor(&mut self, now: f64) -> bool {
        self.close_inactive_client(now)
            || self.close_oldest_idle_backend_connection()
            || self.close_any_idle_client(now)
    }

    /// Closes a client's connection so that another may be accepted. A backend's descriptor would not do for that:
    /// clients' are limited apart (`max_clients`).
    pub(super) fn free_descriptor_for_client(&mut self, now: f64) {
        let _has_closed_one = self.close_inactive_client(now)
            || self.close_client_without_command()
            || self.close_any_idle_client(now);
    }

    /// The idle client that has been inactive longest, of those that may be evicted.
    fn least_recently_active_client(&self, may_be_evicted: impl Fn(&Client) -> bool) -> Option<u64> {
        // A client whose command has been read is owed a reply, though the command's turn is yet to come.
        let unread = &self.clients.commands_in_batch;
        let idle = self.clients.connections.iter().filter(|(id, client)| {
            client.is_answered() && !unread.contains_key(id) && may_be_evicted(client)
        });
        let oldest = idle.min_by(|(id, client), (other_id, other)| {
            client.last_active.total_cmp(&other.last_active).then(id.cmp(other_id))
        });
        oldest.map(|(id, _)| *id)
    }

    /// Closes the connection of a client that sends nothing; false if there was none.
    fn close_inactive_client(&mut self, now: f64) -> bool {
        let is_inactive = |client: &Client| {
            let grace =
                if client.has_sent_command { SHORT_CLIENT_IDLE_TIMEOUT } else { FIRST_COMMAND_TIMEOUT };
            client.partial_since.is_none() && client.last_active < now - grace
        };
        let overdue = self.overdue_clients(now).first().copied();
        let evicted = overdue.or_else(|| self.least_recently_active_client(is_inactive));
        self.evict_client(evicted)
    }

    /// Closes the backend connection that has been idle longest; false if there was none.
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

    /// Closes the connection of a client that has sent nothing yet, for however short a time; false if there was none.
    /// Where there are limits of admission, these name who is closed.
    fn close_client_without_command(&mut self) -> bool {
        if self.admission.is_some() {
            return false;
        }
        let is_silent = |client: &Client| !client.has_sent_command && client.partial_since.is_none();
        let evicted = self.least_recently_active_client(is_silent);
        self.evict_client(evicted)
    }

    /// Closes any client's connection that waits for no reply; false if there was none.
    fn close_any_idle_client(&mut self, now: f64) -> bool {
        let evicted = match &mut self.admission {
            Some(admission) => admission.evict(now),
            None => self.least_recently_active_client(|_| true),
        };
        self.evict_client(evicted)
    }

    fn evict_client(&mut self, client: Option<u64>) -> bool {
        if let Some(id) = client {
            self.disconnect_client(id, CloseReason::DescriptorPressure);
        }
        client.is_some()
    }
}
