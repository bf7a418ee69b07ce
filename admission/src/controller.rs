//! The admission controller: the events that are reported to it, and its verdicts.
use crate::address::Address;
use crate::connection::Connection;
use crate::{
    CommandVerdict, ConnectionId, ConnectionVerdict, CustomerId, Limits, Metrics, OpenConnection,
    RejectReason,
};
use std::collections::BTreeMap;
use std::net::IpAddr;

/// Addresses above which those without a connection are forgotten; bounds the memory.
const MAX_ADDRESSES: usize = 4096;
/// Delay after which a deferred command may be retried, seconds: long compared to a response, short compared to a client's timeout.
const DEFERRED_RETRY_DELAY: f64 = 0.05;

/// Decides which connections and commands of clients are admitted. All times are seconds.
pub struct AdmissionController {
    pub(crate) limits: Limits,
    pub(crate) connections: BTreeMap<ConnectionId, Connection>,
    pub(crate) addresses: BTreeMap<IpAddr, Address>,
    /// Number of connections from unknown addresses.
    unknown_connections: usize,
    /// The time of the latest event, seconds.
    now: f64,
    /// Counters of its decisions.
    pub metrics: Metrics,
}

/// The amount of state of a controller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sizes {
    /// Open connections.
    pub connections: usize,
    /// Addresses with state.
    pub addresses: usize,
}

impl AdmissionController {
    /// A controller without connections.
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

    /// Adds a connection that was open before the controller was created; it is kept even beyond the limits.
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

    /// Reports that complete commands were read from a connection; their verdicts follow later.
    pub fn commands_read(&mut self, id: ConnectionId, commands: usize) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.queued += commands;
        }
    }

    /// Reports that one of the commands read is about to be decided on.
    pub fn command_started(&mut self, now: f64, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.queued = connection.queued.saturating_sub(1);
            connection.command_received(now);
        }
    }

    /// Reports that an incomplete command was read.
    pub fn partial_command(&mut self, now: f64, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.partial_since = connection.partial_since.or(Some(now));
        }
    }

    /// Reports the final response of a command; `served` if it was successful, which makes the address known.
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

    /// Reports that a connection is closed, by whichever side. Its pending commands no longer count against its address.
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

    /// Recounts the connections of unknown addresses: an address becomes unknown by the passing of time. To be called periodically.
    pub fn refresh_known(&mut self, now: f64) {
        self.now = now;
        let unknown = self.addresses.values().filter(|address| !address.is_known(now));
        self.unknown_connections = unknown.map(|address| address.connections.len()).sum();
    }

    /// Decides on a new connection; an accepted one counts from now on.
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
        // Max-min fairness: at the limit, customers below their part are still served. Together that is at most twice the limit.
        let pending_of_customer = address.pending_by_customer.count(customer);
        let customers = address.pending_by_customer.customers() + usize::from(pending_of_customer == 0);
        let part = (self.limits.pending_commands / customers.max(1)).max(1);
        if address.pending >= self.limits.pending_commands && pending_of_customer >= part {
            self.metrics.deferred_commands += 1;
            return CommandVerdict::RetryAfter(DEFERRED_RETRY_DELAY);
        }
        address.pending += 1;
        address.pending_by_customer.increment(customer);
        connection.pending.push(customer);
        CommandVerdict::Accept
    }

    /// The amount of state that it holds.
    pub fn sizes(&self) -> Sizes {
        Sizes { connections: self.connections.len(), addresses: self.addresses.len() }
    }

    /// Finds the connection to close so that a new one fits; none if there is capacity. Fails if there is neither.
    fn find_replaced(
        &self,
        now: f64,
        from: IpAddr,
        is_known: bool,
    ) -> Result<Option<ConnectionId>, RejectReason> {
        match self.address_limit(from) {
            // The connection replaces one of its own address: a silent one, or one of a customer that has more than its part.
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

    /// The limit per address that an address has reached, if one.
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

    /// Whether there is a free connection, outside of the reserve unless the address is known.
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

    /// Forgets addresses without connections: all that lose nothing; if these are too few, also the one known for the shortest
    /// time.
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
