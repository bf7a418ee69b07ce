//! The network: links on which bytes are delivered in order, in pieces, late, held back by a partition, or cut off between any two.
use crate::context::Context;
use crate::scheduled_event::ScheduledEvent;
use quillramp_gateway::state::connection::ConnectionId;
use rand::Rng;
use std::net::{IpAddr, Ipv4Addr};

/// The number of a link, unique within a run.
pub type LinkId = usize;

/// What is at the other end of a gateway process's link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Remote {
    /// A client.
    Client,
    /// A backend, by index.
    Backend(usize),
    /// The counter, or the second one while it is split.
    Counter,
    /// The discovery service.
    Discovery,
    /// An operator.
    Operator,
    /// An address at which nothing listens.
    Unreachable,
}

/// One side of a link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Side {
    /// That of the gateway process.
    Gateway,
    /// That of the remote.
    Remote,
}

impl Side {
    fn other(self) -> Side {
        match self {
            Side::Gateway => Side::Remote,
            Side::Remote => Side::Gateway,
        }
    }
}

/// A connection between a gateway process and a remote.
pub struct Link {
    /// The process, by index.
    pub process: usize,
    /// The process's own name of it.
    pub connection: ConnectionId,
    /// The other end.
    pub remote: Remote,
    /// The process has it open, as far as it knows.
    pub gateway_open: bool,
    /// The remote has it open, as far as it knows.
    pub remote_open: bool,
    /// When the last byte on its way to the remote arrives.
    last_arrival_at_remote: f64,
    /// When the last byte on its way to the process arrives.
    last_arrival_at_gateway: f64,
    /// Until then the network takes little of what the process writes.
    pub backpressure_until: f64,
    /// The client sends what can't be parsed.
    pub malformed: bool,
    /// The gateway's admission knows the client's address.
    pub known_address: bool,
    /// The client's address.
    pub client_address: IpAddr,
}

impl Link {
    /// Whether a side has it open, as far as that side knows.
    fn open_at(&mut self, side: Side) -> &mut bool {
        match side {
            Side::Gateway => &mut self.gateway_open,
            Side::Remote => &mut self.remote_open,
        }
    }
}

/// The backends of a zone can't be reached until then: what is sent to them arrives afterwards.
#[derive(Clone, Copy)]
pub struct Partition {
    /// The zone.
    pub zone: usize,
    /// When it ends.
    pub until: f64,
}

impl Context {
    /// Draws how long something takes to another machine, in seconds.
    pub fn draw_delay(&mut self) -> f64 {
        let [min, max] = self.world.network_delay;
        self.delay_factor * if max > min { self.rng.gen_range(min..max) } else { min }
    }

    /// When what is sent to or by this remote now can arrive at the earliest.
    fn partitioned_until(&self, remote: Remote) -> f64 {
        let Remote::Backend(backend) = remote else { return 0.0 };
        let zone = self.backend_zones[backend];
        let partitions = self.partitions.iter().filter(|partition| partition.zone == zone);
        partitions.map(|partition| partition.until).fold(0.0, f64::max)
    }

    /// A new link, open at the process's end.
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

    /// When the next thing for that side of a link arrives: after all that was sent before it.
    fn next_arrival(&mut self, id: LinkId, to: Side) -> Option<f64> {
        let remote = self.links.get(&id)?.remote;
        let at = (self.now + self.draw_delay()).max(self.partitioned_until(remote));
        let link = self.links.get_mut(&id)?;
        let last = match to {
            Side::Remote => &mut link.last_arrival_at_remote,
            Side::Gateway => &mut link.last_arrival_at_gateway,
        };
        *last = last.max(at);
        Some(*last)
    }

    /// A remote asks a process for a connection; what is sent on the link arrives after that.
    pub fn connect_to_gateway(&mut self, id: LinkId) {
        if let Some(at) = self.next_arrival(id, Side::Gateway) {
            self.events.schedule(at, ScheduledEvent::ConnectRequested(id));
        }
    }

    /// Sends bytes, at times in pieces that arrive one after another.
    pub fn send(&mut self, id: LinkId, to: Side, bytes: &[u8]) {
        let mut rest = bytes;
        while !rest.is_empty() {
            let unsplit = rest.len() < 2 || !self.draw_bool(self.world.split_writes);
            let length = if unsplit { rest.len() } else { self.rng.gen_range(1..rest.len()) };
            let (piece, behind) = rest.split_at(length);
            if !self.send_unsplit(id, to, piece) {
                return;
            }
            rest = behind;
        }
    }

    /// Sends bytes that arrive all at once; false where the link is gone.
    pub fn send_unsplit(&mut self, id: LinkId, to: Side, bytes: &[u8]) -> bool {
        let Some(at) = self.next_arrival(id, to) else { return false };
        self.events.schedule(at, ScheduledEvent::BytesArrived { link: id, at: to, bytes: bytes.to_vec() });
        true
    }

    /// One side closes a link; the other side is notified behind all that was sent.
    pub fn close(&mut self, id: LinkId, by: Side) {
        self.close_side(id, by, false);
    }

    /// One side resets a link: the other side is notified at once, and what is on its way is lost in both directions.
    pub fn abort(&mut self, id: LinkId, by: Side) {
        self.close_side(id, by, true);
    }

    fn close_side(&mut self, id: LinkId, by: Side, reset: bool) {
        let Some(link) = self.links.get_mut(&id) else { return };
        let was_open = std::mem::replace(link.open_at(by), false);
        if !was_open {
            return;
        }
        let notified = by.other();
        if !*link.open_at(notified) {
            self.links.remove(&id);
        } else if let Some(at) = self.next_arrival(id, notified) {
            let at = if reset { self.now } else { at };
            self.events.schedule(at, ScheduledEvent::LinkClosed { link: id, at: notified, reset });
        }
    }

    /// A link breaks: both sides are notified at once, and nothing else arrives.
    pub fn reset(&mut self, id: LinkId) {
        let Some(link) = self.links.get(&id) else { return };
        for (side, open) in [(Side::Gateway, link.gateway_open), (Side::Remote, link.remote_open)] {
            if open {
                let closed = ScheduledEvent::LinkClosed { link: id, at: side, reset: true };
                self.events.schedule(self.now, closed);
            }
        }
    }

    /// One side was notified that the link is closed, and uses it no more.
    pub fn mark_closed(&mut self, id: LinkId, at: Side) {
        let Some(link) = self.links.get_mut(&id) else { return };
        *link.open_at(at) = false;
        if !link.gateway_open && !link.remote_open {
            self.links.remove(&id);
        }
    }

    /// A remote was notified that the link is closed, and closes its side too.
    pub fn confirm_close(&mut self, id: LinkId) {
        self.close(id, Side::Remote);
        self.mark_closed(id, Side::Remote);
    }

    /// The links for which the condition holds, in the order of their numbers.
    pub fn links_matching(&self, condition: impl Fn(&Link) -> bool) -> Vec<LinkId> {
        self.links.iter().filter(|(_, link)| condition(link)).map(|(id, _)| *id).collect()
    }
}
