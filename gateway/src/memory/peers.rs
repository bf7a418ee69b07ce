//! Words to and from other front doors.
use super::event::Effect;
use super::reducer::Reducer;
use quillramp::types::*;
use quillramp::word::{self, Said};
use std::net::SocketAddr;

impl Reducer {
    pub(super) fn tell(&mut self, word: Word) {
        match word {
            Word::Backend { tgt } => {
                let Some(name) = self.names.name(tgt) else { return };
                let body = word::encode(&Said::Backend(name.as_bytes().to_vec()));
                self.effects.extend(self.parties.peers_all.map(|to| Effect::Datagram(to, body)));
            }
            Word::Count { name, plan, of, total } => {
                let Some(&customer) = self.customers.name(name.customer) else { return };
                let said = Said::Count { customer, plan, of, series: name.series, total };
                let body = word::encode(&said);
                for peer in (of.first..of.first + of.number).map(|i| i % self.about.doors) {
                    if let Some(&to) = self.parties.peers.get(peer).filter(|_| peer != self.about.slot) {
                        self.effects.push(Effect::Datagram(to, body.clone()));
                    }
                }
            }
        }
    }

    pub(super) fn heard(&mut self, now: f64, from: SocketAddr, body: &[u8]) {
        let known = self.parties.peers.contains(&from) && body.len() <= word::LONGEST;
        match word::decode(body).filter(|_| known) {
            Some(Said::Backend(name)) => {
                let name = std::str::from_utf8(&name).ok();
                if let Some(tgt) = name.and_then(|n| self.names.find(n)) {
                    self.door.peer_word(now, Word::Backend { tgt });
                }
            }
            Some(Said::Count { customer, plan, of, series, total })
                if plan < self.about.plans.len()
                    && of.first < self.about.doors
                    && of.number <= self.about.doors =>
            {
                let name = CountName { customer: self.customers.index(&customer), series };
                self.door.peer_word(now, Word::Count { name, plan, of, total });
            }
            _ => {
                self.strangers += 1;
                if self.strangers.is_power_of_two() {
                    self.effects.push(Effect::Log(format!("datagrams dropped so far: {}", self.strangers)));
                }
            }
        }
    }
}
