//! Eviction: the order in which idle connections are closed. A connection with pending commands is never evicted.
use crate::connection::Connection;
use crate::{AdmissionController, ConnectionId};
use std::cmp::Ordering;
use std::net::IpAddr;

/// What a client has sent on a connection; lower values are evicted first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Progress {
    /// Nothing.
    Silent,
    /// An incomplete command.
    PartialCommand,
    /// A complete command or greeting.
    CompleteCommand,
}

/// The eviction order of idle connections, as documented in `docs/admission.md`; lower ranks are evicted first. The derived
/// comparison depends on the order of the fields.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct EvictionRank {
    is_known: bool,
    progress: Progress,
    /// Number of connections of the address: addresses with many come first.
    connections: std::cmp::Reverse<usize>,
}

/// An open connection with its id.
#[derive(Clone, Copy)]
struct Candidate<'a> {
    id: ConnectionId,
    connection: &'a Connection,
}

impl AdmissionController {
    /// Removes and returns the idle connection to close when file descriptors run short, in the order of `docs/admission.md`.
    /// Returns `None` if all connections have pending commands.
    pub fn evict(&mut self, now: f64) -> Option<ConnectionId> {
        let evicted = self.first_to_evict(now, |_| true)?;
        self.connection_closed(evicted);
        Some(evicted)
    }

    /// Returns the connections that exceeded the time for their first command. They count against the limits until they are closed.
    pub fn overdue(&self, now: f64) -> Vec<ConnectionId> {
        let is_overdue =
            |connection: &Connection| connection.is_silent() && self.is_inactive(now, connection);
        self.connections.iter().filter(|(_, connection)| is_overdue(connection)).map(|(id, _)| *id).collect()
    }

    /// Returns the connection of an unknown address that is evicted first.
    pub(crate) fn first_unknown(&self, now: f64) -> Option<ConnectionId> {
        let is_known = |from: IpAddr| self.addresses.get(&from).is_some_and(|address| address.is_known(now));
        self.first_to_evict(now, |from| !is_known(from))
    }

    /// Returns the connection of an address that has been silent longest, if that exceeds the time for a first command.
    pub(crate) fn silent_of(&self, now: f64, from: IpAddr) -> Option<ConnectionId> {
        let silent = self.connections_of(from).filter(|candidate| candidate.connection.is_silent());
        longest_inactive(silent.filter(|candidate| self.is_inactive(now, candidate.connection)))
    }

    /// Returns the longest idle connection of the customer with the most connections from an address, if the customer has more than
    /// its share.
    pub(crate) fn idlest_of_largest_customer(&self, from: IpAddr) -> Option<ConnectionId> {
        let address = self.addresses.get(&from)?;
        let largest = address.connections_by_customer.highest()?;
        let customer_count = (address.connections_by_customer.customers() + 1).max(2);
        let share = address.connections.len() / customer_count;
        if largest.count <= share {
            return None;
        }
        let is_replaceable = |candidate: &Candidate| {
            let connection = candidate.connection;
            connection.customer == Some(largest.customer)
                && connection.is_idle()
                && connection.partial_since.is_none()
        };
        longest_inactive(self.connections_of(from).filter(is_replaceable))
    }

    fn connections_of(&self, from: IpAddr) -> impl Iterator<Item = Candidate<'_>> {
        let ids = self.addresses.get(&from).into_iter().flat_map(|address| &address.connections);
        ids.filter_map(|id| Some(Candidate { id: *id, connection: self.connections.get(id)? }))
    }

    fn is_inactive(&self, now: f64, connection: &Connection) -> bool {
        connection.last_active <= now - self.limits.first_command_timeout
    }

    fn first_to_evict(&self, now: f64, includes: impl Fn(IpAddr) -> bool) -> Option<ConnectionId> {
        let is_evictable = |connection: &Connection| connection.is_idle() && includes(connection.from);
        let evictable = self.connections.iter().filter(|(_, connection)| is_evictable(connection));
        let candidates = evictable.map(|(id, connection)| Candidate { id: *id, connection });
        let first = candidates.min_by(|a, b| {
            let by_rank = self.rank(now, a.connection).cmp(&self.rank(now, b.connection));
            by_rank.then_with(|| by_inactivity(a, b))
        });
        first.map(|candidate| candidate.id)
    }

    fn rank(&self, now: f64, connection: &Connection) -> EvictionRank {
        let address = self.addresses.get(&connection.from);
        let progress = match (connection.has_sent_command, connection.partial_since) {
            (false, None) => Progress::Silent,
            (_, Some(_)) => Progress::PartialCommand,
            (true, None) => Progress::CompleteCommand,
        };
        EvictionRank {
            is_known: address.is_some_and(|address| address.is_known(now)),
            progress,
            connections: std::cmp::Reverse(address.map_or(0, |address| address.connections.len())),
        }
    }
}

fn longest_inactive<'a>(candidates: impl Iterator<Item = Candidate<'a>>) -> Option<ConnectionId> {
    candidates.min_by(by_inactivity).map(|candidate| candidate.id)
}

/// Orders by last activity, the longest inactive first, then by id.
fn by_inactivity(a: &Candidate, b: &Candidate) -> Ordering {
    a.connection.last_active.total_cmp(&b.connection.last_active).then(a.id.cmp(&b.id))
}
