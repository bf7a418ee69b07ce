//! The simulated network. Links deliver bytes in order, after random delays and possibly in pieces. Partitions hold bytes back, and
//! resets discard bytes in transit.
use crate::context::Context;
use crate::scheduled_event::ScheduledEvent;
use quillramp_gateway::state::connection::ConnectionId;
use rand::Rng;
use std::net::{IpAddr, Ipv4Addr};

/// Number of a link, unique within a run.
pub type LinkId = usize;

/// The remote end of a gateway process's link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Remote {
    /// A client.
    Client,
    /// A backend, by index.
    Backend(usize),
    /// The counter, including the second one during a split.
    Counter,
    /// The list service.
    Discovery,
    /// An operator.
    Operator,
    /// An address without a listener.
    Unreachable,
}

/// One side of a link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Side {
    /// The side of the gateway process.
    Gateway,
    /// The side of the remote.
    Remote,
}

impl Side {
    /// Returns the other side.
    fn other(self) -> Side {
        match self {
            Side::Gateway => Side::Remote,
            Side::Remote => Side::Gateway,
        }
    }
}

/// A connection between a gateway process and a remote.
pub struct Link {
    /// Index of the gateway process.
    pub process: usize,
    /// The process's id of the connection.
    pub connection: ConnectionId,
    /// The remote end.
    pub remote: Remote,
    /// Whether the link is open from the process's point of view.
    pub gateway_open: bool,
    /// Whether the link is open from the remote's point of view.
    pub remote_open: bool,
    /// Arrival time of the last byte or notification sent to the remote.
    last_arrival_at_remote: f64,
    /// Arrival time of the last byte or notification sent to the process.
    last_arrival_at_gateway: f64,
    /// Time until which the network accepts only part of the process's writes.
    pub backpressure_until: f64,
    /// Whether the client sends malformed commands.
    pub malformed: bool,
    /// Whether admission lists the client's address as known.
    pub known_address: bool,
    /// The client's address.
    pub client_address: IpAddr,
}

impl Link {
    /// Returns the flag that tells whether the link is open from a side's point of view.
    fn open_flag(&mut self, side: Side) -> &mut bool {
        match side {
            Side::Gateway => &mut self.gateway_open,
            Side::Remote => &mut self.remote_open,
        }
    }
}

/// A partition between a zone's backends and the gateway. Bytes sent in either direction arrive after its end; connections are still
/// established.
#[derive(Clone, Copy)]
pub struct Partition {
    /// Index of the zone.
    pub zone: usize,
    /// Time at which the partition ends.
    pub until: f64,
}

impl Context {
    /// Draws a one-way network delay, in seconds.
    pub fn draw_delay(&mut self) -> f64 {
        let [min, max] = self.world.network_delay;
        self.delay_factor * if max > min { self.rng.gen_range(min..max) } else { min }
    }

    /// Returns the time until which a remote is partitioned from the gateway, 0 if it is not.
    fn partitioned_until(&self, remote: Remote) -> f64 {
        let Remote::Backend(backend) = remote else { return 0.0 };
        let zone = self.backend_zones[backend];
        let partitions = self.partitions.iter().filter(|partition| partition.zone == zone);
        partitions.map(|partition| partition.until).fold(0.0, f64::max)
    }

    /// Creates a link that is open at the process's side, and returns its id.
    pub fn open_link(&mut self, process: usize, connection: ConnectionId, remote: Remote) -> LinkId {
        self.last_link += 1;
        self.backend_connections += u64::from(matches!(remote, Remote::Backend(_)));
        let link = Link {
            process,
            connection,
            remote,
            gateway_open: true,
            remote_open: false,
            last_arrival_at_remote: 0.0,
            last_arrival_at_gateway: 0.0,
            backpressure_until: 0.0,
            malformed: false,
            known_address: false,
            client_address: IpAddr::V4(Ipv4Addr::LOCALHOST),
        };
        self.links.insert(self.last_link, link);
        self.last_link
    }

