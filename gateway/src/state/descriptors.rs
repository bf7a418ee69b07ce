//! Descriptors: what closes when they run short, and what has stood idle.
use super::admin::MOST;
use super::event::{CloseReason, ConnectionId, Effect};
use super::kept::*;
use super::reducer::Reducer;

/// Descriptors kept for listening, the log, the loop and the like.
const RESERVE: usize = 32;
/// What a process that leaves keeps beyond what it has, for deliveries of what it holds.
const SPARE: usize = 8;
/// The counter closes idle connections after this, at the latest.
const COUNTER_IDLE: f64 = 10.0;
/// A client that has said nothing for this long, and is owed nothing, may be let go; it is if it never said
/// anything or descriptors run short, else after the longer time.
const CLIENT_IDLE: (f64, f64) = (2.0, 10.0);
/// A command may take so long from its first byte to its last: a slow client may need 2 s for it, and one that will
/// never end it is to be let go within 3 s.
const HALF: f64 = 2.5;
/// A long body has that from its last byte on, and this in all.
const BODY: f64 = 30.0;
/// A client that is just connected may need so long to say something.
const ARRIVING: f64 = 0.05;
/// How often it is looked for what stands idle.
const LOOK: f64 = 0.5;

/// Descriptors that clients never get: the list service's, the counter's, some for backends, operators' and the
/// process's own. An operator's file may give the rest away too (`admission.connections`).
const NOT_CLIENTS: usize = 64;

/// How many clients' connections may hold a descriptor at once, of so many descriptors in all; with few of them, a quarter.
pub fn max_clients(descriptors: usize) -> usize {
    descriptors.saturating_sub(NOT_CLIENTS).max(descriptors / 4)
}

impl Reducer {
    pub(super) fn used_descriptors(&self) -> usize {
        self.clients.len()
            + self.backend_connections.len()
            + self.counter_connections.len()
            + 1
            + usize::from(self.overdue_watch.is_some())
    }

    /// No descriptor is left for one more connection.
    pub(super) fn is_short_of_descriptors(&self) -> bool {
        self.needed_descriptors() > self.allowed_descriptors()
    }

    /// Descriptors that this process has, or keeps free for what must always be possible.
    fn needed_descriptors(&self) -> usize {
        let operators = if self.config.admin_enabled { MOST } else { 0 };
        self.used_descriptors() + RESERVE + operators
    }

    /// What the machine allows, it allows to both processes of a front door together: half each, until the one that leaves says
    /// what it will not go beyond. It says so before the other one takes the rest, so that together they never pass it.
    fn allowed_descriptors(&self) -> usize {
        let half = self.config.max_descriptors / 2;
        match (
            self.shared.peer_process_running,
            self.announced_descriptor_limit,
            self.shared.peer_descriptor_limit,
        ) {
            (_, Some(promised), _) => promised,
            (true, None, Some(other)) => self.config.max_descriptors - other.min(half),
            (true, None, None) => half,
            (false, None, _) => self.config.max_descriptors,
        }
    }

    /// The process that leaves needs fewer and fewer, and says so.
    pub(super) fn announce_descriptor_limit(&mut self) {
        let most = self.announced_descriptor_limit.unwrap_or(self.config.max_descriptors / 2);
        let now = (self.needed_descriptors() + SPARE).min(most);
        if self.hands_over_listener && (self.announced_descriptor_limit.is_none() || now + SPARE <= most) {
            self.announced_descriptor_limit = Some(now);
            self.effects.push(Effect::AnnounceDescriptorLimit(now));
        }
    }

    pub(super) fn ensure_free_descriptor(&mut self, now: f64) {
        if self.is_short_of_descriptors() {
            self.free_descriptor(now);
        }
    }

    /// The client whose connection can best be spared: it has waited longest since it last said something.
    fn least_recently_active_client(&self, spared: impl Fn(&Client) -> bool) -> Option<u64> {
        // One whose command has been read is owed an answer, though the command's turn is yet to come.
        let idle =
            self.clients.iter().filter(|(id, c)| c.owed.is_empty() && !self.unread_commands.contains_key(id));
        let idle = idle.filter(|(_, c)| spared(c));
        idle.min_by(|a, b| a.1.used.total_cmp(&b.1.used).then(a.0.cmp(b.0))).map(|(id, _)| *id)
    }

    /// Closes what stands idle: clients that only hold on to their connection, then the backend connection that has
    /// longest, for it costs a handshake to have it again, then any client's; false if there was none.
    pub(super) fn free_descriptor(&mut self, now: f64) -> bool {
        self.close_lingering_client(now)
            || self.close_oldest_idle_backend_connection()
            || self.close_any_idle_client(now)
    }

    /// Closes a client's connection so that another may be taken in. A backend's descriptor would not do for that: those
    /// are counted apart (`max_clients`).
    pub(super) fn free_descriptor_for_client(&mut self, now: f64) {
        let _none_is_idle = self.close_lingering_client(now)
            || self.close_client_without_command()
            || self.close_any_idle_client(now);
    }

