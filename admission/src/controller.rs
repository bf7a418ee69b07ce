//! The admission controller: handles events on connections and decides on connections and commands.
use crate::address::Address;
use crate::connection::Connection;
use crate::{
    CommandVerdict, ConnectionId, ConnectionVerdict, CustomerId, Limits, Metrics, OpenConnection,
    RejectReason,
};
use std::collections::BTreeMap;
use std::net::IpAddr;

/// Number of addresses above which the state of those without a connection is removed, to bound the memory.
const MAX_ADDRESSES: usize = 4096;
/// Delay after which a deferred command may be retried, seconds: long compared to a response time, short compared to a client's
/// timeout.
const DEFERRED_RETRY_DELAY: f64 = 0.05;

/// Decides which connections and commands of clients are admitted. All times are seconds.
pub struct AdmissionController {
    pub(crate) limits: Limits,
    pub(crate) connections: BTreeMap<ConnectionId, Connection>,
    pub(crate) addresses: BTreeMap<IpAddr, Address>,
    /// Number of connections from unknown addresses.
    unknown_connections: usize,
    /// Time of the latest event, seconds.
    now: f64,
    /// Counters of the verdicts.
    pub metrics: Metrics,
}

/// Amount of state of a controller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sizes {
    /// Open connections.
    pub connections: usize,
    /// Addresses with state.
    pub addresses: usize,
}

impl AdmissionController {
    /// Creates a controller without connections.
    pub fn new(limits: Limits) -> AdmissionController {
        AdmissionController {
            limits,
            connections: BTreeMap::new(),
            addresses: BTreeMap::new(),
            unknown_connections: 0,
            now: 0.0,
            metrics: Metrics::default(),
        }
    }

    /// Adds a connection that was open before the controller was created, even beyond the limits.
    pub fn add_open(&mut self, now: f64, open: OpenConnection) {
        self.now = now;
        let OpenConnection { id, from, has_sent_command, pending } = open;
        let customer = pending.last().copied();
        let address = self.address_or_new(now, from);
        address.connections.insert(id);
        address.pending += pending.len();
        pending.iter().for_each(|customer| address.pending_by_customer.increment(*customer));
        address.count_connection(customer);
        let is_known = address.is_known(now);
        self.unknown_connections += usize::from(!is_known);
        let connection = Connection { customer, has_sent_command, pending, ..Connection::new(now, from) };
        self.connections.insert(id, connection);
    }

    /// Replaces the limits. Connections beyond the new limits stay open, but no further ones are admitted.
    pub fn set_limits(&mut self, now: f64, limits: Limits) {
        for (from, address) in &mut self.addresses {
            address.is_listed = limits.lists(*from);
        }
        self.limits = limits;
        self.refresh_known(now);
    }

