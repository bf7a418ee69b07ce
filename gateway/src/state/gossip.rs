//! Gossip messages to and from other instances.
use super::effect::Effect;
use super::log_message::LogMessage;
use super::reducer::Reducer;
use quillramp::gossip::{self, WireMessage};
use quillramp::types::*;
use std::net::SocketAddr;

impl Reducer {
    /// Sends a message of the policy engine to the instances that it concerns.
    pub(super) fn send_gossip(&mut self, message: GossipMessage) {
        match message {
            GossipMessage::BackendRecovered { backend } => {
                let Some(name) = self.backends.names.resolve(backend) else { return };
                let body = gossip::encode(&WireMessage::BackendRecovered(name.as_bytes().to_vec()));
                let peers = self.config.peer_broadcast;
                self.effects.extend(peers.map(|peers| Effect::SendDatagram { to: peers, body }));
            }
            GossipMessage::CounterTotal { key, plan, instances, total } => {
                let Some(&customer) = self.customers.resolve(key.customer) else { return };
                let series = key.series;
                let message = WireMessage::CounterTotal { customer, plan, instances, series, total };
                self.send_to_instances(instances, &gossip::encode(&message));
            }
        }
    }

    fn send_to_instances(&mut self, instances: InstanceRange, body: &[u8]) {
        let last = instances.first + instances.count;
        for peer in (instances.first..last).map(|instance| instance % self.instance.instances) {
            if peer == self.instance.instance_index {
                continue;
            }
            if let Some(&address) = self.config.peers.get(peer) {
                self.effects.push(Effect::SendDatagram { to: address, body: body.to_vec() });
            }
        }
    }

    /// Handles a datagram; drops one that is malformed or from an unknown peer.
    pub(super) fn datagram_received(&mut self, now: f64, from: SocketAddr, body: &[u8]) {
        let is_acceptable = self.config.peers.contains(&from) && body.len() <= gossip::MAX_DATAGRAM_BYTES;
        match gossip::decode(body).filter(|_| is_acceptable) {
            Some(WireMessage::BackendRecovered(name)) => {
                let name = std::str::from_utf8(&name).ok();
                if let Some(backend) = name.and_then(|name| self.backends.names.get(name)) {
                    self.engine.gossip_received(now, GossipMessage::BackendRecovered { backend });
                }
            }
            Some(WireMessage::CounterTotal { customer, plan, instances, series, total })
                if plan < self.instance.plans.len()
                    && instances.first < self.instance.instances
                    && instances.count <= self.instance.instances =>
            {
                let key = CounterKey { customer: self.customers.intern(&customer), series };
                let message = GossipMessage::CounterTotal { key, plan, instances, total };
                self.engine.gossip_received(now, message);
            }
            _ => self.datagram_dropped(),
        }
    }

    fn datagram_dropped(&mut self) {
        self.dropped_datagrams += 1;
        if self.dropped_datagrams.is_power_of_two() {
            self.log(LogMessage::DatagramsDropped { count: self.dropped_datagrams });
        }
    }
}
