//! The controller: what it is told, and the questions it answers.
use crate::address::Address;
use crate::connection::Connection;
use crate::{
    CommandVerdict, ConnectionId, ConnectionVerdict, CustomerId, Limits, Metrics, OpenConnection,
    RejectReason,
};
use std::collections::BTreeMap;
use std::net::IpAddr;

/// Beyond so many addresses those without a connection are forgotten, which bounds the memory.
const MAX_ADDRESSES: usize = 4096;
/// Seconds after which a deferred command may be sent again: long against an answer, short against a client's time-out.
const RETRY_AFTER: f64 = 0.05;

/// Decides on connections and commands of clients.
pub struct AdmissionController {
    pub(crate) limits: Limits,
    pub(crate) connections: BTreeMap<ConnectionId, Connection>,
    pub(crate) addresses: BTreeMap<IpAddr, Address>,
    /// Connections of addresses that are not known.
    unknown_connections: usize,
    /// The latest time that was given with an event.
    now: f64,
    /// Counters of its decisions.
    pub metrics: Metrics,
}

/// How much a controller holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sizes {
    /// Open connections.
    pub connections: usize,
    /// Addresses that are remembered.
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

    /// Adds a connection that was open before the controller was there; it is kept whatever the limits say.
    pub fn add_open(&mut self, now: f64, open: OpenConnection) {
        self.now = now;
        let OpenConnection { id, from, has_spoken, unanswered } = open;
        let customer = unanswered.last().copied();
        let address = self.address_or_new(now, from);
        address.connections.insert(id);
        address.unanswered += unanswered.len();
        unanswered.iter().for_each(|customer| address.unanswered_by_customer.increment(*customer));
        match customer {
            None => address.strangers += 1,
            Some(customer) => address.connections_by_customer.increment(customer),
        }
        let is_known = address.is_known(now);
        self.unknown_connections += usize::from(!is_known);
        let connection = Connection { customer, has_spoken, unanswered, ..Connection::new(now, from) };
        self.connections.insert(id, connection);
    }

    /// Replaces the limits. Connections above them stay open; none is added, and they are closed first when descriptors run short.
    pub fn set_limits(&mut self, now: f64, limits: Limits) {
        for (from, address) in &mut self.addresses {
            address.is_listed = limits.lists(*from);
        }
        self.limits = limits;
        self.refresh_known(now);
    }

    /// So many whole commands were read from a connection; they are decided on later.
    pub fn commands_read(&mut self, id: ConnectionId, commands: usize) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.undecided += commands;
        }
    }

    /// A whole command that was read is about to be decided on.
    pub fn command_started(&mut self, now: f64, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.undecided = connection.undecided.saturating_sub(1);
            connection.partial_since = None;
            connection.last_active = now;
            connection.has_spoken = true;
        }
    }

    /// The beginning of a command was read, and not yet the rest.
    pub fn partial_command(&mut self, now: f64, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.partial_since = connection.partial_since.or(Some(now));
        }
    }

    /// A command has its final answer; `served` if it was served well.
    pub fn command_answered(&mut self, now: f64, id: ConnectionId, customer: CustomerId, served: bool) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.last_active = now;
        let Some(i) = connection.unanswered.iter().position(|c| *c == customer) else { return };
        connection.unanswered.swap_remove(i);
        let Some(address) = self.addresses.get_mut(&connection.from) else { return };
        address.unanswered = address.unanswered.saturating_sub(1);
        address.unanswered_by_customer.decrement(customer);
        if !served || self.limits.known_for <= 0.0 {
            return;
        }
        let was_known = address.is_known(now);
        address.known_until = address.known_until.max(now + self.limits.known_for);
        if !was_known {
            self.unknown_connections = self.unknown_connections.saturating_sub(address.connections.len());
        }
    }

    /// A connection is closed, whoever closed it. Its unanswered commands no longer count against its address.
    pub fn connection_closed(&mut self, id: ConnectionId) {
        let now = self.now;
        let Some(connection) = self.connections.remove(&id) else { return };
        let Some(address) = self.addresses.get_mut(&connection.from) else { return };
        address.connections.remove(&id);
        match connection.customer {
            None => address.strangers -= 1,
            Some(customer) => address.connections_by_customer.decrement(customer),
        }
        address.unanswered = address.unanswered.saturating_sub(connection.unanswered.len());
        connection.unanswered.iter().for_each(|customer| address.unanswered_by_customer.decrement(*customer));
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

    /// Recounts the connections of unknown addresses, which become known and unknown by time alone. To be called now and then.
    pub fn refresh_known(&mut self, now: f64) {
        self.now = now;
        let unknown = self.addresses.values().filter(|address| !address.is_known(now));
        self.unknown_connections = unknown.map(|address| address.connections.len()).sum();
    }

    /// Whether a new connection is accepted; one that is counts from now on.
    pub fn admit_connection(&mut self, now: f64, id: ConnectionId, from: IpAddr) -> ConnectionVerdict {
        self.now = now;
        let limits = &self.limits;
        let address = self.addresses.entry(from).or_insert_with(|| Address::new(now, from, limits));
        address.bucket.refill(now, limits);
        if !address.bucket.take() {
            return self.reject(RejectReason::Rate);
        }
        let is_known = address.is_known(now);
        let replaced = match self.make_room(now, from, is_known) {
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
        address.strangers += 1;
        self.unknown_connections += usize::from(!is_known);
        replaced.map_or(ConnectionVerdict::Accept, ConnectionVerdict::Replace)
    }

    /// Whether a command is taken; one that is counts as unanswered until it is answered.
    pub fn admit_command(&mut self, now: f64, id: ConnectionId, customer: CustomerId) -> CommandVerdict {
        let Some(connection) = self.connections.get_mut(&id) else { return CommandVerdict::Accept };
        connection.partial_since = None;
        connection.last_active = now;
        connection.has_spoken = true;
        let previous = connection.customer.replace(customer);
        let Some(address) = self.addresses.get_mut(&connection.from) else { return CommandVerdict::Accept };
        if previous != Some(customer) {
            match previous {
                None => address.strangers -= 1,
                Some(previous) => address.connections_by_customer.decrement(previous),
            }
            address.connections_by_customer.increment(customer);
        }
        // Max-min: at the limit those are still taken that have less than their part; together they can't pass twice the limit.
        let own = address.unanswered_by_customer.of(customer);
        let customers = address.unanswered_by_customer.customers() + usize::from(own == 0);
        let part = (self.limits.unfinished / customers.max(1)).max(1);
        if address.unanswered >= self.limits.unfinished && own >= part {
            self.metrics.deferred_commands += 1;
            return CommandVerdict::RetryAfter(RETRY_AFTER);
        }
        address.unanswered += 1;
        address.unanswered_by_customer.increment(customer);
        connection.unanswered.push(customer);
        CommandVerdict::Accept
    }

    /// How much it holds.
    pub fn sizes(&self) -> Sizes {
        Sizes { connections: self.connections.len(), addresses: self.addresses.len() }
    }

    /// Finds room for a connection: none is to be closed for it, or this one; or why there is no room.
    fn make_room(
        &self,
        now: f64,
        from: IpAddr,
        is_known: bool,
    ) -> Result<Option<ConnectionId>, RejectReason> {
        match self.address_limit(from) {
            // Its own address makes room: a silent one goes, or one of the customer that has more than its part.
            Some(RejectReason::Address) => {
                let own = self.silent_of(now, from).or_else(|| self.idlest_of_largest_customer(from));
                own.map(Some).ok_or(RejectReason::Address)
            }
            Some(reason) => self.silent_of(now, from).map(Some).ok_or(reason),
            None if self.has_free_place(is_known) => Ok(None),
            // For a known one an unknown one goes; else none does.
            None if is_known => self.first_unknown(now).map(Some).ok_or(RejectReason::Full),
            None => Err(RejectReason::Full),
        }
    }

    /// The limit of its own that an address has reached.
    fn address_limit(&self, from: IpAddr) -> Option<RejectReason> {
        let address = self.addresses.get(&from)?;
        if address.connections.len() >= self.limits.per_address {
            Some(RejectReason::Address)
        } else if address.strangers >= self.limits.strangers {
            Some(RejectReason::Strangers)
        } else {
            None
        }
    }

    fn has_free_place(&self, is_known: bool) -> bool {
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

    /// Forgets addresses without a connection: all that may be, then the one that would be known for the shortest time.
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
