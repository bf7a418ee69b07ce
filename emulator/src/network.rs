//! The network: links on which bytes are delivered in order, in pieces, late, held back by a partition, or cut off between any two.
use crate::context::Context;
use crate::scheduled_event::ScheduledEvent;
use quillramp_gateway::state::event::ConnectionId;
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
    /// When the last byte on its way arrives: at the remote, at the process.
    last_arrival: [f64; 2],
    /// Until then the network takes little of what the process writes.
    pub choked_until: f64,
    /// The client sends what can't be parsed.
    pub malformed: bool,
    /// The gateway's admission knows the client's address.
    pub known_address: bool,
    /// The client's address.
    pub client_address: IpAddr,
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
        let [least, most] = self.world.network_delay;
        self.delay_factor * if most > least { self.rng.gen_range(least..most) } else { least }
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
            last_arrival: [0.0; 2],
            choked_until: 0.0,
            malformed: false,
            known_address: false,
            client_address: IpAddr::V4(Ipv4Addr::LOCALHOST),
        };
        self.links.insert(self.last_link, link);
        self.last_link
    }

    /// When the next thing on a link arrives: after all that was sent before it.
    fn next_arrival(&mut self, id: LinkId, to_gateway: bool) -> Option<f64> {
        let remote = self.links.get(&id)?.remote;
        let at = (self.now + self.draw_delay()).max(self.partitioned_until(remote));
        let last = &mut self.links.get_mut(&id)?.last_arrival[usize::from(to_gateway)];
        *last = last.max(at);
        Some(*last)
    }

    /// A remote asks a process for a connection; what is sent on the link arrives after that.
    pub fn connect_to_gateway(&mut self, id: LinkId) {
        if let Some(at) = self.next_arrival(id, true) {
            self.events.schedule(at, ScheduledEvent::ConnectRequested(id));
        }
    }

    /// Sends bytes, at times in pieces that arrive one after another.
    pub fn send(&mut self, id: LinkId, to_gateway: bool, bytes: &[u8]) {
        let mut rest = bytes;
        while !rest.is_empty() {
            let unsplit = rest.len() < 2 || !self.draw_bool(self.world.split_writes);
            let length = if unsplit { rest.len() } else { self.rng.gen_range(1..rest.len()) };
            let (piece, behind) = rest.split_at(length);
            if !self.send_unsplit(id, to_gateway, piece) {
                return;
            }
            rest = behind;
        }
    }

    /// Sends bytes that arrive all at once; false where the link is gone.
    pub fn send_unsplit(&mut self, id: LinkId, to_gateway: bool, bytes: &[u8]) -> bool {
        let Some(at) = self.next_arrival(id, to_gateway) else { return false };
        let arrival = ScheduledEvent::BytesArrived { link: id, to_gateway, bytes: bytes.to_vec() };
        self.events.schedule(at, arrival);
        true
    }

    /// One end closes a link; the other end is notified behind all that was sent. Reset: at once, and what is on its way is
    /// lost in both directions.
    pub fn close(&mut self, id: LinkId, by_gateway: bool, reset: bool) {
        let Some(link) = self.links.get_mut(&id) else { return };
        let other_open = if by_gateway { link.remote_open } else { link.gateway_open };
        let own_open = if by_gateway { &mut link.gateway_open } else { &mut link.remote_open };
        if !std::mem::replace(own_open, false) {
            return;
        }
        if !other_open {
            self.links.remove(&id);
        } else if let Some(at) = self.next_arrival(id, !by_gateway) {
            let at = if reset { self.now } else { at };
            self.events.schedule(at, ScheduledEvent::LinkClosed { link: id, to_gateway: !by_gateway, reset });
        }
    }

    /// A link breaks: both ends are notified at once, and nothing else arrives.
    pub fn reset(&mut self, id: LinkId) {
        let Some(link) = self.links.get(&id) else { return };
        for (to_gateway, open) in [(true, link.gateway_open), (false, link.remote_open)] {
            if open {
                let closed = ScheduledEvent::LinkClosed { link: id, to_gateway, reset: true };
                self.events.schedule(self.now, closed);
            }
        }
    }

    /// One end was notified that the link is closed, and uses it no more.
    pub fn mark_closed(&mut self, id: LinkId, at_gateway: bool) {
        let Some(link) = self.links.get_mut(&id) else { return };
        if at_gateway {
            link.gateway_open = false;
        } else {
            link.remote_open = false;
        }
        if !link.gateway_open && !link.remote_open {
            self.links.remove(&id);
        }
    }

    /// The links for which the condition holds, in the order of their numbers.
    pub fn links_matching(&self, condition: impl Fn(&Link) -> bool) -> Vec<LinkId> {
        self.links.iter().filter(|(_, link)| condition(link)).map(|(id, _)| *id).collect()
    }
}
