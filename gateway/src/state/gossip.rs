//! Words to and from other front doors.
use super::event::Effect;
use super::reducer::Reducer;
use quillramp::gossip::{self, WireMessage};
use quillramp::types::*;
use std::net::SocketAddr;

impl Reducer {
    pub(super) fn send_gossip(&mut self, word: GossipMessage) {
        match word {
            GossipMessage::BackendRecovered { backend } => {
                let Some(name) = self.backend_names.resolve(backend) else { return };
                let body = gossip::encode(&WireMessage::BackendRecovered(name.as_bytes().to_vec()));
                self.effects.extend(self.config.peer_broadcast.map(|to| Effect::SendDatagram(to, body)));
            }
            GossipMessage::CounterTotal { key: name, plan, instances: of, total } => {
                let Some(&customer) = self.customers.resolve(name.customer) else { return };
                let said =
                    WireMessage::CounterTotal { customer, plan, instances: of, series: name.series, total };
                let body = gossip::encode(&said);
                for peer in (of.first..of.first + of.count).map(|i| i % self.instance.instances) {
                    if let Some(&to) =
                        self.config.peers.get(peer).filter(|_| peer != self.instance.instance_index)
                    {
                        self.effects.push(Effect::SendDatagram(to, body.clone()));
                    }
                }
            }
        }
    }

    pub(super) fn datagram_received(&mut self, now: f64, from: SocketAddr, body: &[u8]) {
        let known = self.config.peers.contains(&from) && body.len() <= gossip::MAX_DATAGRAM_BYTES;
        match gossip::decode(body).filter(|_| known) {
            Some(WireMessage::BackendRecovered(name)) => {
                let name = std::str::from_utf8(&name).ok();
                if let Some(backend) = name.and_then(|n| self.backend_names.get(n)) {
                    self.engine.gossip_received(now, GossipMessage::BackendRecovered { backend });
                }
            }
            Some(WireMessage::CounterTotal { customer, plan, instances: of, series, total })
                if plan < self.instance.plans.len()
                    && of.first < self.instance.instances
                    && of.count <= self.instance.instances =>
            {
                let name = CounterKey { customer: self.customers.intern(&customer), series };
                self.engine.gossip_received(
                    now,
                    GossipMessage::CounterTotal { key: name, plan, instances: of, total },
                );
            }
            _ => {
                self.unknown_datagrams += 1;
                if self.unknown_datagrams.is_power_of_two() {
                    self.effects
                        .push(Effect::Log(format!("datagrams dropped so far: {}", self.unknown_datagrams)));
                }
            }
        }
    }
}