    /// Counts complete commands that were read from a connection and are not decided on yet.
    pub fn commands_read(&mut self, id: ConnectionId, commands: usize) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.queued += commands;
        }
    }

    /// Records that the next command of a connection is about to be decided on.
    pub fn command_started(&mut self, now: f64, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.queued = connection.queued.saturating_sub(1);
            connection.command_received(now);
        }
    }

    /// Records that an incomplete command was read.
    pub fn partial_command(&mut self, now: f64, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.partial_since = connection.partial_since.or(Some(now));
        }
    }

    /// Records the final answer of a command; `served` if the command succeeded, which makes the address known.
    pub fn command_answered(&mut self, now: f64, id: ConnectionId, customer: CustomerId, served: bool) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.last_active = now;
        let answered = connection.pending.iter().position(|pending| *pending == customer);
        let Some(answered) = answered else { return };
        connection.pending.swap_remove(answered);
        let Some(address) = self.addresses.get_mut(&connection.from) else { return };
        address.pending = address.pending.saturating_sub(1);
        address.pending_by_customer.decrement(customer);
        if !served || self.limits.known_for <= 0.0 {
            return;
        }
        let was_known = address.is_known(now);
        address.known_until = address.known_until.max(now + self.limits.known_for);
        if !was_known {
            self.unknown_connections = self.unknown_connections.saturating_sub(address.connections.len());
        }
    }

    /// Removes a connection that either side has closed. Its pending commands no longer count against its address.
    pub fn connection_closed(&mut self, id: ConnectionId) {
        let now = self.now;
        let Some(connection) = self.connections.remove(&id) else { return };
        let Some(address) = self.addresses.get_mut(&connection.from) else { return };
        address.connections.remove(&id);
        address.discount_connection(connection.customer);
        address.pending = address.pending.saturating_sub(connection.pending.len());
        connection.pending.iter().for_each(|customer| address.pending_by_customer.decrement(*customer));
        let is_last = address.connections.is_empty();
        if !address.is_known(now) {
            self.unknown_connections = self.unknown_connections.saturating_sub(1);
        }
        if address.is_forgettable(now, &self.limits) {
            self.addresses.remove(&connection.from);
        } else if is_last && self.addresses.len() > MAX_ADDRESSES {
            self.forget_addresses(now);
        }
    }

    /// Recounts the connections of unknown addresses, because known addresses expire. The caller has to call it periodically.
    pub fn refresh_known(&mut self, now: f64) {
        self.now = now;
        let unknown = self.addresses.values().filter(|address| !address.is_known(now));
        self.unknown_connections = unknown.map(|address| address.connections.len()).sum();
    }

    /// Decides on a new connection; an accepted one counts against the limits at once.
    pub fn admit_connection(&mut self, now: f64, id: ConnectionId, from: IpAddr) -> ConnectionVerdict {
        self.now = now;
        let limits = &self.limits;
        let address = self.addresses.entry(from).or_insert_with(|| Address::new(now, from, limits));
        address.bucket.refill(now, limits);
        if !address.bucket.take() {
            return self.reject(RejectReason::Rate);
        }
        let is_known = address.is_known(now);
        let replaced = match self.find_replaced(now, from, is_known) {
            Ok(replaced) => replaced,
            Err(reason) => return self.reject(reason),
        };
        if let Some(replaced) = replaced {
            self.connection_closed(replaced);
            self.metrics.replaced += 1;
        }
        self.metrics.accepted += 1;
        self.connections.insert(id, Connection::new(now, from));
        let address = self.address_or_new(now, from);
        address.connections.insert(id);
        address.count_connection(None);
        self.unknown_connections += usize::from(!is_known);
        replaced.map_or(ConnectionVerdict::Accept, ConnectionVerdict::Replace)
    }

    /// Decides on a command; an accepted one is pending until [`command_answered`](Self::command_answered).
    pub fn admit_command(&mut self, now: f64, id: ConnectionId, customer: CustomerId) -> CommandVerdict {
        let Some(connection) = self.connections.get_mut(&id) else { return CommandVerdict::Accept };
        connection.command_received(now);
        let previous = connection.customer.replace(customer);
        let Some(address) = self.addresses.get_mut(&connection.from) else { return CommandVerdict::Accept };
        if previous != Some(customer) {
            address.discount_connection(previous);
            address.count_connection(Some(customer));
        }
        // Max-min fairness: at the limit, commands of customers below their share are accepted, up to twice the limit in total.
        let pending_of_customer = address.pending_by_customer.count(customer);
        let customers = address.pending_by_customer.customers() + usize::from(pending_of_customer == 0);
        let share = (self.limits.pending_commands / customers.max(1)).max(1);
        if address.pending >= self.limits.pending_commands && pending_of_customer >= share {
            self.metrics.deferred_commands += 1;
            return CommandVerdict::RetryAfter(DEFERRED_RETRY_DELAY);
        }
        address.pending += 1;
        address.pending_by_customer.increment(customer);
        connection.pending.push(customer);
        CommandVerdict::Accept
    }

    /// Returns the amount of state of the controller.
    pub fn sizes(&self) -> Sizes {
        Sizes { connections: self.connections.len(), addresses: self.addresses.len() }
    }

    /// Returns the connection to close for a new one; `None` if capacity is free. Fails if no connection can be closed.
    fn find_replaced(
        &self,
        now: f64,
        from: IpAddr,
        is_known: bool,
    ) -> Result<Option<ConnectionId>, RejectReason> {
        match self.address_limit(from) {
            // The new connection replaces one of the same address: a silent one, or one of a customer with more than its share.
            Some(RejectReason::Address) => {
                let replaced = self.silent_of(now, from).or_else(|| self.idlest_of_largest_customer(from));
                replaced.map(Some).ok_or(RejectReason::Address)
            }
            Some(reason) => self.silent_of(now, from).map(Some).ok_or(reason),
            None if self.has_capacity(is_known) => Ok(None),
            // A known address replaces a connection of an unknown one.
            None if is_known => self.first_unknown(now).map(Some).ok_or(RejectReason::Full),
            None => Err(RejectReason::Full),
        }
    }

    /// Returns the limit per address that an address has reached, if any.
    fn address_limit(&self, from: IpAddr) -> Option<RejectReason> {
        let address = self.addresses.get(&from)?;
        if address.connections.len() >= self.limits.per_address {
            Some(RejectReason::Address)
        } else if address.unidentified >= self.limits.unidentified {
            Some(RejectReason::Unidentified)
        } else {
            None
        }
    }

    /// Returns whether a connection is free, outside of the reserve unless the address is known.
    fn has_capacity(&self, is_known: bool) -> bool {
        let unreserved = self.limits.connections.saturating_sub(self.limits.reserve);
        let is_free = self.connections.len() < self.limits.connections;
        is_free && (is_known || self.unknown_connections < unreserved)
    }

    fn reject(&mut self, reason: RejectReason) -> ConnectionVerdict {
        self.metrics.count_rejected(reason);
        ConnectionVerdict::Reject(reason)
    }

    fn address_or_new(&mut self, now: f64, from: IpAddr) -> &mut Address {
        let limits = &self.limits;
        self.addresses.entry(from).or_insert_with(|| Address::new(now, from, limits))
    }

    /// Removes all addresses whose removal has no effect on verdicts. If too many remain, also removes the address without a
    /// connection that stays known for the shortest time.
    fn forget_addresses(&mut self, now: f64) {
        let limits = &self.limits;
        self.addresses.retain(|_, address| !address.is_forgettable(now, limits));
        if self.addresses.len() <= MAX_ADDRESSES {
            return;
        }
        let unused = self.addresses.iter().filter(|(_, address)| address.connections.is_empty());
        let shortest = unused.min_by(|a, b| a.1.known_until.total_cmp(&b.1.known_until));
        if let Some(from) = shortest.map(|(from, _)| *from) {
            self.addresses.remove(&from);
        }
    }
}