    /// Closes a client's connection that says nothing; false if there was none.
    fn close_lingering_client(&mut self, now: f64) -> bool {
        let holds_on =
            |c: &Client| c.half.is_none() && c.used < now - if c.said { CLIENT_IDLE.0 } else { ARRIVING };
        let spared = self
            .overdue_clients(now)
            .first()
            .copied()
            .or_else(|| self.least_recently_active_client(holds_on));
        self.evict_client(spared)
    }

    /// Closes the backend connection that has stood idle longest; false if there was none.
    fn close_oldest_idle_backend_connection(&mut self) -> bool {
        let idle = self.backends.iter().filter_map(|p| p.idle.first()).copied();
        let oldest = idle
            .min_by(|a, b| self.backend_connections[a].since.total_cmp(&self.backend_connections[b].since));
        let Some(id) = oldest else { return false };
        let backend = self.backend_connections[&id].backend;
        self.backends[backend].idle.retain(|i| *i != id);
        self.close_backend_connection(id, CloseReason::DescriptorPressure);
        true
    }

    /// Closes a client's connection that has said nothing yet, however short that is; false if there was none. Where there are
    /// limits of admission, these name who goes.
    fn close_client_without_command(&mut self) -> bool {
        let spared = if self.admission.is_some() {
            None
        } else {
            self.least_recently_active_client(|c| !c.said && c.half.is_none())
        };
        self.evict_client(spared)
    }

    /// Closes any client's connection that is owed nothing; false if there was none.
    fn close_any_idle_client(&mut self, now: f64) -> bool {
        let spared = match &mut self.admission {
            Some(gate) => gate.evict(now),
            None => self.least_recently_active_client(|_| true),
        };
        self.evict_client(spared)
    }

    fn evict_client(&mut self, client: Option<u64>) -> bool {
        if let Some(id) = client {
            self.disconnect_client(id, CloseReason::DescriptorPressure);
        }
        client.is_some()
    }

    /// The beginning of a command has come.
    pub(super) fn partial_command_received(&mut self, now: f64, id: u64) {
        if let Some(client) = self.clients.get_mut(&id).filter(|c| c.half.is_none()) {
            client.half = Some(now);
            self.admission.iter_mut().for_each(|gate| gate.partial_command(now, id));
            self.schedule(now + HALF, TimerKind::PartialCommand(id));
        }
    }

    pub(super) fn partial_command_timed_out(&mut self, now: f64, id: u64) {
        let Some(client) = self.clients.get(&id) else { return };
        let Some(since) = client.half else { return };
        let (rested, all) = (now - client.grown.unwrap_or(since), now - since);
        if client.owed.is_empty() && (rested > HALF - 1e-3 || all > BODY) {
            self.disconnect_client(id, CloseReason::Idle);
        } else if all > HALF - 1e-3 {
            self.schedule(now + HALF, TimerKind::PartialCommand(id)); // one that began later has a timer of its own
        }
    }

    pub(super) fn disconnect_client(&mut self, id: u64, why: CloseReason) {
        self.remove_client(id);
        self.close(ConnectionId::Client(id), why);
    }

    /// Connections that stood idle for half of what the other side allows end here, not there, and clients that say
    /// nothing are let go. Done again and again.
    pub(super) fn close_idle_connections(&mut self, now: f64) {
        for id in self.overdue_clients(now) {
            self.disconnect_client(id, CloseReason::Idle);
        }
        let crowded = 2 * self.used_descriptors() > self.config.max_descriptors;
        let long = |c: &Client| if c.said && !crowded { CLIENT_IDLE.1 } else { CLIENT_IDLE.0 };
        // A stopping process, with another to accept, ends no connection that nobody has asked anything on.
        let spares = |c: &Client| self.hands_over_listener && !c.said;
        let between = |c: &Client| c.owed.is_empty() && c.half.is_none();
        let idle = self.clients.iter().filter(|(_, c)| between(c) && c.used < now - long(c));
        let idle = idle.filter(|(_, c)| !spares(c));
        let mut idle: Vec<u64> = idle.map(|(id, _)| *id).collect();
        idle.sort_unstable();
        // A command may have come just now: it is looked for before the connection ends.
        self.effects.extend(idle.into_iter().map(|id| Effect::CloseIfIdle(id, CloseReason::Idle)));
        let old = now - self.instance.connection_idle_timeout / 2.0;
        for backend in 0..self.backends.len() {
            let links = &self.backend_connections;
            let (stale, idle) = self.backends[backend].idle.iter().partition(|id| links[id].since < old);
            self.backends[backend].idle = idle;
            let stale: Vec<u64> = stale;
            for id in stale {
                self.close_backend_connection(id, CloseReason::Idle);
            }
        }
        let old = now - COUNTER_IDLE / 2.0;
        let stale = self.counter_connections.iter().filter(|(_, l)| l.idle() && l.used < old);
        for id in stale.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.close_counter_connection(id, CloseReason::Idle);
        }
        self.forget_removed_backends();
        self.announce_descriptor_limit();
        if let Some(gate) = &mut self.admission {
            gate.refresh_known(now);
        }
        self.schedule(now + LOOK, TimerKind::IdleCheck);
    }
}