    /// Draws the arrival time of the next bytes or notification for a side of a link. Order is preserved: they do not arrive before
    /// anything sent to this side earlier. Returns `None` if the link no longer exists.
    fn next_arrival(&mut self, id: LinkId, to: Side) -> Option<f64> {
        let remote = self.links.get(&id)?.remote;
        let at = (self.now + self.draw_delay()).max(self.partitioned_until(remote));
        let link = self.links.get_mut(&id)?;
        let last_arrival = match to {
            Side::Remote => &mut link.last_arrival_at_remote,
            Side::Gateway => &mut link.last_arrival_at_gateway,
        };
        *last_arrival = last_arrival.max(at);
        Some(*last_arrival)
    }

    /// Sends a remote's connection request to a process. Bytes sent on the link afterwards arrive after it.
    pub fn connect_to_gateway(&mut self, id: LinkId) {
        if let Some(at) = self.next_arrival(id, Side::Gateway) {
            self.events.schedule(at, ScheduledEvent::ConnectRequested(id));
        }
    }

    /// Sends bytes to a side of a link, possibly split into pieces that arrive one after another.
    pub fn send(&mut self, id: LinkId, to: Side, bytes: &[u8]) {
        let mut remaining = bytes;
        while !remaining.is_empty() {
            let unsplit = remaining.len() < 2 || !self.draw_bool(self.world.split_writes);
            let length = if unsplit { remaining.len() } else { self.rng.gen_range(1..remaining.len()) };
            let (piece, tail) = remaining.split_at(length);
            if !self.send_unsplit(id, to, piece) {
                return;
            }
            remaining = tail;
        }
    }

    /// Sends bytes that arrive in one piece. Returns false if the link no longer exists.
    pub fn send_unsplit(&mut self, id: LinkId, to: Side, bytes: &[u8]) -> bool {
        let Some(at) = self.next_arrival(id, to) else { return false };
        self.events.schedule(at, ScheduledEvent::BytesArrived { link: id, at: to, bytes: bytes.to_vec() });
        true
    }

    /// Closes one side of a link. The other side is notified after all bytes sent before have arrived.
    pub fn close(&mut self, id: LinkId, by: Side) {
        self.close_side(id, by, false);
    }

    /// Resets a link from one side. The other side is notified at once, and bytes in transit in both directions are lost.
    pub fn abort(&mut self, id: LinkId, by: Side) {
        self.close_side(id, by, true);
    }

    /// Closes one side of a link, and schedules the notification of the other side if that is open.
    fn close_side(&mut self, id: LinkId, by: Side, reset: bool) {
        let Some(link) = self.links.get_mut(&id) else { return };
        let was_open = std::mem::replace(link.open_flag(by), false);
        if !was_open {
            return;
        }
        let other_side = by.other();
        if !*link.open_flag(other_side) {
            self.links.remove(&id);
        } else if let Some(at) = self.next_arrival(id, other_side) {
            let at = if reset { self.now } else { at };
            self.events.schedule(at, ScheduledEvent::LinkClosed { link: id, at: other_side, reset });
        }
    }

    /// Resets a link from the network. Both open sides are notified at once, and bytes in transit are lost.
    pub fn reset(&mut self, id: LinkId) {
        let Some(link) = self.links.get(&id) else { return };
        for (side, open) in [(Side::Gateway, link.gateway_open), (Side::Remote, link.remote_open)] {
            if open {
                let closed = ScheduledEvent::LinkClosed { link: id, at: side, reset: true };
                self.events.schedule(self.now, closed);
            }
        }
    }

    /// Marks one side of a link as closed after its notification, and removes the link if both sides are closed.
    pub fn mark_closed(&mut self, id: LinkId, at: Side) {
        let Some(link) = self.links.get_mut(&id) else { return };
        *link.open_flag(at) = false;
        if !link.gateway_open && !link.remote_open {
            self.links.remove(&id);
        }
    }

    /// Closes the remote's side of a link after its notification that the process's side is closed.
    pub fn confirm_close(&mut self, id: LinkId) {
        self.close(id, Side::Remote);
        self.mark_closed(id, Side::Remote);
    }

    /// Returns the links that satisfy a condition, in ascending order of their ids.
    pub fn links_matching(&self, condition: impl Fn(&Link) -> bool) -> Vec<LinkId> {
        self.links.iter().filter(|(_, link)| condition(link)).map(|(id, _)| *id).collect()
    }
}
